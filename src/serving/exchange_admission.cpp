// Decides whether a request that has arrived may run: its route, its account, and whether the host
// is about to stop.
#include "cicadaport/serving/exchange.h"

#include "cicadaport/serving/request_digest.h"
#include "internal/exchange_constants.h"

#include <sodium.h>
#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Callers of a quarantined prompt are asked to wait for at most this time.
constexpr milliseconds max_quarantine_retry_after{60'000};

constexpr std::size_t max_logged_path_length = 120;

constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_request = 400;

// Returns the ids of the segments that other requests may share: all but the last one.
std::vector<segment_id> shared_segments_of(const std::vector<prompt_segment>& prompt)
{
    std::vector<segment_id> out;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        if (out.size() == prompt_quarantine::max_segments_per_request) {
            spdlog::warn("prompt_segments_not_considered count={}", prompt.size() - index - 1);
            break;
        }
        out.push_back(prompt[index].id);
    }
    return out;
}

} // namespace

bool exchange::find_route()
{
    try {
        m_metadata = m_host.wire.read_request(m_head);
    }
    catch (const invalid_request& error) {
        m_caller->close_after_answer();
        fail(status_bad_request, error.what());
        return false;
    }
    m_deployment = m_host.deployed;
    if (m_deployment == nullptr) {
        reject(retry_after_no_endpoint, "no configuration yet");
        return false;
    }
    m_route = m_deployment->find_route(m_metadata.host, m_metadata.path);
    if (m_route == nullptr) {
        log_unrouted();
        const auto age = m_host.configuration_position.age(m_arrived);
        if (age && *age <= m_host.max_apply_delay && !m_host.is_store_refilling(m_arrived)) {
            fail(status_not_found, "no such route");
        }
        else {
            reject(retry_after_no_endpoint, "no such route when the configuration was last read");
        }
        return false;
    }
    m_priority = m_route->priority;
    if (!authenticate()) {
        return false;
    }
    const auto point = std::uniform_real_distribution<double>{0, 1}(m_host.random);
    m_service = deployment::pick_service(*m_route, point);
    m_deadline = m_arrived +
                 std::min(m_metadata.time_left.value_or(m_route->time_limit), m_route->time_limit);
    m_host.budget.count_request(m_service, m_arrived);
    if (m_route->has_prompt) {
        m_size = m_host.sizes.classify(m_route->name, m_metadata.prompt_tokens);
        m_shared_segments = shared_segments_of(m_metadata.prompt);
    }
    return true;
}

bool exchange::authenticate()
{
    const auto* keys = m_deployment->keys();
    const bool is_determined = m_is_relayed && m_metadata.is_account_determined;
    if (keys == nullptr && !is_determined) {
        return true;
    }
    m_account_determined = true;
    const auto given = m_host.wire.take_credentials(m_head);
    ::sodium_memzero(m_metadata.caller.data(), m_metadata.caller.size());
    const auto age = m_host.configuration_position.age(m_arrived);
    if (is_determined) {
        if (!m_metadata.account.empty() &&
            !accounts::proves_keys(age, m_host.max_revocation_delay)) {
            m_host.authentications.count(accounts::outcome::stale_view);
            refuse_unauthenticated(accounts::outcome::stale_view, given.kind);
            return false;
        }
        ++m_host.authentications.relayed;
        set_account(m_metadata.account,
                    keys != nullptr ? keys->find_name(m_metadata.account) : nullptr);
        return true;
    }
    const accounts::view known{*keys, age, m_host.max_apply_delay, m_host.max_revocation_delay};
    const auto decided = accounts::authenticate(given, known, m_route->allows_anonymous);
    m_host.authentications.count(decided.result);
    if (decided.result == accounts::outcome::accepted) {
        set_account(decided.holder->name, decided.holder);
        return true;
    }
    if (decided.result == accounts::outcome::anonymous) {
        set_account("", nullptr);
        return true;
    }
    refuse_unauthenticated(decided.result, given.kind);
    return false;
}

void exchange::set_account(const std::string& name, const accounts::account* configured)
{
    m_account = name;
    // Part of the request's digest, which must be equal on the host to which it may be relayed.
    m_metadata.caller = name;
    if (configured != nullptr) {
        m_priority = configured->priority.value_or(m_priority);
    }
}

void exchange::refuse_unauthenticated(accounts::outcome result, accounts::credentials::form given)
{
    if (m_host.account_log_budget.try_acquire(m_arrived)) {
        spdlog::info("request_unauthenticated id={} route={} outcome={} credentials={} relayed={} "
                     "version={} passed_over={} {}",
                     m_metadata.id, m_route->name, accounts::to_string(result),
                     accounts::to_string(given), m_is_relayed, m_deployment->version(),
                     m_host.account_log_budget.take_suppressed_count(),
                     to_fields(m_host.configuration_position, m_arrived));
    }
    // The request is not one that the route fails to serve.
    m_route = nullptr;
    if (result == accounts::outcome::unknown_key) {
        fail(status_unauthorized, "the key is not known");
    }
    else {
        reject(retry_after_no_endpoint, "the configuration was read too long ago");
    }
}

bool exchange::admit_to_stopping_host()
{
    const auto& stop = m_host.stop;
    const auto deadline = m_deadline + deadline_grace;
    if (!stop || (m_is_relayed ? stop->outlasts(deadline) : stop->admits(m_arrived, deadline))) {
        return true;
    }
    if (m_host.stop_log_budget.try_acquire(m_arrived)) {
        spdlog::info("request_refused_by_stop id={} route={} received_ms={} time_left_ms={} "
                     "host_ends_ms={} passed_over={}",
                     m_metadata.id, m_route->name, to_ms(m_arrived - stop->requested_at()).count(),
                     to_ms(m_deadline - m_arrived).count(),
                     to_ms(stop->ends_at() - m_arrived).count(),
                     m_host.stop_log_budget.take_suppressed_count());
    }
    reject(retry_after_stop, "the host is stopping");
    return false;
}

std::span<const segment_id> exchange::suspects()
{
    if (m_suspects.empty()) {
        m_suspects = m_shared_segments;
        m_suspects.push_back(request_digest(m_head, m_metadata, m_body));
    }
    return m_suspects;
}

bool exchange::reject_if_quarantined()
{
    if (!m_host.crashes.has_suspects()) {
        return false;
    }
    const auto evidence = m_host.crashes.max_evidence(suspects());
    if (m_admitted_evidence && evidence <= *m_admitted_evidence) {
        return false;
    }
    m_admitted_evidence = evidence;
    const auto rejected = m_host.crashes.check(suspects(), m_metadata.id);
    if (!rejected) {
        return false;
    }
    ++m_host.counts.quarantined;
    const auto left = to_ms(rejected->retry_at - m_host.timers.now());
    reject(std::clamp(left, retry_after_no_endpoint, max_quarantine_retry_after),
           "replicas crash on this request");
    return true;
}

void exchange::log_unrouted() const
{
    if (m_host.unrouted_log_budget.try_acquire(m_arrived)) {
        spdlog::info("request_unrouted id={} host={} path={} version={} passed_over={} {}",
                     m_metadata.id, m_metadata.host,
                     std::string_view{m_metadata.path}.substr(0, max_logged_path_length),
                     m_deployment->version(), m_host.unrouted_log_budget.take_suppressed_count(),
                     to_fields(m_host.configuration_position, m_arrived));
    }
}

} // namespace cicadaport::serving
