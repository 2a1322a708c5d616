#include "internal/caller.h"

#include <boost/asio.hpp>

namespace cicadaport::scenario {
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds readiness_time{500};
constexpr unsigned status_ok = 200;

http::exchange_options options_of(milliseconds timeout, bool fresh)
{
    http::exchange_options out;
    out.connect_timeout = std::min(out.connect_timeout, timeout);
    out.response_timeout = timeout;
    out.fresh_connection = fresh;
    return out;
}

asio::awaitable<bool> is_ready(http::client& client, http::address admin)
{
    http::request message{"GET", "/readyz", {}, {}};
    const auto options = options_of(readiness_time, false);
    try {
        const auto reply = co_await client.exchange(admin, std::move(message), options);
        co_return reply.status == status_ok;
    }
    catch (const http::exchange_error&) {
        co_return false;
    }
}

asio::awaitable<http::address> choose(http::client& client, const std::vector<target>& targets)
{
    if (targets.size() > 1) {
        for (const auto& each : targets) {
            if (co_await is_ready(client, each.admin)) {
                co_return each.address;
            }
        }
    }
    co_return targets.front().address;
}

asio::awaitable<answer> carry_out(http::client& client, planned_call call)
{
    answer out;
    try {
        if (call.delay.count() > 0) {
            asio::steady_timer timer{co_await asio::this_coro::executor, call.delay};
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto to = co_await choose(client, call.targets);
        const auto options = options_of(call.timeout, call.fresh_connection);
        auto stream = co_await client.open(to, std::move(call.message), options);
        out.status = stream.head().status;
        out.verdict = std::string{stream.head().fields.find("Cicadaport-Verdict").value_or("")};
        for (;;) {
            const auto piece = co_await stream.next();
            if (!piece) {
                break;
            }
            out.body += *piece;
        }
    }
    catch (const http::exchange_error& error) {
        out.cut = error.what();
    }
    co_return out;
}

} // namespace

caller::caller()
    : m_guard{m_context.get_executor()}, m_client{m_context}, m_thread{[this] { m_context.run(); }}
{
}

caller::~caller()
{
    m_context.stop();
    m_thread.join();
}

std::future<answer> caller::send(planned_call call)
{
    return asio::co_spawn(m_context, carry_out(m_client, std::move(call)), asio::use_future);
}

answer caller::exchange(const http::address& to, http::request message, milliseconds timeout)
{
    planned_call call;
    call.targets.push_back({to, to});
    call.message = std::move(message);
    call.timeout = timeout;
    call.fresh_connection = call.message.method != "GET";
    return send(std::move(call)).get();
}

} // namespace cicadaport::scenario
