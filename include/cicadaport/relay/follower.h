// Follows the log through other processes' relays.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/http/address.h"
#include "cicadaport/relay/process_table.h"

#include <functional>
#include <memory>
#include <vector>

namespace cicadaport::relay {

// Pulls from the first relay that answers and, now and then, from another one,
// so that a relay that is itself cut off can't hold this process back.
//
// Runs on a thread of its own until destroyed. The replica and the table must
// outlive it.
class follower {
public:
    // Says what this process tells of itself.
    using status_source = std::function<protocol::process_status()>;

    follower(std::vector<http::address> relays, fold::replica& log, process_table& processes,
             status_source status);
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    // Returns how long ago a relay last answered.
    std::chrono::milliseconds since_last_answer() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::relay
