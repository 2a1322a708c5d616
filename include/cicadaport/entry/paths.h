// The handlers of the kinds of requests in an entry process.
#pragma once

#include "cicadaport/base/rcu.h"
#include "cicadaport/entry/metrics.h"
#include "cicadaport/entry/request_context.h"
#include "cicadaport/entry/worker.h"
#include "cicadaport/http/server.h"
#include "cicadaport/routing/view.h"

#include <boost/asio/awaitable.hpp>

namespace cicadaport::claims {
class claim_store;
}

namespace cicadaport::entry {

// The resources that all handlers use. The gateway owns the referenced objects. The
// worker is shared: a handler that is abandoned when its event loop ends still
// removes its entries from the worker.
struct path_resources {
    path_resources(std::shared_ptr<worker> with_worker,
                   const base::published<routing::view>& with_view, metrics& with_counters,
                   claims::claim_store* with_claims)
        : shared_worker{std::move(with_worker)}, own{*shared_worker}, view{with_view},
          counters{with_counters}, claims{with_claims}
    {
    }

    std::shared_ptr<worker> shared_worker;
    worker& own;
    const base::published<routing::view>& view;
    metrics& counters;
    // Null if no log for claims is configured.
    claims::claim_store* claims;
};

// One exchange with a client.
struct caller_exchange {
    const request_context& context;
    const http::request& message;
    http::response_writer& writer;
};

// Each of the functions below answers one request, or throws `request_failure`
// before the response starts. Runs on the event loop of `resources.own`.

// Sends a completion to one engine and streams the response back. It neither
// retries nor resumes: the baseline for benchmarks.
boost::asio::awaitable<void> pass_through_completion(path_resources resources,
                                                     caller_exchange exchange);

// Sends a completion; the response is complete or ends with an explicit failure.
boost::asio::awaitable<void> resumable_completion(path_resources resources,
                                                  caller_exchange exchange);

// Calls a plain service through its configured route.
boost::asio::awaitable<void> service_call(path_resources resources, caller_exchange exchange,
                                          const http::target_view& target);

} // namespace cicadaport::entry
