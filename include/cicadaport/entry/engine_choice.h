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
    std::uint32_t rank = 0;
    // Engine time that the whole request takes.
    std::chrono::microseconds work{0};
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

    // Returns when the first token was expected, or the prompt to have been
    // read, from the decision on; zero if nothing was predicted.
    routing::seconds predicted_first_token() const noexcept
    {
        return m_expected.predicted.first_token;
    }

    // Notes that the prompt has been read at `now`, for a request of which the
    // endpoint does nothing else: the engine's speed is learned from it.
    void note_prefilled(std::chrono::steady_clock::time_point now);

    // Lets `next`, the charge of the same request elsewhere, count for the
    // account in place of this one.
    void pass_account_to(in_flight_charge& next) noexcept;

    // Notes that `count` more tokens of the answer came at `now`.
    void note_tokens(std::uint32_t count, std::chrono::steady_clock::time_point now);

    // Notes that the answer is whole: its length and the engine's speed are
    // learned from it.
    void note_answered();

private:
    void release() noexcept;
    void give_back_prefill() noexcept;
    std::atomic<std::int64_t>& rank_work() noexcept;

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
    // Whether it only reads the prompt; another engine makes the answer.
    bool prefills = false;
    // Where the engine finds the prompt's cache; empty if it reads the prompt.
    std::string kv_source;
};

// Adds the fields that tell an engine how urgent the request is, without which
// it is most urgent, and where the prompt's cache is.
void add_engine_fields(http::field_list& fields, const chosen_endpoint& chosen);

// The cache of a prompt that an engine has read for another one.
struct exported_prompt {
    std::string engine;
    // The engine's name for it.
    std::string kv;
};

// What a request asks of an engine.
struct engine_request {
    const request_context& context;
    std::string_view model;
    // The whole body, as the caller sent it.
    std::string_view body;
    // Whether an engine may be chosen that only reads the prompt.
    bool may_prefill = false;
    // What a prefill engine has read already, or null.
    const exported_prompt* exported = nullptr;
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
