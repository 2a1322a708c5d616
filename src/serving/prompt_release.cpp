#include "cicadaport/serving/prompt_release.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

constexpr milliseconds release_time{1'000};

// Keeps itself alive until the engine has answered.
class release final : public transport::answer_observer,
                      public std::enable_shared_from_this<release> {
public:
    release(host_state& host, read_prompt prompt) : m_host{host}, m_prompt{std::move(prompt)} {}

    void start()
    {
        m_self = shared_from_this();
        m_connection = m_host.connections.take(m_prompt.at, transport::reuse_rule::any);
        m_limit = m_host.timers.call_at(m_host.timers.now() + release_time, [this] {
            m_connection->abandon();
            on_failure(transport::exchange_failure::unanswered);
        });
        m_connection->send(m_host.wire.release_request(m_prompt), *this);
    }

private:
    bool owns(const transport::message_head&) override { return true; }
    void on_head(transport::message_head) override {}
    void on_body(std::string_view) override {}

    void on_complete() override
    {
        m_host.connections.give_back(m_prompt.at, std::exchange(m_connection, nullptr));
        end();
    }

    void on_failure(transport::exchange_failure) override
    {
        spdlog::debug("prompt_not_released engine={}", http::to_string(m_prompt.at));
        end();
    }

    void end()
    {
        const auto keep = std::exchange(m_self, nullptr);
        m_limit.cancel();
        m_connection.reset();
    }

    host_state& m_host;
    read_prompt m_prompt;
    std::shared_ptr<transport::exchange_connection> m_connection;
    transport::timer_queue::handle m_limit;
    std::shared_ptr<release> m_self;
};

} // namespace

void release_prompt(host_state& host, const read_prompt& prompt)
{
    std::make_shared<release>(host, prompt)->start();
}

} // namespace cicadaport::serving
