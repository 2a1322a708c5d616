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

std::span<const std::optional<std::size_t>>
watcher_ranks::update(std::shared_ptr<const configuration::document> document,
                      std::span<const std::string> processes)
{
    if (document == m_document && std::ranges::equal(processes, m_processes)) {
        return m_ranks;
    }
    m_document = std::move(document);
    m_processes.assign(processes.begin(), processes.end());
    m_ranks.clear();
    m_ranks.reserve(m_document->endpoints.size());
    for (const auto& endpoint : m_document->endpoints) {
        m_ranks.push_back(watcher_rank(endpoint.name, m_process, m_processes));
    }
    return m_ranks;
}

} // namespace cicadaport::membership
