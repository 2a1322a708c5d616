#include "cicadaport/serving/feed_times.h"

#include <algorithm>

namespace cicadaport::serving {
namespace {

constexpr int percent = 100;
// With one call timed out, the interval before it and the retry after it still fit into the
// bound.
constexpr int response_in_force_percent = 40;
constexpr int response_contact_percent = 30;
// The rest is for connecting, for the response and for delays on the host.
constexpr int recovery_percent = 70;

} // namespace

feed_times feed_times::within(milliseconds interval, milliseconds in_force,
                              milliseconds contact) noexcept
{
    feed_times out;
    out.interval = interval;
    out.response_timeout = std::clamp(std::min(in_force * response_in_force_percent / percent,
                                               contact * response_contact_percent / percent),
                                      min_response_timeout, max_response_timeout);
    out.max_backoff = std::clamp((contact * recovery_percent / percent - out.response_timeout) / 2,
                                 initial_backoff, max_backoff_limit);
    return out;
}

} // namespace cicadaport::serving
