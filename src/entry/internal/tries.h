// Sends a request to one endpoint after another until one answers.
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

// Decides the attempts of a request. A retry is allowed only if the previous attempt
// certainly did not run or the request is idempotent, and only within the deadline, the
// retry budget and the maximum number of attempts.
class attempt_sequence {
public:
    attempt_sequence(worker& own, const request_context& context, bool idempotent);

    // Returns the endpoint for the next attempt, preferably one that no earlier
    // attempt used. Throws `request_failure` with the worst verdict so far.
    chosen_endpoint next(const std::function<chosen_endpoint(const endpoint_filter&)>& choose);

    // Records that `endpoint` answered.
    void record_success(const std::string& endpoint);

    // Records that the attempt at `endpoint` failed; throws the request's final
    // failure if no retry is allowed.
    void record_failure(const std::string& endpoint, base::verdict outcome,
                        const std::string& reason);

    // Records that an earlier exchange of the same request may have run.
    void record_earlier_exchange() noexcept
    {
        m_worst_verdict = std::max(m_worst_verdict, base::verdict::may_have_run);
    }

    // Returns the worst verdict of all attempts so far.
    base::verdict outcome() const noexcept { return m_worst_verdict; }

private:
    chosen_endpoint
    choose_preferring_untried(const std::function<chosen_endpoint(const endpoint_filter&)>& choose);

    worker& m_own;
    const request_context& m_context;
    bool m_idempotent;
    std::vector<std::string> m_tried;
    std::size_t m_failures = 0;
    base::verdict m_last_verdict = base::verdict::not_run;
    base::verdict m_worst_verdict = base::verdict::not_run;
};

// How a request is sent and retried.
struct exchange_plan {
    // Returns the endpoint for the next attempt; throws `request_failure`.
    std::function<boost::asio::awaitable<chosen_endpoint>(attempt_sequence&)> next;
    http::request message;
    http::exchange_options options;
    bool idempotent = false;
    // Called with the endpoint of a cancelled exchange.
    std::function<void(const chosen_endpoint&)> cancelled;
};

// A complete response and the endpoint that sent it.
struct endpoint_answer {
    endpoint_answer() = default;
    std::string endpoint;
    http::response reply;
    // The verdict on the request, earlier attempts included.
    base::verdict outcome = base::verdict::ran;
};

// Returns whether the response says that the endpoint did not start the request.
bool is_not_started(const http::response& reply);

// Returns whether the response is final. A rejection that another endpoint may not
// repeat is not.
bool is_final_response(const http::response& reply);

// Returns the first final response to `plan`; throws `request_failure`.
boost::asio::awaitable<endpoint_answer> exchange_with_retries(path_resources& resources,
                                                              const request_context& context,
                                                              const exchange_plan& plan);

} // namespace cicadaport::entry
