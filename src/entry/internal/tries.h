// Sending a request to one endpoint after another until one answers.
#pragma once

#include "cicadaport/entry/engine_choice.h"
#include "cicadaport/entry/errors.h"
#include "cicadaport/entry/paths.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <functional>
#include <span>
#include <vector>

namespace cicadaport::entry {

// Decides which tries a request gets: another one only if the one before was
// surely not run or may be repeated, and only within the deadline, the retry
// budget and a bound on their number.
class try_sequence {
public:
    try_sequence(worker& own, const request_context& context, bool idempotent);

    // Returns the endpoint for the next try, one not tried before if there is
    // one. Throws `request_failure` with the worst verdict so far.
    chosen_endpoint next(const std::function<chosen_endpoint(const endpoint_filter&)>& choose);

    // Notes that `endpoint` answered.
    void succeeded(const std::string& endpoint);

    // Notes that the try at `endpoint` failed; throws the request's final
    // failure if there may be no other try.
    void failed(const std::string& endpoint, base::verdict outcome, const std::string& reason);

    // Notes that an earlier exchange of the same request may have run.
    void begun_before() noexcept { m_worst = std::max(m_worst, base::verdict::may_have_run); }

    // Returns the worst verdict of all tries so far.
    base::verdict outcome() const noexcept { return m_worst; }

private:
    chosen_endpoint
    choose_other(const std::function<chosen_endpoint(const endpoint_filter&)>& choose);

    worker& m_own;
    const request_context& m_context;
    bool m_idempotent;
    std::vector<std::string> m_tried;
    std::size_t m_failures = 0;
    base::verdict m_last = base::verdict::not_run;
    base::verdict m_worst = base::verdict::not_run;
};

// How one request may be tried.
struct try_plan {
    // Returns the endpoint for the next try; throws `request_failure`.
    std::function<boost::asio::awaitable<chosen_endpoint>(try_sequence&)> next;
    http::request message;
    http::exchange_options options;
    bool idempotent = false;
    // Called if the exchange was cancelled, with the endpoint that has it.
    std::function<void(const chosen_endpoint&)> cancelled;
};

// A whole response and where it came from.
struct endpoint_answer {
    endpoint_answer() = default;
    std::string endpoint;
    http::response reply;
    // What became of the request: also of the tries before this answer.
    base::verdict outcome = base::verdict::ran;
};

// Returns whether an endpoint's response says that it did not start the
// request.
bool is_not_started(const http::response& reply);

// Returns whether an endpoint's response is its answer to the request rather
// than a refusal that another endpoint need not repeat.
bool is_answer(const http::response& reply);

// Returns the first whole answer to `plan`; throws `request_failure`.
boost::asio::awaitable<endpoint_answer> exchange_with_retries(path_resources& resources,
                                                              const request_context& context,
                                                              const try_plan& plan);

} // namespace cicadaport::entry
