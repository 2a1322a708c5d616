// Which processes a relay tells a follower of.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadaport::protocol {
class process_status;
} // namespace cicadaport::protocol

namespace cicadaport::relay {

// A follower, as far as its part of the table depends on it.
struct table_reader {
    // Tells its connection from every other one.
    std::string peer;
    bool is_entry = false;
    // Whether it follows this relay, and does not just look at what it has.
    bool follows = true;
};

// Chooses what is told, and remembers when whom was told what.
//
// A small table goes to every follower once a second. Of a large one an entry
// process gets those that read the log once a second, for it follows one of
// them, and all others now and then, without what callers ask of them: it only
// counts them. Control processes
// need to know of everybody how far it is, and get the whole table.
//
// Not thread safe; time is passed in.
class table_part {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns what of `known` is to be told to `reader` now.
    std::vector<protocol::process_status>
    choose(const table_reader& reader, std::vector<protocol::process_status> known, time_point now);

    // Returns whether `reader` is to be told anything now; ask before `choose`.
    bool is_due(const table_reader& reader, time_point now);

    // A table of up to so many processes is small.
    static constexpr std::size_t small_table = 64;
    static constexpr std::chrono::seconds interval{1};
    // Half of the time after which a silent process is forgotten.
    static constexpr std::chrono::seconds whole_interval{15};

private:
    struct told_at {
        std::optional<time_point> something;
        std::optional<time_point> all;
    };

    std::unordered_map<std::string, told_at> m_told;
};

} // namespace cicadaport::relay
