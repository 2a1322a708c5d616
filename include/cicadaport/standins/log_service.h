// A stand-in for the platform's log: append-only streams kept in memory.
#pragma once

#include "cicadaport/http/server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace cicadaport::standins {

// Serves appends and reads, and fails in the ways that a test orders:
//
//   POST /v1/streams/NAME                 append the body
//   GET  /v1/streams/NAME?after=N&wait_ms=M
//   POST /v1/faults?outage=true&lose_answers=0.3&delay_ms=50&keep=1000
//   GET  /v1/statistics                   appends and reads so far
//
// Runs on one event loop.
class log_service {
public:
    explicit log_service(boost::asio::io_context& context, std::uint64_t seed = 1);

    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    struct stream {
        std::uint64_t first_offset = 1;
        std::deque<std::string> payloads;
        std::uint64_t end_offset() const { return first_offset + payloads.size() - 1; }
    };
    struct faults {
        bool outage = false;
        double lose_answers = 0;
        std::chrono::milliseconds delay{0};
        std::size_t keep = SIZE_MAX;
    };

    boost::asio::awaitable<void> append(const std::string& name, const http::request& message,
                                        http::response_writer& writer);
    boost::asio::awaitable<void> read(const std::string& name, const http::target_view& target,
                                      http::response_writer& writer);
    http::response set_faults(const http::target_view& target);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context& m_context;
    std::map<std::string, stream> m_streams;
    faults m_faults;
    std::mt19937_64 m_random;
    std::uint64_t m_appends = 0;
    std::uint64_t m_reads = 0;
};

} // namespace cicadaport::standins
