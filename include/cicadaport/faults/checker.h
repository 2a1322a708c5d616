// Finds the promises that the records of a run break.
//
// Pure, and independent of the fold's own rules where it can be: what edits add
// up to, who may hold a lease and which order takes effect is worked out anew.
//
//   for (const auto& each : faults::find_breaches(records))
//       std::cerr << to_string(each.kind) << ": " << each.detail << '\n';
#pragma once

#include "cicadaport/faults/records.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::faults {

enum class breach_kind {
    // An engine was given different orders that overlap, or one came again
    // after a different one had taken its place.
    conflicting_orders,
    // An order took effect after one with a higher fencing number.
    stale_order,
    // An engine got an order that is on the log neither for it nor at all.
    unannounced_order,
    // A process showed an older configuration after a newer one.
    reverted,
    // A process showed a text that its offset does not stand for.
    wrong_text,
    // An edit that was accepted has no effect, or one overwrote another.
    lost_edit,
    // An edit took effect twice, or although its author was told it did not.
    unwanted_edit,
    // A live process lagged beyond the bound after the last fault.
    late,
    // Two processes trusted one lease at the same time.
    two_holders,
};

std::string_view to_string(breach_kind kind);

struct breach {
    breach_kind kind = breach_kind::conflicting_orders;
    std::string detail;
};

// How long after the end of the last fault the last accepted edit may take to
// be in force at every live process.
constexpr std::chrono::milliseconds longest_lag{9'000};

// How long an order may travel once its author's lease has ended.
constexpr std::chrono::milliseconds longest_travel{1'000};

// Each for one matter; find_breaches is all of them.
std::vector<breach> find_order_breaches(const run_records& records);
std::vector<breach> find_configuration_breaches(const run_records& records);
std::vector<breach> find_edit_breaches(const run_records& records);
std::vector<breach> find_late_processes(const run_records& records);
std::vector<breach> find_lease_breaches(const run_records& records);

std::vector<breach> find_breaches(const run_records& records);

} // namespace cicadaport::faults
