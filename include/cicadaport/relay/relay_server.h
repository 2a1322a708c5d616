// Serves this process's copy of the log to the processes that follow it.
#pragma once

#include "cicadaport/fold/replica.h"
#include "cicadaport/http/address.h"
#include "cicadaport/relay/process_table.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace cicadaport::relay {

// Version of the inner protocol. A message of another version is refused by
// name; unknown fields within a version are kept and passed on.
constexpr std::uint32_t protocol_version = 1;

// Answers pulls on a thread of its own: at once when there is something newer
// than the puller has, otherwise when there is or when its wait is over.
//
// What is known of other processes goes to each follower once a second, not
// with every record. The replica and the table must outlive the server.
class relay_server {
public:
    // Says how long ago the log or another relay answered this process, so
    // that followers of a relay that is cut off know of it.
    using contact_age_source = std::function<std::chrono::milliseconds()>;
    // Says how long ago the log itself answered this process, if it ever did.
    using log_age_source = std::function<std::optional<std::chrono::milliseconds>()>;

    // Listens at once, on a free port where the port is 0; throws zmq::error_t
    // if it can't.
    relay_server(const http::address& listen, fold::replica& log, process_table& processes,
                 contact_age_source contact_age = {}, log_age_source log_age = {});
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    // Returns the address it listens on.
    const http::address& address() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::relay
