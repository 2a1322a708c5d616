// The engines of one completion: one that reads its prompt, if that is better,
// and one that makes the answer.
#pragma once

#include "internal/tries.h"

#include <optional>
#include <string>

namespace cicadaport::entry {

// Sees to it that a completion's prompt has been read where a prefill engine
// does that sooner, before the completion is sent.
//
// Reading a prompt is idempotent and gives the caller nothing: whatever becomes
// of it, the completion was not run. An engine that refuses, fails or is slow
// costs the request one of its tries, and it goes on with another prefill
// engine or in one stage. Belongs to one event loop; what it refers to must
// outlive it.
class engine_stages {
public:
    engine_stages(path_resources& resources, const caller_exchange& exchange, std::string model);

    // Returns the engine that the completion is to be sent to. Throws
    // `request_failure` if there is none, and if `cancel` is requested while a
    // prompt is read.
    boost::asio::awaitable<chosen_endpoint> next(attempt_sequence& tries,
                                                 http::cancellation& cancel);

    // Returns the engine that was last asked to read the prompt; empty if none was.
    const std::string& prefill_engine() const noexcept { return m_prefill_engine; }

    // Engines that are asked to read one prompt; fewer than a request may have
    // tries, so that some are left for the answer.
    static constexpr std::size_t most_prefills = 2;

private:
    // What came of reading the prompt at one engine.
    struct prefill_end {
        prefill_end() = default;
        // The engine's name for the prompt's cache, if it has read it.
        std::string kv;
        // Whether the engine found the request itself wrong.
        bool rejected = false;
        std::string reason;
    };

    chosen_endpoint choose(const endpoint_filter& filter) const;
    boost::asio::awaitable<void> prefill(chosen_endpoint& at, attempt_sequence& tries,
                                         http::cancellation& cancel);
    boost::asio::awaitable<prefill_end> ask(const chosen_endpoint& at, const std::string& name,
                                            http::cancellation& cancel);
    http::exchange_options options(const chosen_endpoint& at, http::cancellation& cancel) const;

    path_resources& m_resources;
    const caller_exchange& m_exchange;
    std::string m_model;
    // How many engines may still be asked to read the prompt.
    std::size_t m_prefills_left = most_prefills;
    std::optional<exported_prompt> m_exported;
    std::string m_prefill_engine;
};

} // namespace cicadaport::entry
