#include "cicadaport/authority/process_deadline.h"

#include <csignal>
#include <system_error>

namespace cicadaport::authority {

process_deadline::process_deadline(base::boot_clock::time_point at)
{
    sigevent event{};
    event.sigev_notify = SIGEV_SIGNAL;
    event.sigev_signo = SIGKILL;
    if (::timer_create(CLOCK_BOOTTIME, &event, &m_timer) != 0) {
        throw std::system_error{errno, std::generic_category(), "timer_create"};
    }
    const auto since_boot = at.time_since_epoch();
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(since_boot);
    itimerspec when{};
    when.it_value.tv_sec = whole.count();
    when.it_value.tv_nsec = (since_boot - whole).count();
    if (::timer_settime(m_timer, TIMER_ABSTIME, &when, nullptr) != 0) {
        const auto error = errno;
        ::timer_delete(m_timer);
        throw std::system_error{error, std::generic_category(), "timer_settime"};
    }
}

process_deadline::~process_deadline()
{
    ::timer_delete(m_timer);
}

} // namespace cicadaport::authority
