// Stand-ins for the platform's host list and its weight store.
#pragma once

#include "cicadaport/http/server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cicadaport::standins {

// Lists live and leaving hosts, later than they change:
//
//   PUT  /v1/hosts/IP?state=live|leaving|gone
//   GET  /v1/hosts                 {"hosts": [{"ip", "state"}]}, with the lag
//   POST /v1/faults?lag_ms=2000&outage=true
class host_list {
public:
    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    struct change {
        std::chrono::steady_clock::time_point at;
        std::string ip;
        std::string state;
    };

    http::response list();

    std::deque<change> m_pending;
    std::map<std::string, std::string> m_hosts;
    std::chrono::milliseconds m_lag{0};
    bool m_outage = false;
};

// Sends model weights at a limited rate, shared by all who fetch:
//
//   GET  /v1/weights/MODEL/VERSION?bytes=N    answers when N bytes are sent
//   POST /v1/faults?bytes_per_second=N&outage=true
class weight_store {
public:
    explicit weight_store(boost::asio::io_context& context) : m_context{context} {}

    boost::asio::awaitable<void> handle(const http::request& message,
                                        http::response_writer& writer);

private:
    boost::asio::io_context& m_context;
    std::uint64_t m_bytes_per_second = 1'000'000'000;
    std::chrono::steady_clock::time_point m_free_at;
    bool m_outage = false;
};

} // namespace cicadaport::standins
