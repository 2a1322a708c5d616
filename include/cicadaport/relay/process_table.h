// What is known of the system's other processes, from what they tell.
#pragma once

#include "cicadaport/http/address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cicadaport::protocol {
class process_status;
} // namespace cicadaport::protocol

namespace cicadaport::relay {

// The last word of each process and when it was heard. A process that has been
// silent for long is forgotten.
//
// Thread safety: all members from any thread.
class process_table {
public:
    using clock = std::chrono::steady_clock;

    // Notes what a process told of itself, or what another passed on: the
    // younger of two words is kept.
    void note(const protocol::process_status& status, clock::time_point now);

    // Returns all processes heard of within `forget_after`, with their ages.
    std::vector<protocol::process_status> list(clock::time_point now) const;

    static constexpr std::chrono::seconds forget_after{30};

private:
    struct entry {
        std::string status;
        clock::time_point said_at;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace cicadaport::relay
