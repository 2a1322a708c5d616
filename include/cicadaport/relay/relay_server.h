// Serves this process's copy of the log to the processes that follow it.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/http/address.h"
#include "cicadaport/relay/process_table.h"

#include <memory>

namespace cicadaport::relay {

// Version of the inner protocol. A message of another version is refused by
// name; unknown fields within a version are kept and passed on.
constexpr std::uint32_t protocol_version = 1;

// Answers pulls on a thread of its own: at once when there is something newer
// than the puller has, otherwise when there is or when its wait is over.
//
// The replica and the table must outlive the server.
class relay_server {
public:
    // Listens at once; throws zmq::error_t if it can't.
    relay_server(const http::address& listen, fold::replica& log, process_table& processes);
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::relay
