// What hosts tell each other about duties: fields 20 to 23 of the message host_news, in the wire
// format of protocol buffers.
//
// The fields are kept apart from the generated code: hosts without duties neither send nor look for
// them. Builds that do not know them ignore them and pass them on.
//
//   message host_news {
//     fixed64 time_of_day_ms = 20;
//     reported_usage reported = 21;
//     repeated counted_usage usage = 22;
//     repeated usage_receipt receipts = 23;
//   }
//   message reported_usage {
//     uint64 window = 1; optional uint64 record = 2; bool delivered = 3; optional uint64 epoch = 4;
//   }
//   message counted_usage { uint64 window = 1; repeated account_runs accounts = 2; }
//   message account_runs { string account = 1; uint64 runs = 2; }
//   message usage_receipt { uint64 window = 1; uint64 runs = 2; }
//   message duty_record { string holder = 1; bytes content = 2; optional uint64 epoch = 3; }
#pragma once

#include "cicadaport/duties/subject_authority.h"
#include "cicadaport/duties/usage_ledger.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadaport::serving {

// A report of usage and the offset of its record in the store.
struct reported_usage {
    std::uint64_t window = 0;
    // Empty if the record belongs to an ended history of a store that states no epoch.
    std::optional<std::uint64_t> record;
    // The platform has accepted the report; otherwise it was only recorded.
    bool delivered = false;
    // The epoch of the store in which `record` is an offset; empty if the store states none.
    std::optional<std::uint64_t> epoch{};
};

// How many of the receiver's runs in a window the sender knows.
struct usage_receipt {
    std::uint64_t window = 0;
    std::uint64_t runs = 0;
};

struct duty_news {
    std::optional<duties::time_of_day> time_of_day;
    std::optional<reported_usage> reported;
    // Cumulative counts of some accounts, by window.
    std::vector<std::pair<std::uint64_t, duties::account_counts>> usage;
    std::vector<usage_receipt> receipts;
};

std::string encode(const duty_news& news);
// Returns what a datagram states about duties; nothing is stated if it can't be parsed.
duty_news decode_duty_news(std::string_view datagram);

// Returns the value of a subject's record in the store. It does not contain the offset.
std::string encode_duty_record(const duties::duty_record& record);
// Returns nothing if the value can't be parsed.
std::optional<duties::duty_record> decode_duty_record(std::string_view value, std::uint64_t offset);

} // namespace cicadaport::serving
