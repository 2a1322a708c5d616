#include "cicadaport/serving/usage_director.h"

#include "internal/exchange_constants.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::serving {
namespace {

const std::string subject{"usage"};
// A datagram carries counts of up to this many bytes.
constexpr std::size_t max_count_bytes = 1'100;
// Bytes of an account's count besides its name.
constexpr std::size_t count_overhead_bytes = 12;

constexpr unsigned first_server_error = 500;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_many_requests = 429;

duties::time_of_day own_time_of_day()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

bool may_be_repeated(unsigned status)
{
    return status >= first_server_error || status == status_request_timeout ||
           status == status_too_many_requests;
}

std::uint64_t total_runs(const duties::account_counts& counts)
{
    std::uint64_t out = 0;
    for (const auto& [account, runs] : counts) {
        out += runs;
    }
    return out;
}

} // namespace

usage_director::usage_director(host_state& host, peer_gossip& gossip, duty_client& client,
                               const duty_settings& settings)
    : m_host{host}, m_gossip{gossip}, m_client{client}, m_lease_time{settings.lease_time},
      m_reports{settings.reports_usage}, m_plan{settings.usage_window, settings.usage_due}
{
    if (m_reports) {
        m_host.usage.enable(settings.usage_window);
        m_return_subscription = m_host.store_history.on_return([this] { handle_return(); });
    }
}

void usage_director::start()
{
    if (!m_reports) {
        return;
    }
    const auto now = m_host.timers.now();
    update_clock(now);
    m_first_window = m_host.usage.window_at(*m_host.usage.clock().at(now));
    m_gossip.set_duty_news([this] { return make_greeting_news(); },
                           [this](host_number sender, const peer_address& from,
                                  const duty_news& news) { handle_news(sender, from, news); });
    m_client.set_record_handler([this](const std::string& of, std::uint64_t offset) {
        if (of != subject || !m_in_progress) {
            return;
        }
        // A host of the next rank may replace the record a lease after it has learned of it.
        duty_news news;
        news.reported =
            reported_usage{m_in_progress->window, offset, false, m_host.store_history.epoch()};
        const auto order = m_gossip.order_of_hosts(subject, duties::usage_plan::rank_count, true);
        for (const auto& each : order.first) {
            m_gossip.send_duty_news(each.at, news);
        }
    });
    tick();
}

void usage_director::tick()
{
    const auto now = m_host.timers.now();
    m_timer = m_host.timers.call_at(now + tick_interval, [this] { tick(); });
    if (now - m_clock_updated >= clock_interval) {
        update_clock(now);
    }
    const auto order = m_gossip.order_of_hosts(subject, duties::usage_plan::rank_count,
                                               !m_host.is_stopping() && !m_host.paths.is_cut_off());
    ++m_ticks;
    announce(order.first, m_ticks % open_window_ticks == 0, m_ticks % ended_window_ticks == 0);
    act(order, now);
}

void usage_director::update_clock(time_point now)
{
    m_clock_updated = now;
    m_host.usage.clock().update(own_time_of_day(), now);
}

void usage_director::announce(const std::vector<duty_recipient>& to, bool open, bool ended)
{
    const auto& usage = m_host.usage;
    const auto present = usage.window_at(*usage.clock().at(m_host.timers.now()));
    for (const auto& [window, counts] : usage.own_counts()) {
        if (!(window < present ? ended : open)) {
            continue;
        }
        for (const auto& recipient : to) {
            if (!usage.must_announce(window, recipient.number)) {
                continue;
            }
            duty_news news;
            std::size_t bytes = 0;
            for (const auto& [account, runs] : counts) {
                const auto size = account.size() + count_overhead_bytes;
                if (bytes + size > max_count_bytes && bytes > 0) {
                    m_gossip.send_duty_news(recipient.at, std::exchange(news, {}));
                    bytes = 0;
                }
                if (news.usage.empty()) {
                    news.usage.emplace_back(window, duties::account_counts{});
                }
                news.usage.back().second.emplace(account, runs);
                bytes += size;
            }
            m_gossip.send_duty_news(recipient.at, news);
        }
    }
}

void usage_director::announce_last()
{
    if (m_reports) {
        announce(m_gossip.order_of_hosts(subject, duties::usage_plan::rank_count, false).first,
                 true, true);
    }
}

void usage_director::act(const duty_order& order, time_point now)
{
    const auto true_now = *m_host.usage.clock().at(now);
    const auto& newest = m_client.newest(subject);
    auto view = view_of_record(newest);
    view.now = true_now;
    view.rank = order.own_rank;
    view.last_done = m_last_done;
    view.knows_newest = m_client.knows_newest(subject);
    if (view.recorded_window && m_unanswered_record == newest->offset) {
        // The platform is slow, or down: the next window must not wait for this one.
        view.is_record_delivered = true_now >= m_host.usage.end_of(*view.recorded_window + 1) +
                                                   m_plan.delay_of(order.own_rank);
    }
    const auto verdict = m_plan.decide(view);
    drop_late(verdict.first_open, order.own_rank);
    if (now < m_paused_until || m_client.is_busy(subject)) {
        return;
    }
    const auto give_up_at = now + std::max(verdict.until - true_now, m_lease_time);
    switch (verdict.what) {
    case duties::usage_verdict::kind::nothing:
        break;
    case duties::usage_verdict::kind::read:
        m_client.read_newest(subject);
        break;
    case duties::usage_verdict::kind::repeat:
        repeat(verdict.window, give_up_at);
        break;
    case duties::usage_verdict::kind::report:
        report(verdict.window, give_up_at);
        break;
    }
}

void usage_director::drop_late(std::uint64_t first_open, std::size_t rank)
{
    if (first_open == 0 || (m_last_done && *m_last_done + 1 >= first_open)) {
        return;
    }
    const auto last = first_open - 1;
    if (m_last_done && rank < duties::usage_plan::rank_count && last >= m_first_window) {
        ++m_windows_dropped;
        spdlog::warn("duty_windows_dropped from={} to={} runs={} rank={}", *m_last_done + 1, last,
                     total_runs(m_host.usage.total(last)), rank);
    }
    m_last_done = last;
    m_host.usage.close(last);
}

void usage_director::report(std::uint64_t window, time_point give_up_at)
{
    const auto counts = m_host.usage.total(window);
    if (window < m_first_window && counts.empty()) {
        // This host has started since, and nobody has announced runs of that window.
        m_last_done = std::max(m_last_done.value_or(0), window);
        return;
    }
    report_in_progress current{window, counts.size(), total_runs(counts),
                               m_host.usage.host_count(window), false};
    m_in_progress = current;
    duty_request request;
    request.subject = subject;
    request.kind = duty_kind::usage_report;
    request.body = m_host.wire.usage_report(window, counts);
    request.give_up_at = give_up_at;
    request.may_replace = [this, window,
                           body = request.body](const std::optional<duties::duty_record>& newest) {
        if (m_reported && m_reported->window >= window) {
            return false;
        }
        auto view = view_of_record(newest);
        view.is_record_delivered =
            view.is_record_delivered || (newest && m_unanswered_record == newest->offset);
        return m_plan.may_replace(window, newest && newest->content == body, view);
    };
    m_client.perform(std::move(request), [this, current](const duty_outcome& outcome) {
        handle_outcome(outcome, current);
    });
}

void usage_director::repeat(std::uint64_t window, time_point give_up_at)
{
    const auto& newest = m_client.newest(subject);
    report_in_progress current;
    current.window = window;
    current.is_repeat = true;
    m_in_progress = current;
    duty_request request;
    request.subject = subject;
    request.kind = duty_kind::usage_report;
    request.body = newest->content;
    request.give_up_at = give_up_at;
    request.may_replace = [this, window,
                           body = request.body](const std::optional<duties::duty_record>& of) {
        return of && of->content == body && m_plan.may_replace(window, true, view_of_record(of));
    };
    m_client.perform(std::move(request), [this, current](const duty_outcome& outcome) {
        handle_outcome(outcome, current);
    });
}

void usage_director::handle_outcome(const duty_outcome& outcome, const report_in_progress& of)
{
    m_in_progress.reset();
    const auto now = m_host.timers.now();
    if (outcome.what == duty_outcome::result::not_permitted) {
        m_paused_until = now + retry_interval;
        return;
    }
    const auto record = outcome.record;
    if (outcome.what == duty_outcome::result::answered && !may_be_repeated(outcome.status)) {
        m_failing_since.reset();
        const auto after_end = std::chrono::duration_cast<milliseconds>(
            *m_host.usage.clock().at(now) - m_host.usage.end_of(of.window));
        const bool accepted = is_success(outcome.status);
        m_windows_reported += accepted ? 1 : 0;
        m_runs_reported += accepted ? of.runs : 0;
        spdlog::info("{} window={} token={} status={} accounts={} runs={} hosts={} repeat={} "
                     "after_end_ms={}",
                     accepted ? "duty_usage_reported" : "duty_usage_refused", of.window,
                     outcome.fencing_token, outcome.status, of.accounts, of.runs, of.hosts,
                     of.is_repeat, after_end.count());
        finish_window(of.window, record);
        m_gossip.announce_reachability();
        return;
    }
    m_unanswered_record = record;
    handle_failure(now);
}

void usage_director::finish_window(std::uint64_t window, std::optional<std::uint64_t> record)
{
    m_last_done = std::max(m_last_done.value_or(0), window);
    if (record) {
        m_delivered_end = std::max(m_delivered_end, *record + 1);
    }
    if (!m_reported || m_reported->window <= window) {
        m_reported = reported_usage{window, record, true, m_host.store_history.epoch()};
    }
    m_host.usage.close(window);
}

void usage_director::handle_return()
{
    m_delivered_end = 0;
    m_unanswered_record.reset();
    if (m_reported) {
        m_reported->record.reset();
    }
    m_last_before_return = m_last_done;
    spdlog::warn("duty_usage_history_begins last_done={} effect=\"windows that may have been "
                 "reported under a lost record are not reported anew\"",
                 m_last_done.value_or(0));
}

duties::usage_view
usage_director::view_of_record(const std::optional<duties::duty_record>& newest) const
{
    duties::usage_view out;
    if (const auto since = m_client.complete_since(subject)) {
        out.complete_since = m_host.usage.clock().at(*since);
    }
    if (newest) {
        out.recorded_window = m_host.wire.read_reported_window(newest->content);
        out.is_record_delivered =
            newest->offset < m_delivered_end ||
            (out.recorded_window && m_reported && *out.recorded_window <= m_reported->window);
    }
    return out;
}

void usage_director::handle_failure(time_point now)
{
    m_failing_since = m_failing_since.value_or(now);
    const auto lease_half = m_lease_time / 2;
    if (now - *m_failing_since < lease_half / 2) {
        m_paused_until = now + retry_interval;
        return;
    }
    // This host may be the only one that does not reach the platform. The host of the next rank can
    // replace the record only if it is not renewed for a lease.
    m_failing_since.reset();
    const auto pause = m_gossip.peer_count() > 0
                           ? m_lease_time + duties::subject_authority::margin + lease_half
                           : milliseconds{clock_interval};
    m_paused_until = now + pause;
    spdlog::warn("duty_paused subject={} pause_ms={} reason=\"the platform accepts no call\"",
                 subject, pause.count());
}

void usage_director::handle_news(host_number sender, const peer_address& from,
                                 const duty_news& news)
{
    auto& usage = m_host.usage;
    const auto now = m_host.timers.now();
    if (news.time_of_day) {
        usage.clock().record(sender, *news.time_of_day, now);
    }
    if (news.reported) {
        apply_reported(*news.reported);
    }
    duty_news answer;
    for (const auto& [window, counts] : news.usage) {
        if (const auto runs =
                usage.record_announced(sender, window, counts, *usage.clock().at(now))) {
            answer.receipts.push_back({window, *runs});
        }
    }
    if (!answer.receipts.empty()) {
        m_gossip.send_duty_news(from, answer);
    }
    for (const auto& each : news.receipts) {
        usage.handle_receipt(sender, each.window, each.runs);
    }
}

void usage_director::apply_reported(const reported_usage& reported)
{
    const bool is_of_this_history =
        reported.record && reported.epoch == m_host.store_history.epoch() &&
        (!m_last_before_return || reported.window > *m_last_before_return);
    if (is_of_this_history) {
        m_client.handle_announced_record(subject, *reported.record);
    }
    if (reported.delivered) {
        finish_window(reported.window, is_of_this_history ? reported.record : std::nullopt);
    }
}

duty_news usage_director::make_greeting_news() const
{
    duty_news out;
    out.time_of_day = own_time_of_day();
    out.reported = m_reported;
    return out;
}

void usage_director::log_counts() const
{
    if (!m_reports) {
        return;
    }
    const auto& calls = m_client.counts();
    spdlog::info("duty_counts windows_reported={} windows_dropped={} runs_reported={} late_runs={} "
                 "last_done={} rank={} calls={} accepted={} unanswered={} refused={} "
                 "not_permitted={} store_reads={} store_appends={} clock_error_ms={}",
                 m_windows_reported, m_windows_dropped, m_runs_reported, m_host.usage.late_runs(),
                 m_last_done.value_or(0),
                 m_gossip.order_of_hosts(subject, duties::usage_plan::rank_count, true).own_rank,
                 calls.calls, calls.accepted, calls.unanswered, calls.refused, calls.not_permitted,
                 calls.reads, calls.appends, m_host.usage.clock().own_error().count());
}

} // namespace cicadaport::serving
