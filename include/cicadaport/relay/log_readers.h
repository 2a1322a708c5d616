// Which of the control processes read the platform's log for all others.
#pragma once

#include "cicadaport/relay/process_table.h"

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>

namespace cicadaport::relay {

// A process whose last word is older than this gives up its place to the next.
// Words travel by way of relays and are up to 3 s old when all is well.
constexpr std::chrono::milliseconds live_age{4'000};

// A reader that the log has not answered for this long does so too.
constexpr std::chrono::milliseconds longest_log_silence{6'000};

// Returns how many live control processes come before `id` in the order that
// all of them use; the same everywhere where the same processes are heard.
std::size_t rank_of(std::string_view id, std::span<const protocol::process_status> known);

// Returns how long the log must have been silent before the process that has
// `rank` others before it in its availability zone reads it too; `rank` is not
// 0. The first takes over after `longest_log_silence`, and each further pause is
// twice the one before: in an outage of an hour twelve in a zone try the
// log, however many there are.
std::chrono::milliseconds silence_before_joining(std::size_t rank);

// Returns whether the control process `id` should read the log itself: it does
// unless a live one before it in its availability zone reads it with success.
// So there is one reader in each zone, and the next takes over when it is
// silent or cut off from the log. While all are cut off they join in one by one.
bool should_read_log(std::string_view id, std::string_view availability_zone,
                     std::span<const protocol::process_status> known);

} // namespace cicadaport::relay
