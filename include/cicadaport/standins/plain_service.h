// A stand-in for a plain service, such as ordering or enrolment.
#pragma once

#include "cicadaport/http/server.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadaport::standins {

// Runs whatever it is sent, each time it is sent, and keeps a record of it:
//
//   any  PATH                  runs; answers {"confirmation": N, "echo": body}
//   GET  /healthz              answers, runs nothing
//   GET  /v1/runs              every run: request id, key, method, path
//   POST /v1/faults?late_ms=500&lose_answers=1&refuse=true&cut_answers=2
//
// Runs on one event loop.
class plain_service {
public:
    explicit plain_service(boost::asio::io_context& context) : m_context{context} {}

    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    struct run {
        std::string request_id;
        std::string key;
        std::string method;
        std::string path;
        std::string body;
    };
    struct faults {
        std::chrono::milliseconds late{0};
        std::uint32_t lose_answers = 0;
        std::uint32_t cut_answers = 0;
        bool refuse = false;
    };

    boost::asio::awaitable<void> execute(const http::request& message, const std::string& path,
                                         http::response_writer& writer);
    http::response list_runs() const;
    http::response set_faults(const http::target_view& target);

    boost::asio::io_context& m_context;
    std::vector<run> m_runs;
    faults m_faults;
};

} // namespace cicadaport::standins
