// Assigns endpoints to the processes that watch them.
#pragma once

#include "cicadaport/configuration/document.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadaport::membership {

// Processes that watch each endpoint; independent of the number of processes.
constexpr std::size_t watchers_per_endpoint = 2;

// Returns the rank of `process` among the watchers of `endpoint`, or nothing if
// it is not one of them. The result is the same in every process that knows the
// same `processes`. When a process ends, only its own endpoints are reassigned.
//
//   watcher_rank("engine-4", "control-1", live_processes);   // 0, 1 or nothing
//
// Thread safety: any thread.
std::optional<std::size_t> watcher_rank(std::string_view endpoint, std::string_view process,
                                        std::span<const std::string> processes);

// Caches the ranks of one process among the watchers of all endpoints until the
// endpoints or the processes change, because ranking 720 endpoints among 410
// processes on each call is too expensive. Not thread safe.
class watcher_ranks {
public:
    explicit watcher_ranks(std::string process) : m_process{std::move(process)} {}

    // Returns the ranks for the endpoints of `document`, in their order.
    std::span<const std::optional<std::size_t>>
    update(std::shared_ptr<const configuration::document> document,
           std::span<const std::string> processes);

private:
    std::string m_process;
    std::shared_ptr<const configuration::document> m_document;
    std::vector<std::string> m_processes;
    std::vector<std::optional<std::size_t>> m_ranks;
};

} // namespace cicadaport::membership
