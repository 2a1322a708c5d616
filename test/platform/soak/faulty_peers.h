// Callers and replicas that send without end, stop in the middle of a message, or do not read.
#pragma once

#include "platform/stand_ins.h"

#include <fmt/format.h>

#include <deque>

namespace cicadaport::platform::testing {

// What a faulty party sends on each of its connections. `{}` in `start` stands for a request id.
struct faulty_message {
    std::string start;
    // Sent after the start again and again.
    std::string block{};
    // How often the block is sent.
    std::size_t max_blocks = 0;
    // Whether the party reads what it is sent, once it has sent everything.
    bool reads = true;
};

// Runs all parties on one thread. Thread safe.
class faulty_peers {
public:
    static constexpr auto without_end = std::numeric_limits<std::size_t>::max();

    faulty_peers() : m_thread{[this] { m_context.run(); }} {}
    ~faulty_peers()
    {
        m_context.stop();
        m_thread.join();
    }

    // Starts a replica that answers each request with `message`.
    http::address add_replica(faulty_message message)
    {
        const auto& added = m_messages.emplace_back(std::move(message));
        tcp::acceptor acceptor{m_context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
        const auto port = acceptor.local_endpoint().port();
        boost::asio::co_spawn(m_context, accept(std::move(acceptor), added), boost::asio::detached);
        return {"127.0.0.1", port};
    }

    // Starts `count` callers that connect again whenever their connection has ended.
    void add_callers(const http::address& to, faulty_message message, std::size_t count)
    {
        const auto& added = m_messages.emplace_back(std::move(message));
        for (std::size_t index = 0; index < count; ++index) {
            boost::asio::co_spawn(m_context, call(to, added), boost::asio::detached);
        }
    }

private:
    using task = boost::asio::awaitable<void>;

    task accept(tcp::acceptor acceptor, const faulty_message& message)
    {
        for (;;) {
            auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, answer(std::move(socket), message),
                                  boost::asio::detached);
        }
    }

    task answer(tcp::socket socket, const faulty_message& message)
    {
        try {
            std::string input;
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(input),
                                                   "\r\n\r\n", boost::asio::use_awaitable);
            constexpr std::string_view name = "Request-Id: ";
            const auto found = input.find(name);
            const auto id = found == std::string::npos
                                ? std::string{}
                                : input.substr(found + name.size(),
                                               input.find('\r', found) - found - name.size());
            co_await send(socket, message, id);
        }
        catch (const boost::system::system_error&) {
            // The host ended the connection, which is right.
        }
    }

    task call(http::address to, const faulty_message& message)
    {
        constexpr std::chrono::milliseconds reconnect_interval{50};
        const tcp::endpoint at{boost::asio::ip::make_address(to.ip), to.port};
        for (;;) {
            boost::asio::steady_timer timer{m_context, reconnect_interval};
            co_await timer.async_wait(boost::asio::use_awaitable);
            try {
                tcp::socket socket{m_context};
                co_await socket.async_connect(at, boost::asio::use_awaitable);
                co_await send(socket, message, fmt::format("faulty-{}", ++m_last_id));
            }
            catch (const boost::system::system_error&) {
                // The host refused or ended the connection, which is right.
            }
        }
    }

    task send(tcp::socket& socket, const faulty_message& message, std::string id)
    {
        constexpr std::chrono::milliseconds block_interval{20};
        constexpr std::chrono::seconds unread_time{5};
        const auto start = fmt::format(fmt::runtime(message.start), id);
        co_await boost::asio::async_write(socket, boost::asio::buffer(start),
                                          boost::asio::use_awaitable);
        boost::asio::steady_timer timer{m_context};
        for (std::size_t sent = 0; sent < message.max_blocks; ++sent) {
            co_await boost::asio::async_write(socket, boost::asio::buffer(message.block),
                                              boost::asio::use_awaitable);
            timer.expires_after(block_interval);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        if (!message.reads) {
            timer.expires_after(unread_time);
            co_await timer.async_wait(boost::asio::use_awaitable);
            co_return;
        }
        std::array<char, 8192> buffer{};
        for (;;) {
            co_await socket.async_read_some(boost::asio::buffer(buffer),
                                            boost::asio::use_awaitable);
        }
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_context.get_executor()};
    std::deque<faulty_message> m_messages;
    std::size_t m_last_id = 0;
    std::thread m_thread;
};

} // namespace cicadaport::platform::testing
