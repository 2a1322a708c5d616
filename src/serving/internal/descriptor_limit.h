// How many descriptors the process may have.
#pragma once

#include "cicadaport/serving/host_process.h"

#include <spdlog/spdlog.h>

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>

namespace cicadaport::serving {

// Returns how many descriptors the process may have: by its settings and by the kernel.
inline std::uint64_t max_descriptors(const host_settings& settings)
{
    auto out = std::numeric_limits<std::uint64_t>::max();
    ::rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        spdlog::warn("descriptor_limit_unknown error=\"{}\"", std::strerror(errno));
    }
    else if (limit.rlim_cur != RLIM_INFINITY) {
        out = limit.rlim_cur;
    }
    return std::min<std::uint64_t>(out, settings.max_descriptors.value_or(out));
}

} // namespace cicadaport::serving
