#include "internal/stream_cancel.h"

#include <spdlog/spdlog.h>

namespace cicadaport::entry {
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds cancel_timeout{2'000};

asio::awaitable<void> delete_stream(http::client& client, http::address engine, std::string name)
{
    http::request message{"DELETE", "/v1/streams/" + name, {}, {}};
    http::exchange_options options;
    options.response_timeout = cancel_timeout;
    try {
        co_await client.exchange(std::move(engine), std::move(message), options);
    }
    catch (const http::exchange_error& error) {
        // Not retried: the engine ends unread streams on its own.
        spdlog::debug("cancel_failed stream={} error=\"{}\"", name, error.what());
    }
}

} // namespace

void cancel_stream(worker& own, const http::address& engine, const std::string& name)
{
    asio::co_spawn(own.context, delete_stream(own.endpoints, engine, name), asio::detached);
}

} // namespace cicadaport::entry
