// What one event loop of an entry process keeps for itself.
#pragma once

#include "cicadaport/entry/circuit_breaker.h"
#include "cicadaport/entry/decision_state.h"
#include "cicadaport/entry/retry_budget.h"
#include "cicadaport/http/client.h"
#include "cicadaport/routing/placement.h"

#include <functional>
#include <map>

namespace cicadaport::entry {

// Belongs to one event loop, so that nothing on a request's path needs a lock.
struct worker {
    explicit worker(boost::asio::io_context& with_context, decision_state* with_decisions = nullptr)
        : context{with_context}, endpoints{with_context}, random{std::random_device{}()},
          decisions{with_decisions}
    {
    }

    boost::asio::io_context& context;
    http::client endpoints;
    routing::random_source random;
    // Null where nothing feeds it: engines are then chosen by own counts alone.
    decision_state* decisions = nullptr;
    admission::deadline_admission admission;
    routing::round_robin turn;
    breaker_table breakers;
    retry_budget retries;
    // Called when running streams have to go on at another entry process.
    std::map<std::uint64_t, std::function<void()>> hand_over_calls;
    std::uint64_t next_stream = 0;
};

} // namespace cicadaport::entry
