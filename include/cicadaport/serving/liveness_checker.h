// Checks whether silent endpoints are alive.
//
// An engine that preempts a request sends nothing for it until it has memory again, while an
// engine that has crashed or is unreachable sends nothing at all. Only the first one answers a
// request for its status. It may also reset the connection, if it accepts no more of them.
//
// Not thread safe: used only on the event loop of its host.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadaport::serving {

struct host_state;

class liveness_checker {
public:
    // Time within which an endpoint that is alive answers.
    static constexpr std::chrono::milliseconds timeout{300};

    // `host` must outlive the checker.
    explicit liveness_checker(host_state& host) : m_host{host} {}

    // Calls `on_end` once, asynchronously, with whether the endpoint has reacted. Concurrent
    // checks of an endpoint share one request.
    void check(const endpoint& which, std::function<void(bool is_alive)> on_end);

private:
    void end(const std::string& id, bool is_alive);

    host_state& m_host;
    // Callbacks of the checks in progress, by the endpoint's id.
    std::map<std::string, std::vector<std::function<void(bool)>>> m_waiting;
};

} // namespace cicadaport::serving
