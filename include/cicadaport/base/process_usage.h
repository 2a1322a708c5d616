// What the process has used of the machine so far.
#pragma once

#include <chrono>
#include <cstdint>

namespace cicadaport::base {

struct process_usage {
    // Processor time of all threads, in the kernel and outside of it.
    std::chrono::microseconds processor_time{0};
    // The largest resident memory until now, in bytes.
    std::uint64_t peak_memory = 0;

    // Returns the usage of the calling process. One system call; thread safe.
    static process_usage now() noexcept;
};

} // namespace cicadaport::base
