// Sends a scenario's requests in the background.
#pragma once

#include "cicadaport/http/client.h"
#include "cicadaport/scenario/answer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <future>
#include <thread>
#include <vector>

namespace cicadaport::scenario {

// A place that takes requests, and where it says whether it is ready.
struct target {
    http::address address;
    http::address admin;
};

// One request to send after `delay` to the first of `targets` that is ready; a
// single target is not asked first.
struct planned_call {
    std::vector<target> targets;
    http::request message;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds timeout{0};
    bool fresh_connection = true;
};

// Runs an event loop on a thread of its own until destroyed. Thread safety:
// all members from any thread.
class caller {
public:
    caller();
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    // Sends a request; failures to do so are part of the answer.
    std::future<answer> send(planned_call call);

    // Sends one request and waits for its answer.
    answer exchange(const http::address& to, http::request message,
                    std::chrono::milliseconds timeout);

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    http::client m_client;
    std::thread m_thread;
};

} // namespace cicadaport::scenario
