// What came of the requests that were sent, in figures.
#pragma once

#include "cicadaport/load/schedule.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cicadaport::load {

enum class outcome { whole, cut, refused, failed };

std::string_view to_string(outcome value) noexcept;

// What came of one arrival. Times count from when it was to be sent, also if
// it was sent late: a slow system must not slow its own measurement.
struct result {
    std::uint32_t request_class = 0;
    seconds intended{0};
    outcome ended = outcome::failed;
    unsigned status = 0;
    std::optional<seconds> first_token;
    seconds completion{0};
    std::vector<seconds> gaps;
};

// Returns the value below which `part` of the samples lie; 0 without samples.
seconds percentile(std::vector<seconds> samples, double part);

struct class_summary {
    std::string name;
    std::uint32_t sent = 0;
    std::uint32_t in_time = 0;
    std::uint32_t late = 0;
    std::uint32_t cut = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    seconds first_token_p50{0};
    seconds first_token_p95{0};
    seconds between_tokens_p95{0};
    seconds completion_p95{0};
};

// Sums up each class; the last entry, "all", is over all classes.
std::vector<class_summary> summarize(const profile& of, std::span<const result> results);

// Returns one JSON object on one line.
std::string to_json(const class_summary& summary);
std::string to_json(const profile& of, const result& each);

// Returns the summaries as a table for people.
std::string to_table(std::span<const class_summary> summaries);

// What an engine's time costs, for the bound.
struct bound_costs {
    seconds step_base{8e-3};
    seconds per_prefill_token{60e-6};
    seconds per_decode_token{250e-6};
    double most_running = 64;
};

// Returns the least time of one engine that an arrival can take: no prompt
// token that is its own is cached, every beginning is, and each decode step is
// shared by a full batch.
seconds least_work(const profile& of, const arrival& each, const bound_costs& costs);

// Returns an upper bound of the requests that any policy can answer in time:
// the cheapest first, until all engines are busy from the first arrival to the
// last deadline, with free role changes and perfect knowledge.
std::uint32_t goodput_bound(const profile& of, std::span<const arrival> arrivals,
                            std::uint32_t engines, const bound_costs& costs);

} // namespace cicadaport::load
