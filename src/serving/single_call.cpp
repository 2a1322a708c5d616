#include "cicadaport/serving/single_call.h"

#include "cicadaport/transport/stall_timer.h"

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
        : m_host{host}, m_to{std::move(to)}, m_on_end{std::move(on_end)}, m_stall{host.timers}
    {
    }

    void limit_duration(milliseconds limit)
    {
        m_limit = m_host.timers.call_at(m_host.timers.now() + limit, [this] { give_up(); });
    }

    void limit_stall(milliseconds timeout)
    {
        m_stall.start(timeout, [this] { give_up(); });
    }

    void start(std::string request, std::optional<time_point> send_deadline = std::nullopt)
    {
        m_self = shared_from_this();
        m_connection = m_host.connections.take(m_to, transport::reuse_rule::certain);
        m_connection->send(std::move(request), *this, send_deadline);
    }

private:
    void give_up()
    {
        m_connection->abandon();
        end(std::nullopt);
    }

    bool owns(const transport::message_head&) override { return true; }
    void on_head(transport::message_head head) override
    {
        m_answer.status = head.status;
        m_answer.metadata = m_host.wire.read_answer(head);
        m_answer.epoch = m_host.wire.read_store_epoch(head);
    }
    void on_body(std::string_view piece) override
    {
        m_answer.body += piece;
        m_stall.record_received(piece.size());
    }

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
        m_stall.cancel();
        m_connection.reset();
        m_on_end(std::move(answer));
    }

    host_state& m_host;
    http::address m_to;
    std::function<void(std::optional<call_response>)> m_on_end;
    std::shared_ptr<transport::exchange_connection> m_connection;
    transport::timer_queue::handle m_limit;
    transport::stall_timer m_stall;
    call_response m_answer;
    std::shared_ptr<single_call> m_self;
};

} // namespace

void call_once(host_state& host, const http::address& to, std::string request, milliseconds limit,
               std::function<void(std::optional<call_response>)> on_end)
{
    const auto call = std::make_shared<single_call>(host, to, std::move(on_end));
    call->limit_duration(limit);
    call->start(std::move(request));
}

void call_once_before(host_state& host, const http::address& to, std::string request,
                      time_point send_deadline, milliseconds limit,
                      std::function<void(std::optional<call_response>)> on_end)
{
    const auto call = std::make_shared<single_call>(host, to, std::move(on_end));
    call->limit_duration(limit);
    call->start(std::move(request), send_deadline);
}

void call_for_large_response(host_state& host, const http::address& to, std::string request,
                             milliseconds stall_timeout,
                             std::function<void(std::optional<call_response>)> on_end)
{
    const auto call = std::make_shared<single_call>(host, to, std::move(on_end));
    call->limit_stall(stall_timeout);
    call->start(std::move(request));
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
