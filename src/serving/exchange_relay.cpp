// Relays requests to another host while this one has no path to replicas.
#include "cicadaport/serving/exchange.h"

#include "internal/exchange_constants.h"

#include <boost/beast/core/string.hpp>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Other hosts to which one request is relayed before it is rejected.
constexpr std::uint32_t max_relay_attempts = 3;

} // namespace

bool exchange::relay()
{
    if (m_is_relayed || m_host.gossip == nullptr || m_relay_attempts >= max_relay_attempts ||
        m_attempts >= max_attempts()) {
        return false;
    }
    const auto hosts = m_host.gossip->relay_hosts();
    const auto chosen = std::find_if(hosts.begin(), hosts.end(), [this](const auto& each) {
        return !m_excluded.contains(http::to_string(each));
    });
    if (chosen == hosts.end()) {
        return false;
    }
    relay_to(*chosen);
    return true;
}

void exchange::relay_to(const http::address& host)
{
    end_prefill();
    m_kv_cache.reset();
    endpoint_report other;
    other.id = http::to_string(host);
    other.address = host;
    begin_attempt(step::relaying, std::make_shared<endpoint>(std::move(other)));
    ++m_relay_attempts;
    ++m_host.counts.relayed;
    m_earlier_may_have_run = m_earlier_may_have_run || m_attempt_may_have_run;
    m_attempt_may_have_run = true;
    run_parameters parameters;
    parameters.time_left = std::max(remaining_time(), milliseconds{1});
    parameters.attempts_left = max_attempts() - m_attempts;
    parameters.account = m_account;
    parameters.is_account_determined = m_account_determined;
    parameters.after_event = m_events.last_event_id();
    if (parameters.after_event) {
        parameters.resumed_request = begun_as();
    }
    if (m_host.reachability_log_budget.try_acquire(m_sent)) {
        spdlog::info(
            "request_relayed id={} to={} relay_attempts={} attempts_left={} passed_over={}",
            m_metadata.id, m_endpoint->report.id, m_relay_attempts, *parameters.attempts_left,
            m_host.reachability_log_budget.take_suppressed_count());
    }
    m_connection->send(m_host.wire.run_request(m_head, m_body, parameters), *this);
}

void exchange::handle_relay_answer()
{
    const auto status = m_answer->status;
    if (is_success(status) || !m_answer_confirmed) {
        handle_run_answer();
        return;
    }
    if (is_refused_by_stop() && relay_elsewhere()) {
        return;
    }
    if (m_answer_started) {
        fail(status_bad_gateway, "the stream could not be continued");
        return;
    }
    if (m_answer_metadata.is_signed) {
        ++m_host.counts.failed;
        m_caller->answer(status, m_answer->fields, m_answer_body);
        finish();
        return;
    }
    if (promises_not_run(status)) {
        m_attempt_may_have_run = false;
        reject(m_answer_metadata.requested_backoff.value_or(retry_after_overload),
               "another host rejected the request");
        return;
    }
    fail(status, "another host failed the request");
}

bool exchange::is_refused_by_stop() const
{
    // Hosts keep the connections of other hosts open unless they are stopping.
    const auto connection = m_answer->fields.find("Connection");
    return m_answer->status == status_unavailable && !m_answer_metadata.is_signed && connection &&
           boost::beast::iequals(*connection, "close");
}

bool exchange::relay_elsewhere()
{
    m_excluded.insert(m_endpoint->report.id);
    m_attempt_may_have_run = false;
    release_endpoint();
    return remaining_time() >= min_useful_time && relay();
}

void exchange::handle_relay_failure(transport::exchange_failure failure)
{
    m_excluded.insert(m_endpoint->report.id);
    if (failure == transport::exchange_failure::not_sent) {
        m_attempt_may_have_run = false;
    }
    else if (m_route->repeats != repeat_rule::any) {
        fail(status_bad_gateway, "the other host gave no whole answer");
        return;
    }
    release_endpoint();
    place();
}

} // namespace cicadaport::serving
