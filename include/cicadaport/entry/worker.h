// The state of one event loop in an entry process.
#pragma once

#include "cicadaport/entry/circuit_breaker.h"
#include "cicadaport/entry/decision_state.h"
#include "cicadaport/entry/retry_budget.h"
#include "cicadaport/http/client.h"
#include "cicadaport/routing/placement.h"

#include <functional>
#include <map>

namespace cicadaport::entry {

// Belongs to one event loop, so that handling a request needs no lock.
struct worker {
    explicit worker(boost::asio::io_context& with_context, decision_state* with_decisions = nullptr)
        : context{with_context}, endpoints{with_context}, random{std::random_device{}()},
          decisions{with_decisions}
    {
    }

    boost::asio::io_context& context;
    http::client endpoints;
    routing::random_source random;
    // Null without a load feed; engines are then chosen by this process's own request
    // counts.
    decision_state* decisions = nullptr;
    admission::deadline_admission admission;
    routing::round_robin turn;
    breaker_table breakers;
    retry_budget retries;
    // Callbacks that end running streams for handover to another entry process.
    std::map<std::uint64_t, std::function<void()>> handover_callbacks;
    std::uint64_t next_stream_id = 0;
};

} // namespace cicadaport::entry
