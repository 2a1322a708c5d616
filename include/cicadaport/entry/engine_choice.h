// Chooses the endpoint that a request is sent to.
#pragma once

#include "cicadaport/entry/endpoint_filter.h"
#include "cicadaport/entry/request_context.h"
#include "cicadaport/entry/worker.h"
#include "cicadaport/http/client.h"
#include "cicadaport/routing/placement.h"
#include "cicadaport/routing/view.h"

#include <memory>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// The estimates for a request at the time its engine was chosen.
struct engine_expectation {
    std::string account;
    // The class whose mean output length this request updates.
    routing::output_estimator::request_class output_class;
    std::uint32_t rank = 0;
    // Estimated engine time of the whole request.
    std::chrono::microseconds work{0};
    std::uint64_t prefill_tokens = 0;
    std::uint64_t output_tokens = 0;
    routing::predicted_times predicted;
    std::chrono::steady_clock::time_point decided_at;
    // Whether this attempt counts towards the account's concurrency limit.
    bool counted = false;
};

// Adds a request's outstanding work to the load of an endpoint. Completed tokens
// are subtracted as they are recorded; the destructor subtracts the rest. Belongs to
// one event loop.
class in_flight_charge {
public:
    in_flight_charge() = default;
    // Charges one request of unknown size.
    explicit in_flight_charge(std::shared_ptr<routing::endpoint_load> load);
    // Charges the expected tokens; `decisions` must outlive the charge.
    in_flight_charge(std::shared_ptr<routing::endpoint_load> load, decision_state& decisions,
                     engine_expectation expected);
    in_flight_charge(in_flight_charge&& other) noexcept;
    in_flight_charge& operator=(in_flight_charge&& other) noexcept;
    ~in_flight_charge();

    // Returns the predicted time from the decision to the first token, or to the
    // end of the prefill if the engine does nothing else; zero without a prediction.
    routing::seconds predicted_first_token() const noexcept
    {
        return m_expected.predicted.first_token;
    }

    // Records that the prefill ended at `now`, for an endpoint that does only the
    // prefill of the request, and corrects the engine's speed estimate.
    void record_prefill_end(std::chrono::steady_clock::time_point now);

    // Moves the request's place in the account's concurrency limit to `next`, the
    // charge of the same request at another endpoint.
    void move_account_slot_to(in_flight_charge& next) noexcept;

    // Records that `count` more output tokens arrived at `now`; the first ones
    // correct the engine's speed estimate.
    void record_tokens(std::uint32_t count, std::chrono::steady_clock::time_point now);

    // Records that the response is complete and updates the output length estimate.
    void record_response_end();

private:
    void release() noexcept;
    void release_prefill() noexcept;
    std::atomic<std::int64_t>& rank_work() noexcept;

    std::shared_ptr<routing::endpoint_load> m_load;
    decision_state* m_decisions = nullptr;
    engine_expectation m_expected;
    std::uint64_t m_remaining_prefill = 0;
    std::uint64_t m_remaining_decode = 0;
    std::uint32_t m_tokens = 0;
};

// Returns the number of events that end in `piece`, a part of an event stream.
std::uint32_t count_events(std::string_view piece) noexcept;

// A chosen endpoint, copied so that it may outlive the view.
struct chosen_endpoint {
    std::string name;
    http::address address;
    in_flight_charge charge;
    // The rank of the request's priority, for the engine's own queue.
    std::uint32_t rank = 0;
    // Whether it does only the prefill; another engine does the decode.
    bool prefills = false;
    // Where the engine fetches the prompt's KV cache; empty if it does the prefill.
    std::string kv_source;
};

// Adds the header fields for the priority rank, which an engine takes as 0 (most
// urgent) when absent, and for the source of the prompt's KV cache.
void add_engine_fields(http::field_list& fields, const chosen_endpoint& chosen);

// The KV cache that a prefill engine holds for transfer to a decode engine.
struct exported_prompt {
    std::string engine;
    // The engine's identifier of the cache entry.
    std::string kv;
};

// The input of an engine choice.
struct engine_request {
    const request_context& context;
    std::string_view model;
    // The whole body as received from the client.
    std::string_view body;
    // Whether a prefill engine may be chosen.
    bool may_prefill = false;
    // The KV cache of a finished prefill, or null.
    const exported_prompt* exported = nullptr;
};

// Returns the engine for the next attempt of `wanted`. Throws `request_failure`,
// always with the verdict not_run, if the model is unknown, no engine is available,
// or admission rejects the request (deadline, load or account limits).
//
// Called inside a read-side section of `view`. Belongs to the event loop of `own`.
chosen_endpoint choose_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own);

// Returns the replica of `service` for the next attempt of a request. Throws
// `request_failure` with the verdict not_run if none is available.
chosen_endpoint choose_replica(const routing::view& view, const std::string& service,
                               const endpoint_filter& filter, routing::random_source& random);

// Returns a random Retry-After time, so that clients that are rejected together
// don't retry together.
std::chrono::milliseconds random_retry_after(routing::random_source& random);

} // namespace cicadaport::entry
