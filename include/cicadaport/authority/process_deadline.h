// Ends this process at a point in time unless the object is destroyed before.
//
// The kernel sends SIGKILL, also while the process is stopped and before any
// of its code runs again, so that what the process had begun can't go on later.
// Its sockets close with it.
//
//   const process_deadline bound{lease.held_until()};
//   if (lease.is_held(base::boot_clock::now())) co_await send(order);
//
// Thread safety: make and destroy on any thread.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <ctime>

namespace cicadaport::authority {

class process_deadline {
public:
    // Throws std::system_error if the kernel gives no timer.
    explicit process_deadline(base::boot_clock::time_point at);
    ~process_deadline();
    process_deadline(const process_deadline&) = delete;
    process_deadline& operator=(const process_deadline&) = delete;

private:
    timer_t m_timer{};
};

} // namespace cicadaport::authority
