// Authenticates clients and dispatches their requests.
#pragma once

#include "cicadaport/base/io_pool.h"
#include "cicadaport/base/rcu.h"
#include "cicadaport/entry/errors.h"
#include "cicadaport/entry/metrics.h"
#include "cicadaport/entry/paths.h"
#include "cicadaport/entry/worker.h"
#include "cicadaport/http/server.h"
#include "cicadaport/routing/view.h"
#include "cicadaport/settings/process_settings.h"

#include <memory>
#include <vector>

namespace cicadaport::entry {

// The request handler of the server for clients.
//
// Thread safety: `handle` runs on all event loops concurrently. The view is read by
// read-copy-update; other state is kept per event loop.
class gateway {
public:
    // If `claims` is null, requests that need a claim are rejected. If `decisions` is
    // null, all completions are admitted.
    gateway(base::io_pool& pool, const base::published<routing::view>& view, metrics& counters,
            settings::completion_path path, claims::claim_store* claims = nullptr,
            decision_state* decisions = nullptr);

    boost::asio::awaitable<void> handle(std::size_t worker_index, const http::request& message,
                                        http::response_writer& writer);

    // Ends the running completions for handover to another entry process: streams
    // with an event that says how to resume there, others with a response that says
    // to retry there. Thread safety: any thread.
    void hand_over();

private:
    boost::asio::awaitable<void> dispatch(const path_resources& resources, caller_exchange exchange,
                                          const http::target_view& target);
    request_context identify_caller(const http::request& message) const;
    boost::asio::awaitable<void> reject(const request_context& context,
                                        const request_failure& failure, error_shape shape,
                                        http::response_writer& writer);
    http::response list_models() const;

    const base::published<routing::view>& m_view;
    metrics& m_metrics;
    settings::completion_path m_path;
    claims::claim_store* m_claims;
    std::vector<std::shared_ptr<worker>> m_workers;
};

} // namespace cicadaport::entry
