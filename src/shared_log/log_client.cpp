#include "cicadaport/shared_log/log_client.h"

#include <platform.pb.h>

namespace cicadaport::shared_log {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds append_time{2'000};
constexpr std::chrono::milliseconds read_slack{2'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

template <typename Message>
Message parse_reply(const http::response& reply)
{
    Message message;
    if (reply.status != status_ok || !message.ParseFromString(reply.body)) {
        const auto outcome = reply.status == status_unavailable ? base::verdict::not_run
                                                                : base::verdict::may_have_run;
        throw log_error{outcome, "log answered " + std::to_string(reply.status)};
    }
    return message;
}

} // namespace

log_client::log_client(asio::io_context& context, http::address address, std::string stream)
    : m_client{context}, m_address{std::move(address)}, m_stream{std::move(stream)}
{
}

asio::awaitable<std::uint64_t> log_client::append(std::string payload)
{
    http::request message{"POST", "/v1/streams/" + m_stream, {}, std::move(payload)};
    http::exchange_options options;
    options.response_timeout = append_time;
    try {
        const auto reply = co_await m_client.exchange(m_address, std::move(message), options);
        co_return parse_reply<protocol::append_reply>(reply).offset();
    }
    catch (const http::exchange_error& error) {
        throw log_error{error.outcome(), error.what()};
    }
}

asio::awaitable<protocol::read_reply> log_client::read(std::uint64_t after_offset,
                                                       std::chrono::milliseconds wait)
{
    auto target = "/v1/streams/" + m_stream + "?after=" + std::to_string(after_offset) +
                  "&wait_ms=" + std::to_string(wait.count());
    http::request message{"GET", std::move(target), {}, {}};
    http::exchange_options options;
    options.response_timeout = wait + read_slack;
    try {
        const auto reply = co_await m_client.exchange(m_address, std::move(message), options);
        co_return parse_reply<protocol::read_reply>(reply);
    }
    catch (const http::exchange_error& error) {
        throw log_error{error.outcome(), error.what()};
    }
}

} // namespace cicadaport::shared_log
