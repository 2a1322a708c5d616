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
constexpr std::size_t longest_kv = 256;
// How much longer than predicted a prefill may take before it is given up.
constexpr int longest_over_predicted = 4;
constexpr milliseconds shortest_limit{500};
// Connecting and waiting may each take this part of the time to the deadline,
// so that the last part is left for the request in one stage.
constexpr int deadline_parts = 3;

// Returns the name of a prompt's cache out of an engine's answer; empty if it
// is none that can be sent on in a field.
std::string kv_of(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("kv") || !parsed["kv"].is_string()) {
        return {};
    }
    auto out = parsed["kv"].get<std::string>();
    const bool visible =
        std::all_of(out.begin(), out.end(), [](char each) { return each > ' ' && each <= '~'; });
    return visible && out.size() <= longest_kv ? out : std::string{};
}

} // namespace

engine_stages::engine_stages(path_resources& resources, const caller_exchange& exchange,
                             std::string model)
    : m_resources{resources}, m_exchange{exchange}, m_model{std::move(model)}
{
}

asio::awaitable<chosen_endpoint> engine_stages::next(try_sequence& tries,
                                                     http::cancellation& cancel)
{
    const auto choose_one = [this](const endpoint_filter& filter) { return choose(filter); };
    // The account counts the request from its first stage to its last.
    in_flight_charge last;
    for (;;) {
        auto chosen = tries.next(choose_one);
        last.pass_account_to(chosen.charge);
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
    wanted.may_prefill = m_prefills_left > 0 && clock::now() < m_exchange.context.deadline;
    wanted.exported = m_exported ? &*m_exported : nullptr;
    const base::rcu_reader guard;
    return choose_engine(m_resources.view.read(guard), wanted, filter, m_resources.own);
}

// Has the prompt read at one engine; throws `request_failure` if the request
// may not go on after a failure.
asio::awaitable<void> engine_stages::prefill(chosen_endpoint& at, try_sequence& tries,
                                             http::cancellation& cancel)
{
    m_prefill_engine = at.name;
    --m_prefills_left;
    const auto& context = m_exchange.context;
    const auto name = stream_prefix(context.account, context.id, m_exchange.message.body) +
                      base::make_identifier();
    const auto end = co_await ask(at, name, cancel);
    if (!end.kv.empty()) {
        tries.succeeded(at.name);
        at.charge.note_prefilled(clock::now());
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
        // The engine that answers will say what is wrong with the request.
        m_prefills_left = 0;
    }
    else if (end.kv.empty()) {
        spdlog::info("prefill_failed id={} endpoint={} error=\"{}\"", context.id, at.name,
                     end.reason);
        tries.failed(at.name, verdict::not_run, end.reason);
    }
}

asio::awaitable<engine_stages::prefill_end>
engine_stages::ask(const chosen_endpoint& at, const std::string& name, http::cancellation& cancel)
{
    const auto& message = m_exchange.message;
    http::request onward{"POST", "/v1/prefill", forwarded_fields(message, name), message.body};
    add_engine_fields(onward.fields, at);
    const auto bounds = options(at, cancel);
    prefill_end out;
    try {
        const auto reply =
            co_await m_resources.own.endpoints.exchange(at.address, std::move(onward), bounds);
        out.kv = reply.status == status_ok ? kv_of(reply.body) : std::string{};
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
    const auto part = std::chrono::duration_cast<milliseconds>(left) / deadline_parts;
    const auto predicted =
        std::chrono::duration_cast<milliseconds>(at.charge.predicted_first_token());
    const auto limit = std::clamp(longest_over_predicted * predicted, shortest_limit,
                                  std::max(part, shortest_limit));
    http::exchange_options out;
    out.connect_timeout = std::max(std::min(limit, part), milliseconds{1});
    out.response_timeout = out.connect_timeout;
    out.cancel = &cancel;
    return out;
}

} // namespace cicadaport::entry
