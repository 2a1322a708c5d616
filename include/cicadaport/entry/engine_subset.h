// Which engines an entry process asks for their load and gives work to.
//
// A fleet may have more engines than one process can ask within what it may
// spend on control. Each process then keeps to a few engines of each model,
// different ones in each process, so that together they cover the fleet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::entry {

// At most so many engines are in use in one process; they are shared out
// evenly among the models. A fleet of no more is used whole by every process.
constexpr std::size_t most_engines = 18;

// However many models there are, each has so many engines, and where some of
// them prefill only, each of the two stages has so many places.
constexpr std::size_t least_engines_per_model = 4;
constexpr std::size_t least_engines_per_stage = 2;

// One engine to pick from. Refers to strings that the caller owns.
struct subset_candidate {
    std::string_view name;
    std::string_view model;
    std::string_view availability_zone;
    // Whether it can be given work, as far as this process knows.
    bool usable = true;
    // Whether it reads prompts only, for others to answer.
    bool prefills = false;
};

// Returns the place of `engine` in the order of `process`; lower comes first.
// Rendezvous hashing: an engine that comes or goes moves no other.
std::uint64_t subset_order(std::string_view process, std::string_view engine);

// Returns the indexes of the engines that `process` in `availability_zone`
// uses, in ascending order.
//
// A model's places are shared out between engines that prefill only and the
// others, half of them to the own availability zone. An
// engine that is not usable stays, so that its return is noticed, and the next
// in order joins it. Thread safety: any thread.
//
//   for (const auto i : choose_subset(engines, "entry-1", "zone-a")) {
//       ask(engines[i]);
//   }
std::vector<std::size_t> choose_subset(std::span<const subset_candidate> engines,
                                       std::string_view process,
                                       std::string_view availability_zone);

} // namespace cicadaport::entry
