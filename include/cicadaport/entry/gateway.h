// Answers callers: finds who asks, where the request goes, and sends it there.
#pragma once

#include "cicadaport/base/rcu.h"
#include "cicadaport/entry/errors.h"
#include "cicadaport/entry/metrics.h"
#include "cicadaport/http/client.h"
#include "cicadaport/http/server.h"
#include "cicadaport/routing/placement.h"
#include "cicadaport/routing/view.h"

#include <memory>
#include <vector>

namespace cicadaport::entry {

// What is known of a request before it is sent anywhere.
struct request_context {
    std::string id;
    std::string account;
    std::string priority;
    std::chrono::steady_clock::time_point arrived;
};

// The handler of the callers' server.
//
// Thread safety: `handle` runs on every event loop at once; the view is read
// by read-copy-update and everything else is kept per event loop.
class gateway {
public:
    gateway(base::io_pool& pool, const base::published<routing::view>& view, metrics& counters);

    boost::asio::awaitable<void> handle(std::size_t worker, const http::request& message,
                                        http::response_writer& writer);

private:
    // What one event loop keeps for itself.
    struct worker_state {
        explicit worker_state(boost::asio::io_context& context);
        http::client endpoints;
        routing::random_source random;
    };

    boost::asio::awaitable<void> dispatch(worker_state& worker, const request_context& context,
                                          const http::request& message,
                                          const http::target_view& target,
                                          http::response_writer& writer);
    boost::asio::awaitable<void> complete(worker_state& worker, const request_context& context,
                                          const http::request& message,
                                          http::response_writer& writer);
    boost::asio::awaitable<void> call_service(worker_state& worker, const request_context& context,
                                              const http::request& message,
                                              const http::target_view& target,
                                              http::response_writer& writer);
    boost::asio::awaitable<void> fail(const request_context& context,
                                      const request_failure& failure, error_shape shape,
                                      http::response_writer& writer);
    request_context identify(const http::request& message) const;
    http::response list_models() const;

    const base::published<routing::view>& m_view;
    metrics& m_metrics;
    std::vector<std::unique_ptr<worker_state>> m_workers;
};

} // namespace cicadaport::entry
