#include "cicadaport/base/process_usage.h"

#include <sys/resource.h>

namespace cicadaport::base {
namespace {

std::chrono::microseconds to_duration(const ::timeval& time)
{
    return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec};
}

} // namespace

process_usage process_usage::now() noexcept
{
    constexpr std::uint64_t bytes_per_kilobyte = 1'024;
    ::rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    return {to_duration(used.ru_utime) + to_duration(used.ru_stime),
            static_cast<std::uint64_t>(used.ru_maxrss) * bytes_per_kilobyte};
}

} // namespace cicadaport::base
