// The paths that a request can take through an entry process.
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

// What all paths use. Refers to what the gateway owns.
struct path_resources {
    worker& own;
    const base::published<routing::view>& view;
    metrics& counters;
    // Null if this process knows no log to keep claims on.
    claims::claim_store* claims = nullptr;
};

// One exchange with a caller.
struct caller_exchange {
    const request_context& context;
    const http::request& message;
    http::response_writer& writer;
};

// Each answers one request or throws `request_failure` before the answer has
// begun. Belongs to the event loop of `resources.own`.

// Sends a completion to one engine and its answer back as it comes. The
// baseline for measurements: it neither retries nor resumes.
boost::asio::awaitable<void> pass_through_completion(path_resources resources,
                                                     caller_exchange exchange);

// Sends a completion and sees to it that the answer is whole or ends visibly.
boost::asio::awaitable<void> resumable_completion(path_resources resources,
                                                  caller_exchange exchange);

// Calls a plain service by its configured route.
boost::asio::awaitable<void> service_call(path_resources resources, caller_exchange exchange,
                                          const http::target_view& target);

} // namespace cicadaport::entry
