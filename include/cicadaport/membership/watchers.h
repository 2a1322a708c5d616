// Which processes watch an endpoint.
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

// Each endpoint is watched by this many processes, however many there are.
constexpr std::size_t watchers_per_endpoint = 2;

// Returns the rank of `process` among the watchers of `endpoint`, or nothing if
// it is not one of them. Every process that knows the same `processes` comes to
// the same result, and a process that ends moves only its own endpoints.
//
//   watcher_rank("engine-4", "control-1", live_processes);   // 0, 1 or nothing
//
// Thread safety: any thread.
std::optional<std::size_t> watcher_rank(std::string_view endpoint, std::string_view process,
                                        std::span<const std::string> processes);

// The ranks of one process among the watchers of all endpoints, kept until the
// endpoints or the processes change: 720 endpoints and 410 processes are too
// many to rank each time. Not thread safe.
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
