// Selects the engines that an entry process polls for load and sends work to.
//
// Polling every engine of a large fleet would exceed a process's control traffic
// budget. Each process therefore uses a few engines of each model. The subsets
// differ between processes, so that together they cover the fleet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::entry {

// Maximum number of engines that one process uses, divided evenly among the
// models. Every process uses all engines of a fleet that is no larger.
constexpr std::size_t max_engines = 18;

// Minimum number of engines for each model, whatever the number of models, and
// for each of the two stages of a model that has prefill engines.
constexpr std::size_t min_engines_per_model = 4;
constexpr std::size_t min_engines_per_stage = 2;

// An engine that may be selected. Refers to strings that the caller owns.
struct subset_candidate {
    std::string_view name;
    std::string_view model;
    std::string_view availability_zone;
    // Whether it can take work, as far as this process knows.
    bool usable = true;
    // Whether it does only prefill.
    bool prefills = false;
};

// Returns the rendezvous hash weight of `engine` for `process`; lower weights come
// first. Adding or removing an engine doesn't reorder the others.
std::uint64_t subset_order(std::string_view process, std::string_view engine);

// Returns the indexes of the engines that `process` in `availability_zone`
// uses, in ascending order.
//
// A model's places are divided between prefill engines and the others, and half of
// each go to `availability_zone`. An unusable engine stays selected, so that its
// recovery is noticed, and the next one in order is added. Thread safety: any
// thread.
//
//   for (const auto i : choose_subset(engines, "entry-1", "zone-a")) {
//       poll(engines[i]);
//   }
std::vector<std::size_t> choose_subset(std::span<const subset_candidate> engines,
                                       std::string_view process,
                                       std::string_view availability_zone);

} // namespace cicadaport::entry
