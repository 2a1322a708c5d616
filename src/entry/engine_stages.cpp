#include "internal/engine_stages.h"

#include "cicadaport/base/identifier.h"
#include "internal/stream_cancel.h"
#include "internal/stream_position.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::entry {
namespace asio = boost::asio;
using base::verdict;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr std::size_t max_kv_name_size = 256;
// A prefill is abandoned after this multiple of its predicted time.
constexpr int max_predicted_multiple = 4;
constexpr milliseconds min_prefill_timeout{500};
// Connecting and waiting may each take one of this many equal parts of the time
// to the deadline, so that one part is left to run the request in one stage.
constexpr int deadline_divisor = 3;

// Returns the name of the prompt's KV cache from an engine's answer; empty if there
// is none or it can't be forwarded in a header field.
std::string parse_kv_name(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("kv") || !parsed["kv"].is_string()) {
        return {};
    }
    auto out = parsed["kv"].get<std::string>();
    const bool visible =
        std::all_of(out.begin(), out.end(), [](char each) { return each > ' ' && each <= '~'; });
    return visible && out.size() <= max_kv_name_size ? out : std::string{};
}

} // namespace

engine_stages::engine_stages(path_resources& resources, const caller_exchange& exchange,
                             std::string model)
    : m_resources{resources}, m_exchange{exchange}, m_model{std::move(model)}
{
}

asio::awaitable<chosen_endpoint> engine_stages::next(attempt_sequence& tries,
                                                     http::cancellation& cancel)
{
    const auto choose_one = [this](const endpoint_filter& filter) { return choose(filter); };
    // The client account counts the request as in flight from its first stage to its last.
    in_flight_charge last;
    for (;;) {
        auto chosen = tries.next(choose_one);
        last.move_account_slot_to(chosen.charge);
        if (!chosen.prefills) {
            co_return chosen;
        }
        co_await prefill(chosen, tries, cancel);
        last = std::move(chosen.charge);
    }
}

chosen_endpoint engine_stages::choose(const endpoint_filter& filter) const
{
    engine_request wanted{m_exchange.context, m_model, m_exchange.message.body};
    wanted.may_prefill = m_prefill_attempts_left > 0 && clock::now() < m_exchange.context.deadline;
    wanted.exported = m_exported ? &*m_exported : nullptr;
    const base::rcu_reader guard;
    return choose_engine(m_resources.view.read(guard), wanted, filter, m_resources.own);
}

// Prefills the prompt at one engine. Throws `request_failure` if the client
// disconnects or the request may not be retried after a failure.
asio::awaitable<void> engine_stages::prefill(chosen_endpoint& at, attempt_sequence& tries,
                                             http::cancellation& cancel)
{
    m_prefill_engine = at.name;
    --m_prefill_attempts_left;
    const auto& context = m_exchange.context;
    const auto name = stream_prefix(context.account, context.id, m_exchange.message.body) +
                      base::make_identifier();
    const auto end = co_await request_prefill(at, name, cancel);
    if (!end.kv.empty()) {
        tries.record_success(at.name);
        at.charge.record_prefill_end(clock::now());
        m_exported.emplace();
        m_exported->engine = at.name;
        m_exported->kv = end.kv;
    }
    else if (!end.rejected) {
        cancel_stream(m_resources.own, at.address, name);
    }
    if (cancel.requested()) {
        throw request_failure{failure_kind::caller_gone, tries.outcome(), "the caller left"};
    }
    if (end.rejected) {
        // The decode engine will report what is wrong with the request.
        m_prefill_attempts_left = 0;
    }
    else if (end.kv.empty()) {
        spdlog::info("prefill_failed id={} endpoint={} error=\"{}\"", context.id, at.name,
                     end.reason);
        tries.record_failure(at.name, verdict::not_run, end.reason);
    }
}

asio::awaitable<engine_stages::prefill_result>
engine_stages::request_prefill(const chosen_endpoint& at, const std::string& name,
                               http::cancellation& cancel)
{
    const auto& message = m_exchange.message;
    http::request forwarded{"POST", "/v1/prefill", forwarded_fields(message, name), message.body};
    add_engine_fields(forwarded.fields, at);
    const auto bounds = options(at, cancel);
    prefill_result out;
    try {
        const auto reply =
            co_await m_resources.own.endpoints.exchange(at.address, std::move(forwarded), bounds);
        out.kv = reply.status == status_ok ? parse_kv_name(reply.body) : std::string{};
        out.rejected = reply.status == status_bad_request;
        out.reason = "the engine answered " + std::to_string(reply.status) + " to a prefill";
    }
    catch (const http::exchange_error& error) {
        out.reason = error.what();
    }
    co_return out;
}

http::exchange_options engine_stages::options(const chosen_endpoint& at,
                                              http::cancellation& cancel) const
{
    const auto left = m_exchange.context.deadline - clock::now();
    const auto part = std::chrono::duration_cast<milliseconds>(left) / deadline_divisor;
    const auto predicted =
        std::chrono::duration_cast<milliseconds>(at.charge.predicted_first_token());
    const auto limit = std::clamp(max_predicted_multiple * predicted, min_prefill_timeout,
                                  std::max(part, min_prefill_timeout));
    http::exchange_options out;
    out.connect_timeout = std::max(std::min(limit, part), milliseconds{1});
    out.response_timeout = out.connect_timeout;
    out.cancel = &cancel;
    return out;
}

} // namespace cicadaport::entry
