// The platform's log service.
//
// Appends get totally ordered offsets. An answer may be lost after its effect
// took place, so a failed append says whether it may have happened.
#pragma once

#include "cicadaport/base/verdict.h"
#include "cicadaport/http/client.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace cicadaport::protocol {
class read_reply;
}

namespace cicadaport::shared_log {

// The log did not answer as it should.
class log_error : public std::runtime_error {
public:
    log_error(base::verdict outcome, const std::string& reason)
        : std::runtime_error{reason}, m_outcome{outcome}
    {
    }

    // Says whether the append may have taken effect.
    base::verdict outcome() const noexcept { return m_outcome; }

private:
    base::verdict m_outcome;
};

// One stream of the log. Belongs to one event loop.
//
//   log_client log{context, address, "system"};
//   const auto offset = co_await log.append(payload);
class log_client {
public:
    log_client(boost::asio::io_context& context, http::address address, std::string stream);

    // Appends `payload` once and returns its offset; throws `log_error`.
    boost::asio::awaitable<std::uint64_t> append(std::string payload);

    // Returns entries after `after_offset`, waiting up to `wait` for the first;
    // throws `log_error`.
    boost::asio::awaitable<protocol::read_reply> read(std::uint64_t after_offset,
                                                      std::chrono::milliseconds wait);

private:
    http::client m_client;
    http::address m_address;
    std::string m_stream;
};

} // namespace cicadaport::shared_log
