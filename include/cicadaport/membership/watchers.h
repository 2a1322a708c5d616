// Which processes watch an endpoint.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

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

} // namespace cicadaport::membership
