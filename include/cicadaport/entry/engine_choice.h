// Choosing the endpoint that a request is sent to.
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

// What was expected of a request when its engine was chosen.
struct engine_expectation {
    std::string account;
    // Of which the answer's length is learned.
    routing::output_estimator::request_class output_class;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t output_tokens = 0;
    routing::predicted_times predicted;
    std::chrono::steady_clock::time_point decided_at;
    // Whether the account's concurrency counts this try.
    bool counted = false;
};

// Charges an endpoint with a request's work for as long as it lives, less what
// is known to be done. Belongs to one event loop.
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

    // Notes that `count` more tokens of the answer came at `now`.
    void note_tokens(std::uint32_t count, std::chrono::steady_clock::time_point now);

    // Notes that the answer is whole: its length and the engine's speed are
    // learned from it.
    void note_answered();

private:
    void release() noexcept;
    void give_back_prefill() noexcept;

    std::shared_ptr<routing::endpoint_load> m_load;
    decision_state* m_decisions = nullptr;
    engine_expectation m_expected;
    std::uint64_t m_prefill_left = 0;
    std::uint64_t m_decode_left = 0;
    std::uint32_t m_tokens = 0;
};

// Returns how many events end in a piece of an event stream.
std::uint32_t count_events(std::string_view piece) noexcept;

// A chosen endpoint, copied out of the view so that it outlives it.
struct chosen_endpoint {
    std::string name;
    http::address address;
    in_flight_charge charge;
    // The rank of the request's priority, for the engine's own queue.
    std::uint32_t rank = 0;
};

// Adds the fields that tell an engine how urgent the request is.
void add_engine_fields(http::field_list& fields, const chosen_endpoint& chosen);

// What a request asks of an engine.
struct engine_request {
    const request_context& context;
    std::string_view model;
    // The whole body, as the caller sent it.
    std::string_view body;
};

// Returns the engine for the next try of `wanted`. Throws `request_failure`,
// always with the verdict not_run, if the model is unknown, if no engine may
// take the request, or if it can't be answered in time.
//
// Called inside a read-side section of `view`. Belongs to the event loop of `own`.
chosen_endpoint choose_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, worker& own);

// Returns the replica of `service` for the next try of a request. Throws
// `request_failure` with the verdict not_run if none may take it.
chosen_endpoint choose_replica(const routing::view& view, const std::string& service,
                               const endpoint_filter& filter, routing::random_source& random);

// Returns a time to come back after, spread so that callers refused together
// don't come back together.
std::chrono::milliseconds spread_retry_time(routing::random_source& random);

} // namespace cicadaport::entry
