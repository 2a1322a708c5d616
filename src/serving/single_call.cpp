#include "cicadaport/serving/single_call.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

constexpr milliseconds release_timeout{1'000};

// Holds a reference to itself until the call has ended.
class single_call final : public transport::answer_observer,
                          public std::enable_shared_from_this<single_call> {
public:
    single_call(host_state& host, http::address to,
                std::function<void(std::optional<call_response>)> on_end)
        : m_host{host}, m_to{std::move(to)}, m_on_end{std::move(on_end)}
    {
    }

    void start(std::string request, milliseconds limit)
    {
        m_self = shared_from_this();
        m_connection = m_host.connections.take(m_to, transport::reuse_rule::certain);
        m_limit = m_host.timers.call_at(m_host.timers.now() + limit, [this] {
            m_connection->abandon();
            end(std::nullopt);
        });
        m_connection->send(std::move(request), *this);
    }

private:
    bool owns(const transport::message_head&) override { return true; }
    void on_head(transport::message_head head) override
    {
        m_answer.status = head.status;
        m_answer.metadata = m_host.wire.read_answer(head);
    }
    void on_body(std::string_view piece) override { m_answer.body += piece; }

    void on_complete() override
    {
        m_host.connections.give_back(m_to, m_connection);
        end(std::move(m_answer));
    }

    void on_failure(transport::exchange_failure) override { end(std::nullopt); }

    void end(std::optional<call_response> answer)
    {
        const auto keep = std::exchange(m_self, nullptr);
        m_limit.cancel();
        m_connection.reset();
        m_on_end(std::move(answer));
    }

    host_state& m_host;
    http::address m_to;
    std::function<void(std::optional<call_response>)> m_on_end;
    std::shared_ptr<transport::exchange_connection> m_connection;
    transport::timer_queue::handle m_limit;
    call_response m_answer;
    std::shared_ptr<single_call> m_self;
};

} // namespace

void call_once(host_state& host, const http::address& to, std::string request, milliseconds limit,
               std::function<void(std::optional<call_response>)> on_end)
{
    std::make_shared<single_call>(host, to, std::move(on_end))->start(std::move(request), limit);
}

void release_kv_cache(host_state& host, const prompt_kv_cache& prompt)
{
    call_once(host, prompt.at, host.wire.release_request(prompt), release_timeout,
              [at = prompt.at](const std::optional<call_response>& answer) {
                  if (!answer) {
                      spdlog::debug("prompt_not_released engine={}", http::to_string(at));
                  }
              });
}

} // namespace cicadaport::serving
