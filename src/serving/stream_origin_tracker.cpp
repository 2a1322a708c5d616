#include "cicadaport/serving/stream_origin_tracker.h"

#include "cicadaport/serving/host_state.h"
#include "cicadaport/serving/single_call.h"
#include "internal/feed_records.h"

#include "news.pb.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// Time within which the store answers a call, and for which the records that it sends may stall.
constexpr milliseconds call_timeout{300};
// Streams that wait to be appended while the store takes no appends; older ones are dropped.
constexpr std::size_t max_unwritten = 20'000;

bool are_equal(const std::vector<listed_version>& one, const std::vector<listed_version>& other)
{
    return std::is_permutation(one.begin(), one.end(), other.begin(), other.end(),
                               [](const listed_version& left, const listed_version& right) {
                                   return left.service == right.service &&
                                          left.origin == right.origin;
                               });
}

// Returns the time since `then`; -1 if there is none.
std::int64_t to_ms(std::optional<time_point> then, time_point now)
{
    return then ? std::chrono::duration_cast<milliseconds>(now - *then).count() : -1;
}

} // namespace

stream_origin_tracker::stream_origin_tracker(host_state& host) : m_host{host}
{
    m_return_subscription = m_host.store_history.on_return([this] { handle_return(); });
}

void stream_origin_tracker::handle_return()
{
    const auto now = m_host.timers.now();
    spdlog::info("stream_origins_begin_anew offset={} streams={} generation={} "
                 "effect=\"known streams are appended again\"",
                 m_offset, m_origins.size(), m_host.store_history.generation());
    m_offset = 0;
    m_last_record.reset();
    m_written_versions.clear();
    m_versions_written_at = {};
    m_origins.restart_history(now);
    m_must_rewrite = true;
    schedule_append();
}

bool stream_origin_tracker::is_history_settled(time_point now) const
{
    const auto& history = m_host.store_history;
    return history.generation() == 0 || now - *history.known_since() >= m_origins.retention();
}

void stream_origin_tracker::note_report(const endpoint_report& report)
{
    m_origins.note_report(report, m_host.timers.now());
}

void stream_origin_tracker::handle_changed_list()
{
    const auto now = m_host.timers.now();
    m_origins.update(m_host.endpoints, now);
    if (!are_equal(m_written_versions, m_origins.versions(now))) {
        schedule_append();
    }
}

void stream_origin_tracker::handle_whole_list()
{
    m_origins.restart_history(m_host.timers.now());
}

void stream_origin_tracker::record_begin(std::span<const service_share> services,
                                         const std::string& request_id,
                                         const endpoint_report& replica)
{
    const auto now = m_host.timers.now();
    const begun_stream begun{number_of_stream(request_id), origin_of(replica)};
    if (request_id.empty() || !m_origins.record(begun, now) ||
        m_origins.only_origin(services, now)) {
        return;
    }
    m_unwritten.push_back(begun);
    schedule_append();
    if (m_gossip == nullptr) {
        return;
    }
    m_unannounced.push_back(begun);
    if (!m_announcement.is_set()) {
        m_announcement = m_host.timers.call_at(now + announcement_delay, [this] { announce(); });
    }
}

void stream_origin_tracker::announce()
{
    m_announcement.cancel();
    m_gossip->announce_streams(m_unannounced);
    m_unannounced.clear();
}

void stream_origin_tracker::apply_announced(const begun_stream& begun)
{
    if (m_origins.record(begun, m_host.timers.now())) {
        m_unwritten.push_back(begun);
        schedule_append();
    }
}

bool stream_origin_tracker::is_writer() const
{
    return m_gossip != nullptr && m_gossip->rank_among_known_hosts() < writer_count;
}

void stream_origin_tracker::schedule_append()
{
    if (!m_append_timer.is_set()) {
        m_append_timer =
            m_host.timers.call_at(m_host.timers.now() + append_interval, [this] { append(); });
    }
}

void stream_origin_tracker::append()
{
    m_append_timer.cancel();
    const auto now = m_host.timers.now();
    if (m_append_pending) {
        schedule_append();
        return;
    }
    const bool must_rewrite = std::exchange(m_must_rewrite, false);
    if (!is_writer()) {
        m_unwritten.clear();
        return;
    }
    if (must_rewrite) {
        m_unwritten = m_origins.streams();
    }
    protocol::stream_origin_record record;
    if (m_host.store_history.epoch() && is_history_settled(now)) {
        record.set_epoch(*m_host.store_history.epoch());
    }
    const auto batch_end =
        m_unwritten.begin() +
        static_cast<std::ptrdiff_t>(std::min(m_unwritten.size(), max_streams_per_append));
    std::vector<begun_stream> batch{m_unwritten.begin(), batch_end};
    for (const auto& each : batch) {
        auto& added = *record.add_streams();
        added.set_stream(each.stream);
        added.set_origin(each.origin);
    }
    auto versions = m_origins.versions(now);
    for (const auto& each : versions) {
        auto& added = *record.add_versions();
        added.set_service(each.service);
        added.set_origin(each.origin);
    }
    if (versions.empty()) {
        return;
    }
    m_unwritten.erase(m_unwritten.begin(), batch_end);
    if (!m_unwritten.empty()) {
        schedule_append();
    }
    m_append_pending = true;
    ++m_host.store_calls.appends;
    const std::vector<feed_entry> entries{{"", record.SerializeAsString()}};
    call_once(m_host, m_store,
              m_host.wire.append_request(feed::stream_origins, entries, std::nullopt), call_timeout,
              [this, versions = std::move(versions), generation = m_host.store_history.generation(),
               streams = std::move(batch)](const auto& response) mutable {
                  m_append_pending = false;
                  if (response && m_host.accept_store_answer(response->epoch) &&
                      generation == m_host.store_history.generation() &&
                      m_host.wire.read_append(response->status, response->body)) {
                      m_written_versions = std::move(versions);
                      m_versions_written_at = m_host.timers.now();
                      return;
                  }
                  if (m_log_budget.try_acquire(m_host.timers.now())) {
                      spdlog::warn(
                          "stream_origins_not_appended streams={} status={} effect=\"tried "
                          "again\"",
                          streams.size(), response ? response->status : 0);
                  }
                  m_unwritten.insert(m_unwritten.begin(), streams.begin(), streams.end());
                  if (m_unwritten.size() > max_unwritten) {
                      m_unwritten.erase(m_unwritten.begin(), m_unwritten.end() - max_unwritten);
                  }
                  schedule_append();
              });
}

bool stream_origin_tracker::is_view_current() const
{
    const auto& position = m_host.endpoints_position;
    if (position.generation != m_host.store_history.generation()) {
        return false;
    }
    const auto age = position.age(m_host.timers.now());
    if (!age || *age <= max_view_age) {
        return age.has_value();
    }
    const auto heard_since = m_gossip != nullptr ? m_gossip->heard_since() : std::nullopt;
    return heard_since && *heard_since <= *position.known_at &&
           position.offset >= position.announced_end;
}

std::optional<origin_id> stream_origin_tracker::find_known(std::span<const service_share> services,
                                                           const std::string& begun_as) const
{
    if (!begun_as.empty()) {
        if (const auto recorded = m_origins.find(number_of_stream(begun_as))) {
            return recorded;
        }
    }
    const auto now = m_host.timers.now();
    return m_origins.has_whole_history(now) && is_view_current()
               ? m_origins.only_origin(services, now)
               : std::nullopt;
}

void stream_origin_tracker::find(std::span<const service_share> services,
                                 const std::string& begun_as, found_function on_found)
{
    if (const auto origin = find_known(services, begun_as)) {
        log_search(begun_as, origin, "known");
        on_found(origin);
        return;
    }
    auto& waiting = m_is_reading ? m_waiting_for_next : m_waiting;
    waiting.push_back({{services.begin(), services.end()}, begun_as, std::move(on_found)});
    if (!m_is_reading) {
        begin_read();
    }
}

void stream_origin_tracker::begin_read()
{
    m_is_reading = true;
    m_found_versions = false;
    // Without an epoch, only a known record shows that the topic is still the one that was read.
    m_is_verifying = m_last_record && !m_host.store_history.epoch();
    read_log();
}

void stream_origin_tracker::read_log()
{
    ++m_host.store_calls.origin_reads;
    m_read_generation = m_host.store_history.generation();
    const auto from = m_is_verifying ? m_offset - 1 : m_offset;
    call_for_large_response(m_host, m_store, m_host.wire.read_request(feed::stream_origins, from),
                            call_timeout, [this](const auto& response) { handle_page(response); });
}

void stream_origin_tracker::handle_page(const std::optional<call_response>& response)
{
    if (!response || !m_host.accept_store_answer(response->epoch)) {
        end_read(false);
        return;
    }
    if (m_read_generation != m_host.store_history.generation()) {
        m_is_verifying = false;
        m_found_versions = false;
        read_log();
        return;
    }
    try {
        if (apply_page(*response)) {
            end_read(true);
        }
        else {
            read_log();
        }
    }
    catch (const std::exception& error) {
        spdlog::info("stream_origins_not_read reason=\"{}\"", error.what());
        end_read(false);
    }
}

bool stream_origin_tracker::apply_page(const call_response& response)
{
    const bool is_verifying = std::exchange(m_is_verifying, false);
    const auto from = is_verifying ? m_offset - 1 : m_offset;
    if (const auto first = m_host.wire.read_first_offset(response.status, response.body)) {
        if (*first > from) {
            m_offset = *first;
            m_last_record.reset();
        }
        else if (from > 0) {
            record_return("the store does not have a known offset");
        }
        else {
            throw store_error{store_error::kind::refused, "the first offset is not newer"};
        }
        return false;
    }
    const auto page = m_host.wire.read_records(response.status, response.body, from);
    if (page.list_end < m_offset) {
        record_return("the topic ends before known records");
        return false;
    }
    if (is_verifying && find_digest(page.entries, from) != m_last_record) {
        record_return("the last known record differs");
        return false;
    }
    for (const auto& each : page.entries) {
        if (each.offset >= m_offset) {
            apply_record(each.value.value_or(""));
        }
    }
    if (page.next_offset > m_offset) {
        m_offset = page.next_offset;
        m_last_record = find_digest(page.entries, m_offset - 1);
    }
    return page.entries.empty() || m_offset >= page.list_end;
}

void stream_origin_tracker::record_return(std::string_view evidence)
{
    m_found_versions = false;
    m_host.record_unannounced_return(feed::stream_origins, evidence);
}

void stream_origin_tracker::apply_record(std::string_view bytes)
{
    const auto now = m_host.timers.now();
    protocol::stream_origin_record record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (m_log_budget.try_acquire(now)) {
            spdlog::warn("stream_origins_unreadable bytes={}", bytes.size());
        }
        return;
    }
    for (const auto& each : record.streams()) {
        m_origins.record({each.stream(), each.origin()}, now);
    }
    for (const auto& each : record.versions()) {
        m_origins.note_version({each.service(), each.origin()}, now);
        m_found_versions = true;
    }
    const auto epoch = record.has_epoch() ? std::optional{record.epoch()} : std::nullopt;
    if (epoch != m_host.store_history.epoch()) {
        m_incomplete_at = now;
    }
}

void stream_origin_tracker::end_read(bool is_complete)
{
    const auto now = m_host.timers.now();
    const bool may_lack_records =
        !is_history_settled(now) ||
        (m_incomplete_at && now - *m_incomplete_at < m_origins.retention());
    if (is_complete && m_found_versions && !may_lack_records) {
        // The records reach back further than streams last.
        m_origins.confirm_history(now);
    }
    m_is_reading = false;
    const auto waiting = std::exchange(m_waiting, std::exchange(m_waiting_for_next, {}));
    if (!m_waiting.empty()) {
        begin_read();
    }
    for (const auto& each : waiting) {
        const auto origin = find_known(each.services, each.begun_as);
        log_search(each.begun_as, origin, is_complete ? "log" : "log_unreachable");
        each.on_found(origin);
    }
}

std::set<std::string> stream_origin_tracker::replicas_that_begin_no_streams(
    std::span<const endpoint_pointer> replicas) const
{
    return m_origins.unfit_to_begin(replicas, m_host.timers.now());
}

void stream_origin_tracker::log_search(const std::string& begun_as, std::optional<origin_id> origin,
                                       std::string_view source)
{
    const auto now = m_host.timers.now();
    if (!m_log_budget.try_acquire(now)) {
        return;
    }
    spdlog::info("stream_origin_{} begun_as={} origin={:x} source={} versions={} whole_history={} "
                 "current_view={} view_age_ms={} heard_ms={} passed_over={}",
                 origin ? "found" : "unknown", begun_as, origin.value_or(0), source,
                 m_origins.versions(now).size(), m_origins.has_whole_history(now),
                 is_view_current(), to_ms(m_host.endpoints_position.known_at, now),
                 to_ms(m_gossip != nullptr ? m_gossip->heard_since() : std::nullopt, now),
                 m_log_budget.take_suppressed_count());
}

void stream_origin_tracker::run_housekeeping()
{
    const auto now = m_host.timers.now();
    m_origins.forget_old(now);
    if (now - m_versions_written_at >= versions_interval && is_writer()) {
        schedule_append();
    }
}

} // namespace cicadaport::serving
