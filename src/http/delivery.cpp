#include "cicadaport/http/delivery.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace cicadaport::http {
namespace {

bool has_unacknowledged(int descriptor) noexcept
{
    int bytes = 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool reports_any_of(int descriptor, short events) noexcept
{
    pollfd polled{descriptor, events, 0};
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & events) != 0;
}

} // namespace

bool is_hung_up(int descriptor) noexcept
{
    return reports_any_of(descriptor, POLLHUP | POLLERR);
}

bool has_peer_ended(int descriptor) noexcept
{
    return reports_any_of(descriptor, POLLRDHUP | POLLHUP | POLLERR);
}

delivery get_delivery(int descriptor, std::size_t unsent) noexcept
{
    // Checked first: an acknowledgement that arrives between the two calls is not missed.
    const bool ended = is_hung_up(descriptor);
    if (unsent == 0 && !has_unacknowledged(descriptor)) {
        return delivery::complete;
    }
    return ended ? delivery::failed : delivery::pending;
}

} // namespace cicadaport::http
