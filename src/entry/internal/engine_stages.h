// Chooses the engines of one completion: a prefill engine, if that is faster, and
// a decode engine.
#pragma once

#include "internal/tries.h"

#include <optional>
#include <string>

namespace cicadaport::entry {

// Prefills the prompt of a completion at a prefill engine before the completion
// is sent, if a prefill engine is faster.
//
// A prefill is idempotent and delivers nothing to the caller: whatever its result,
// the completion was not run. An engine that refuses, fails or is slow costs the
// request one of its attempts, and the request continues with another prefill
// engine or in one stage. Belongs to one event loop; the objects passed to the
// constructor must outlive it.
class engine_stages {
public:
    engine_stages(path_resources& resources, const caller_exchange& exchange, std::string model);

    // Returns the engine to send the completion to. Throws `request_failure` if
    // there is none, or if `cancel` is requested during a prefill.
    boost::asio::awaitable<chosen_endpoint> next(attempt_sequence& tries,
                                                 http::cancellation& cancel);

    // Returns the engine of the last prefill attempt; empty if there was none.
    const std::string& prefill_engine() const noexcept { return m_prefill_engine; }

    // Below the maximum number of attempts of a request, so that some are left for
    // decode.
    static constexpr std::size_t max_prefill_attempts = 2;

private:
    struct prefill_result {
        prefill_result() = default;
        // The engine's name for the prompt's KV cache; empty if the prefill failed.
        std::string kv;
        // Whether the engine rejected the request as invalid.
        bool rejected = false;
        std::string reason;
    };

    chosen_endpoint choose(const endpoint_filter& filter) const;
    boost::asio::awaitable<void> prefill(chosen_endpoint& at, attempt_sequence& tries,
                                         http::cancellation& cancel);
    boost::asio::awaitable<prefill_result>
    request_prefill(const chosen_endpoint& at, const std::string& name, http::cancellation& cancel);
    http::exchange_options options(const chosen_endpoint& at, http::cancellation& cancel) const;

    path_resources& m_resources;
    const caller_exchange& m_exchange;
    std::string m_model;
    std::size_t m_prefill_attempts_left = max_prefill_attempts;
    std::optional<exported_prompt> m_exported;
    std::string m_prefill_engine;
};

} // namespace cicadaport::entry
