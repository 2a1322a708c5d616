// A log stand-in on a thread of its own, and a process's side of it.
#pragma once

#include "cicadaport/http/server.h"
#include "cicadaport/shared_log/proposer.h"
#include "cicadaport/shared_log/tailer.h"
#include "cicadaport/standins/log_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>
#include <platform.pb.h>
#include <record.pb.h>

#include <thread>

namespace cicadaport::shared_log {

// How long a test waits for something before it fails.
constexpr std::chrono::seconds longest_wait{30};

class log_fixture : public testing::Test {
protected:
    log_fixture()
        : m_server{m_pool,
                   "127.0.0.1",
                   0,
                   {},
                   [this](std::size_t, const http::request& message,
                          http::response_writer& writer) {
                       return m_service.handle(message, writer);
                   }},
          m_log{m_context, address(), "s"}, m_thread{[this] { m_pool.run(); }}
    {
    }

    ~log_fixture() override { m_pool.stop(); }

    http::address address() const { return {"127.0.0.1", m_server.port()}; }

    // Runs the client side until `done` returns true; returns whether it did.
    template <typename Done>
    bool run_until(Done done)
    {
        const auto until = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < until) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds{5});
        }
        return done();
    }

    // Runs `work` to its end and returns its result, or throws its error.
    template <typename Result>
    Result await(boost::asio::awaitable<Result> work)
    {
        std::optional<Result> result;
        std::exception_ptr failure;
        boost::asio::co_spawn(m_context, std::move(work),
                              [&](const std::exception_ptr& error, Result got) {
                                  failure = error;
                                  result = std::move(got);
                              });
        run_until([&] { return result.has_value(); });
        if (failure) {
            std::rethrow_exception(failure);
        }
        return std::move(result).value();
    }

    void set_fault(const std::string& faults)
    {
        http::client sender{m_context};
        http::request message{"POST", "/v1/faults?" + faults, {}, {}};
        await(sender.exchange(address(), std::move(message)));
    }

    void append(const protocol::record& record) { await(m_log.append(record.SerializeAsString())); }

    // Returns the entries that the log still keeps.
    std::vector<protocol::log_entry> entries()
    {
        const auto reply = await(m_log.read(0, std::chrono::milliseconds{0}));
        return {reply.entries().begin(), reply.entries().end()};
    }

    static protocol::record wish(std::uint64_t number)
    {
        protocol::record out;
        out.set_append_id("wish-" + std::to_string(number));
        out.set_proposed_after(number);
        out.mutable_endpoint_wish()->set_endpoint("e");
        return out;
    }

    base::io_pool m_pool{1};
    standins::log_service m_service{m_pool.context(0)};
    http::server m_server;
    boost::asio::io_context m_context;
    log_client m_log;
    std::jthread m_thread;
};

} // namespace cicadaport::shared_log
