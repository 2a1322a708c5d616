#include "cicadaport/serving/feed_follower.h"

#include "internal/feed_records.h"

#include <spdlog/spdlog.h>

#include <charconv>

namespace cicadaport::serving {
namespace {

constexpr unsigned max_doublings = 3;
// Gossip from one host reaches the others within about 20 ms. With this much more delay per
// host, about three hosts read where one would be enough.
constexpr milliseconds delay_per_host{8};
constexpr int interval_to_delay_ratio = 4;
// A backlog of several records is read in full up to this size, in bytes.
constexpr std::uint64_t max_backlog_bytes = 256ULL * 1024;

std::optional<std::uint64_t> body_size_of(const transport::message_head& head)
{
    const auto text = head.fields.find("Content-Length");
    std::uint64_t size = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), size).ec != std::errc{}) {
        return std::nullopt;
    }
    return size;
}

list_position& position_of(host_state& host, feed which)
{
    return which == feed::configuration ? host.configuration_position : host.endpoints_position;
}

} // namespace

feed_follower::feed_follower(host_state& host, http::address store, feed which, feed_times times,
                             callbacks actions)
    : m_host{host}, m_store{std::move(store)}, m_feed{which}, m_times{times}, m_actions{std::move(
                                                                                  actions)},
      m_response_timer{host.timers}, m_position{position_of(host, which)}
{
    m_return_subscription = m_host.store_history.on_return([this] { handle_return(); });
}

feed_follower::~feed_follower()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
    }
}

void feed_follower::send_request()
{
    if (!m_reading_full_list && m_position.generation != m_host.store_history.generation()) {
        start_full_read(milliseconds{0});
        return;
    }
    prepare_verification();
    m_requested_at = m_host.timers.now();
    m_position.call_started_at = m_requested_at;
    m_requested_offset = m_is_verifying ? m_position.offset - 1 : m_position.offset;
    m_offset_at_request = m_position.offset;
    m_last_record_at_request = m_position.last_record;
    m_body_size.reset();
    m_body.clear();
    auto& calls = m_host.store_calls;
    ++(m_reading_full_list             ? calls.pages
       : m_feed == feed::configuration ? calls.configuration_reads
                                       : calls.endpoint_reads);
    const auto request =
        m_reading_full_list
            ? m_host.wire.newest_request(m_feed, m_full_list.empty() ? std::string{}
                                                                     : m_full_list.back().key)
            : m_host.wire.read_request(m_feed, m_requested_offset);
    m_response_timer.start(m_times.response_timeout, [this] {
        m_connection->abandon();
        failed("the store's response stalled");
    });
    if (m_connection == nullptr || !m_connection->is_reusable()) {
        connect();
    }
    m_connection->send(request, *this);
}

void feed_follower::connect()
{
    // Enough for whole pages of a large list.
    constexpr std::uint64_t most_bytes = 16ULL * 1024 * 1024;
    transport::message_limits limits;
    limits.body_bytes = most_bytes;
    m_connection =
        std::make_shared<transport::exchange_connection>(m_host.context, m_host.timers, limits);
    transport::exchange_connection::times times;
    times.connect = m_times.response_timeout;
    times.socket.peer_silence = m_times.response_timeout;
    m_connection->connect(m_store, times);
}

void feed_follower::on_head(transport::message_head head)
{
    m_status = head.status;
    m_body_size = body_size_of(head);
    m_epoch = m_host.wire.read_store_epoch(head);
}

void feed_follower::on_body(std::string_view piece)
{
    m_body += piece;
    m_response_timer.record_received(piece.size());
    if (is_superseded_backlog()) {
        skip_backlog();
    }
}

bool feed_follower::is_superseded_backlog() const
{
    if (m_reading_full_list || !supersedes_earlier_records(m_feed) ||
        m_body_size.value_or(m_body.size()) <= max_backlog_bytes) {
        return false;
    }
    const auto end = m_host.wire.read_list_end(m_status, m_body);
    return end && *end > m_offset_at_request + 1;
}

void feed_follower::skip_backlog()
{
    spdlog::info("feed_backlog_skipped feed={} bytes={} effect=\"newest record read\" {}",
                 to_string(m_feed), m_body_size.value_or(m_body.size()),
                 to_fields(m_position, m_host.timers.now()));
    m_response_timer.cancel();
    m_connection->abandon();
    m_position.call_started_at.reset();
    start_full_read(milliseconds{0});
}

void feed_follower::start_full_read(milliseconds pause)
{
    m_reading_full_list = true;
    m_is_reading_refilled = false;
    m_full_list.clear();
    m_full_list_generation = m_host.store_history.generation();
    m_first_appended_offset.reset();
    schedule_read_after(pause);
}

void feed_follower::on_complete()
{
    m_response_timer.cancel();
    m_position.call_started_at.reset();
    if (!is_answer_current()) {
        return;
    }
    const bool read_full_list = m_reading_full_list;
    const bool had_read = m_has_read;
    try {
        if (m_reading_full_list) {
            apply_newest();
        }
        else {
            apply_records();
        }
    }
    catch (const store_error& error) {
        if (error.what_kind() == store_error::kind::expired) {
            const auto first = m_host.wire.read_first_offset(m_status, m_body);
            if (m_is_verifying && first == m_offset_at_request && !m_is_contradicted) {
                // The last known record has expired, so it can't be compared.
                m_has_expired_records = true;
                schedule_read_after(milliseconds{0});
                return;
            }
            if (!m_reading_full_list && first && *first <= m_requested_offset) {
                m_host.record_unannounced_return(m_feed, "the store does not have a known offset");
            }
            spdlog::info("feed_begins_anew feed={} reason=\"{}\" {}", to_string(m_feed),
                         error.what(), to_fields(m_position, m_host.timers.now()));
            start_full_read(feed_times::initial_backoff);
            return;
        }
        failed(error.what());
    }
    catch (const std::exception& error) {
        // What was not applied is read again.
        if (read_full_list) {
            start_full_read(feed_times::initial_backoff);
        }
        else {
            m_position.offset = m_offset_at_request;
            m_position.last_record = m_last_record_at_request;
        }
        m_has_read = had_read;
        failed(error.what());
    }
}

void feed_follower::apply_newest()
{
    auto page = m_host.wire.read_newest(m_status, m_body);
    succeeded();
    // The pages are not one snapshot. Changes made between them are read afterwards, from
    // the offset in the first page.
    if (!m_first_appended_offset) {
        m_first_appended_offset = page.next_offset;
    }
    const bool more = page.more && !page.entries.empty();
    std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_full_list));
    if (more) {
        schedule_read_after(milliseconds{0});
        return;
    }
    finish_full_list();
}

void feed_follower::finish_full_list()
{
    if (has_unannounced_return()) {
        m_host.record_unannounced_return(m_feed, "the whole list does not continue known records");
        return;
    }
    const bool has_returned = m_has_read && m_position.generation != m_full_list_generation;
    m_position.generation = m_full_list_generation;
    m_position.offset = *std::exchange(m_first_appended_offset, std::nullopt);
    m_position.stated_end = m_position.offset;
    m_position.last_record =
        m_position.offset > 0 ? find_digest(m_full_list, m_position.offset - 1) : std::nullopt;
    m_position.known_at = m_requested_at;
    m_position.read_by = list_reader::this_host;
    m_reading_full_list = false;
    m_has_read = true;
    m_is_contradicted = false;
    const bool is_refilled = std::exchange(m_is_reading_refilled, false);
    if (has_returned) {
        m_position.announced_end = 0;
        if (!supersedes_earlier_records(m_feed)) {
            m_refill_timer = m_host.timers.call_at(*m_host.store_history.last_return() +
                                                       history::store_history::refill_time,
                                                   [this] { read_refilled_list(); });
        }
        // Hosts that have not noticed the return compare their last record with this one.
        shared_page page;
        page.of = m_feed;
        page.from = page.to = page.list_end = m_position.offset;
        page.record_before = page.last_record = m_position.last_record;
        page.read_at = m_requested_at;
        announce(page);
    }
    m_actions.on_full_list(std::exchange(m_full_list, {}), m_refill_timer.is_set()
                                                               ? list_state::refilling
                                                           : is_refilled ? list_state::refilled
                                                                         : list_state::complete);
    schedule_next_read();
}

void feed_follower::read_refilled_list()
{
    abandon_call();
    start_full_read(milliseconds{0});
    m_is_reading_refilled = true;
}

void feed_follower::apply_records()
{
    auto page = m_host.wire.read_records(m_status, m_body, m_requested_offset);
    succeeded();
    m_position.stated_end = page.list_end;
    if (const auto evidence = find_discontinuity(page); !evidence.empty()) {
        m_host.record_unannounced_return(m_feed, evidence);
        return;
    }
    if (is_in_doubt() && can_be_verified() && !m_is_verifying) {
        // The doubt arose during the call, whose answer doesn't hold the last known record.
        schedule_read_after(milliseconds{0});
        return;
    }
    if (std::exchange(m_needs_full_list, false)) {
        start_full_read(milliseconds{0});
        return;
    }
    m_is_contradicted = m_is_contradicted && !m_is_verifying && !m_host.store_history.epoch();
    const auto last_read =
        page.next_offset > 0 ? find_digest(page.entries, page.next_offset - 1) : std::nullopt;
    // Some of these records may have arrived by gossip since the request was sent.
    page.entries = unseen_entries(std::move(page.entries));
    shared_page shared;
    shared.of = m_feed;
    shared.from = m_position.offset;
    shared.to = std::max(m_position.offset, page.next_offset);
    shared.list_end = std::max(shared.to, page.list_end);
    shared.read_at = m_requested_at;
    shared.record_before = m_position.last_record;
    if (page.next_offset > m_position.offset) {
        m_position.last_record = last_read;
    }
    m_position.offset = shared.to;
    const bool reaches_end = shared.to >= page.list_end;
    if (reaches_end) {
        update_known_at(m_requested_at, list_reader::this_host);
        shared.last_record = shared.list_end == shared.to ? m_position.last_record : std::nullopt;
    }
    if (!page.entries.empty()) {
        shared.entries = m_actions.on_added(page.entries);
    }
    announce(shared);
    read_on(reaches_end, shared.to > shared.from);
}

void feed_follower::read_on(bool reaches_end, bool has_progressed)
{
    if (!reaches_end) {
        schedule_read_after(has_progressed ? milliseconds{0} : feed_times::initial_backoff);
        return;
    }
    if (m_position.offset < std::exchange(m_position.announced_end, m_position.offset)) {
        // Either the store's response is older than what another host has read, or that host is
        // wrong. The list is read once more, and that response is accepted.
        schedule_read_after(feed_times::initial_backoff);
        return;
    }
    schedule_next_read();
}

std::vector<feed_entry> feed_follower::unseen_entries(std::vector<feed_entry> entries) const
{
    std::erase_if(entries,
                  [this](const feed_entry& each) { return each.offset < m_position.offset; });
    return entries;
}

void feed_follower::update_known_at(time_point at, list_reader by)
{
    if (!m_position.known_at || at > *m_position.known_at) {
        m_position.known_at = at;
        m_position.read_by = by;
    }
}

void feed_follower::schedule_next_read()
{
    const auto now = m_host.timers.now();
    if (m_position.offset < m_position.announced_end) {
        // The missing datagrams from another host may still arrive. If they are lost, the
        // records are read from the store.
        if (!m_gap_since) {
            m_gap_since = now;
        }
        schedule_read_after(std::max(std::chrono::duration_cast<milliseconds>(
                                         *m_gap_since + random_delay(max_gap_delay) - now),
                                     milliseconds{0}));
        return;
    }
    m_gap_since.reset();
    const auto due = m_position.known_at.value_or(now) + m_times.interval +
                     random_delay(m_times.interval / interval_to_delay_ratio);
    schedule_read_after(
        std::max(std::chrono::duration_cast<milliseconds>(due - now), milliseconds{0}));
}

milliseconds feed_follower::random_delay(milliseconds most) const
{
    const auto hosts =
        1 + (m_host.gossip != nullptr ? static_cast<int>(m_host.gossip->peer_count()) : 0);
    const auto longest = std::min(delay_per_host * hosts, most);
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{0, longest.count()}(m_host.random)};
}

void feed_follower::schedule_read_after(milliseconds pause)
{
    m_read_timer = m_host.timers.call_at(m_host.timers.now() + pause, [this] {
        try {
            send_request();
        }
        catch (const std::exception& error) {
            m_response_timer.cancel();
            if (m_connection != nullptr) {
                m_connection->abandon();
            }
            failed(error.what());
        }
    });
}

void feed_follower::on_failure(transport::exchange_failure)
{
    m_response_timer.cancel();
    failed("the connection to the store failed");
}

void feed_follower::succeeded()
{
    if (m_position.failures > 0) {
        spdlog::info("feed_regained feed={} {}", to_string(m_feed),
                     to_fields(m_position, m_host.timers.now()));
        m_position.failures = 0;
    }
}

void feed_follower::failed(std::string_view reason)
{
    m_position.call_started_at.reset();
    if (m_position.failures == 0) {
        spdlog::warn("feed_interrupted feed={} reason=\"{}\" received_bytes={} {}",
                     to_string(m_feed), reason, m_body.size(),
                     to_fields(m_position, m_host.timers.now()));
    }
    ++m_host.failed_list_calls;
    if (m_reading_full_list) {
        // Pages from before and after an interruption may belong to two histories.
        m_full_list.clear();
        m_first_appended_offset.reset();
    }
    // Before its first complete read a host serves no requests, so it retries without growing
    // backoff.
    const auto grown =
        feed_times::initial_backoff * (1U << std::min(m_position.failures, max_doublings));
    const auto pause =
        m_has_read ? std::min(grown, m_times.max_backoff) : feed_times::initial_backoff;
    ++m_position.failures;
    // The jitter keeps hosts that lost the store at the same time from retrying together.
    const auto spread =
        std::uniform_int_distribution<std::int64_t>{0, pause.count()}(m_host.random);
    schedule_read_after(pause + milliseconds{spread});
}

} // namespace cicadaport::serving
