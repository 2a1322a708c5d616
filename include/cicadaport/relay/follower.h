// Follows the log through other processes' relays.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/http/address.h"
#include "cicadaport/relay/process_table.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace cicadaport::relay {

// Past this bound without contact a process is stale and not ready: it can't
// know whether the others have gone on without it.
constexpr std::chrono::milliseconds stale_after{10'000};

// Pulls from a relay that reads the log itself where one is known, otherwise
// from the first that answers, and, now and then, from another one, so that a
// relay that is itself cut off can't hold this process back.
//
// A process that starts asks every relay and begins with the answer of one that
// has heard from the log since then, or else with the newest of more than half of them: a process
// that had a newer configuration before must not go back to that of a relay
// which is cut off as it is.
// Runs on a thread of its own until destroyed. The replica and the table must
// outlive it.
class follower {
public:
    // Says what this process tells of itself.
    using status_source = std::function<protocol::process_status()>;

    // `own_relays` is how many relays there are beside those: one in a process
    // that is itself a relay.
    follower(std::vector<http::address> relays, fold::replica& log, process_table& processes,
             status_source status, std::size_t own_relays = 0);
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    // Returns how long ago a relay last answered. Thread safety: any thread.
    std::chrono::milliseconds since_last_answer() const;

    // Returns how long ago this process, through a relay, was in contact with
    // the log or with a second relay: a relay that is cut off together with
    // this process is no contact. During an outage of the log the relays are
    // each other's contact. Thread safety: any thread.
    std::chrono::milliseconds since_contact() const;

    // Returns whether the contact is older than `stale_after`, as readiness
    // must say: `return m_follower->is_stale() ? not_ready : ready;`
    bool is_stale() const { return since_contact() > stale_after; }

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::relay
