// The administration API as the tool uses it.
#pragma once

#include "cicadaport/http/client.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace cicadaport::operator_tool {

// Sends requests to the first of several control processes that answers.
//
//   admin_client admin{{first, second}, key};
//   const auto reply = admin.call("GET", "processes");
//
// Blocks until the answer is there. Not thread safe.
class admin_client {
public:
    admin_client(std::vector<http::address> addresses, std::string key);

    // Returns the response. The next address is tried only after a failure
    // that surely left nothing behind, or for a request that only reads.
    // Throws http::exchange_error with the last failure.
    http::response call(const std::string& method, const std::string& path, std::string body = {});

    // Returns what each process that answers says to `GET path`. Throws
    // http::exchange_error if none does.
    std::vector<http::response> ask_each(const std::string& path);

private:
    http::request make_request(const std::string& method, const std::string& path,
                               std::string body) const;
    http::response call_one(const http::address& to, http::request message);

    std::vector<http::address> m_addresses;
    std::string m_key;
    boost::asio::io_context m_context;
    http::client m_client;
};

} // namespace cicadaport::operator_tool
