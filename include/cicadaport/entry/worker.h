// What one event loop of an entry process keeps for itself.
#pragma once

#include "cicadaport/entry/circuit_breaker.h"
#include "cicadaport/entry/retry_budget.h"
#include "cicadaport/http/client.h"
#include "cicadaport/routing/placement.h"

#include <functional>
#include <map>

namespace cicadaport::entry {

// Belongs to one event loop, so that nothing on a request's path needs a lock.
struct worker {
    explicit worker(boost::asio::io_context& with_context)
        : context{with_context}, endpoints{with_context}, random{std::random_device{}()}
    {
    }

    boost::asio::io_context& context;
    http::client endpoints;
    routing::random_source random;
    breaker_table breakers;
    retry_budget retries;
    // Called when running streams have to go on at another entry process.
    std::map<std::uint64_t, std::function<void()>> hand_over_calls;
    std::uint64_t next_stream = 0;
};

} // namespace cicadaport::entry
