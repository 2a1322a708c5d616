// Kills this process at a point in time unless the object is destroyed before.
//
// The kernel sends SIGKILL even while the process is stopped, before any of its
// code runs again, so that an operation begun before the deadline cannot continue
// after it. The process's sockets close with it.
//
//   const process_deadline bound{lease.held_until()};
//   if (lease.is_held(base::boot_clock::now())) co_await send(order);
//
// Thread safety: may be constructed and destroyed on any thread.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <ctime>

namespace cicadaport::authority {

class process_deadline {
public:
    // Throws std::system_error if the timer cannot be created or set.
    explicit process_deadline(base::boot_clock::time_point at);
    ~process_deadline();
    process_deadline(const process_deadline&) = delete;
    process_deadline& operator=(const process_deadline&) = delete;

private:
    timer_t m_timer{};
};

} // namespace cicadaport::authority
