// One streamed answer that survives broken connections and lost engines.
#pragma once

#include "internal/completion_request.h"
#include "internal/engine_stages.h"
#include "internal/event_parser.h"
#include "internal/stream_position.h"
#include "internal/tries.h"

#include <optional>
#include <string>

namespace cicadaport::entry {

// Sends the events of an answer to its caller in order, each once.
//
// When the connection to the engine breaks, the stream is resumed at the same
// engine. When the engine has lost the stream, the request is run again at
// another engine, and the stream continues only if the new answer begins with
// the events already delivered. Otherwise the caller's stream ends with an error
// event and without its final chunk. Memory is bounded: it holds one incomplete
// event and a digest of the events before it. Events are read from the engine
// only as fast as the caller reads them.
//
// Belongs to one event loop.
class resumable_stream {
public:
    resumable_stream(path_resources& resources, const caller_exchange& exchange,
                     completion_request wanted);
    ~resumable_stream();
    resumable_stream(const resumable_stream&) = delete;
    resumable_stream& operator=(const resumable_stream&) = delete;

    // Answers the caller. Throws `request_failure` on a failure before the first event.
    boost::asio::awaitable<void> run();

private:
    // How one connection to an engine ended.
    enum class connection_result { whole, broken, lost, different };

    boost::asio::awaitable<void> answer();
    void restore_position();
    void watch_caller();
    boost::asio::awaitable<connection_result> start_new_run();
    boost::asio::awaitable<connection_result> resume();
    boost::asio::awaitable<connection_result> read_from(const http::address& engine,
                                                        http::request message);
    boost::asio::awaitable<connection_result> read_events(http::response_stream& answer);
    boost::asio::awaitable<void> read_to_end(http::response_stream& answer);
    std::optional<connection_result> process_events(event_parser& parser);
    std::optional<connection_result> process_event(const stream_event& event);
    void forward(const stream_event& event);
    boost::asio::awaitable<void> flush();
    boost::asio::awaitable<void> begin();
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> hand_over();
    boost::asio::awaitable<void> end_with_error(const request_failure& failure);
    boost::asio::awaitable<void> back_off();
    http::exchange_options options();
    std::optional<http::address> engine_address() const;
    void record_token_latency();
    void cancel_at_engine();

    path_resources& m_resources;
    const caller_exchange& m_exchange;
    completion_request m_wanted;
    std::string m_prefix;
    attempt_sequence m_tries;
    engine_stages m_stages;
    // The charge of the engine where the answer was last started.
    in_flight_charge m_charge;
    // The caller's position in the answer.
    stream_position m_position;
    // The position read from the current engine connection. It is behind
    // `m_position` while a new run is compared with the events already delivered.
    stream_position m_read;
    http::cancellation m_cancel;
    std::optional<http::peer_watch> m_watch;
    std::uint64_t m_number;
    std::chrono::steady_clock::time_point m_last_event;
    std::string m_unsent;
    std::string m_reason;
    base::verdict m_outcome = base::verdict::not_run;
    std::uint32_t m_resumes = 0;
    bool m_begun = false;
    bool m_client_disconnected = false;
    bool m_handing_over = false;
};

} // namespace cicadaport::entry
