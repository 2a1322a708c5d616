#include "cicadaport/membership/watchers.h"

#include "cicadaport/base/digest.h"

#include <algorithm>

namespace cicadaport::membership {

// Rendezvous hashing: the processes with the highest scores watch.
std::optional<std::size_t> watcher_rank(std::string_view endpoint, std::string_view process,
                                        std::span<const std::string> processes)
{
    const auto score = [&](std::string_view each) {
        return base::sha256_hex(std::string{endpoint} + "/" + std::string{each});
    };
    const auto own = score(process);
    const auto before = std::count_if(processes.begin(), processes.end(), [&](const auto& each) {
        return each != process && score(each) > own;
    });
    const auto rank = static_cast<std::size_t>(before);
    return rank < watchers_per_endpoint ? std::optional{rank} : std::nullopt;
}

} // namespace cicadaport::membership
