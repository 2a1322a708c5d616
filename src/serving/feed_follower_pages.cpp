// The pages of a list that hosts announce to each other.
#include "cicadaport/serving/feed_follower.h"

#include "internal/feed_records.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cicadaport::serving {

void feed_follower::announce(shared_page page) const
{
    if (m_host.gossip == nullptr) {
        return;
    }
    if (m_feed == feed::configuration &&
        std::any_of(page.entries.begin(), page.entries.end(),
                    [this](const auto& each) { return m_host.wire.may_hold_keys(each); })) {
        // The other hosts learn the end of the list and read the records from the store.
        page.entries.clear();
        page.to = page.from;
    }
    page.epoch = m_host.store_history.epoch();
    m_host.gossip->announce_page(page);
}

history::known_part feed_follower::known_part() const noexcept
{
    history::known_part out;
    out.epoch = m_host.store_history.epoch();
    out.offset = m_position.offset;
    out.last_record = m_position.last_record;
    out.known_at = m_position.known_at;
    return out;
}

bool feed_follower::is_same_history(const shared_page& page)
{
    history::announced_part announced;
    announced.epoch = page.epoch;
    announced.from = page.from;
    announced.to = page.to;
    announced.end = page.list_end;
    announced.record_before = page.record_before;
    announced.last_record = page.last_record;
    announced.overlap =
        m_position.offset > 0 ? find_digest(page.entries, m_position.offset - 1) : std::nullopt;
    announced.read_at = page.read_at;
    const auto related = history::relate(known_part(), announced);
    if (related == history::page_relation::continues) {
        return true;
    }
    if (m_page_log_budget.try_acquire(m_host.timers.now())) {
        spdlog::info("feed_page_not_applied feed={} relation={} page_epoch={} page_from={} "
                     "page_to={} page_end={} epoch={} passed_over={} {}",
                     to_string(m_feed), history::to_string(related), page.epoch.value_or(0),
                     page.from, page.to, page.list_end, known_part().epoch.value_or(0),
                     m_page_log_budget.take_suppressed_count(),
                     to_fields(m_position, m_host.timers.now()));
    }
    if (related == history::page_relation::contradicts) {
        // A host that does not reach the store learns from others alone. What the entries tell is
        // compared with what is known of each by its own version.
        if (page.epoch > m_host.store_history.epoch() || supersedes_earlier_records(m_feed)) {
            m_actions.on_added(page.entries);
        }
        verify_soon();
    }
    return false;
}

void feed_follower::verify_soon()
{
    if (!std::exchange(m_in_doubt, true) && !m_position.call_started_at) {
        schedule_read_after(random_delay(max_gap_delay));
    }
}

void feed_follower::apply(const shared_page& page)
{
    if (m_reading_full_list || page.of != m_feed || !is_same_history(page)) {
        return;
    }
    if (page.from > m_position.offset) {
        // The records in between may continue another history than the known one.
        m_in_doubt = true;
    }
    if (page.from <= m_position.offset && m_position.offset < page.to) {
        const auto added = unseen_entries(page.entries);
        m_position.offset = page.to;
        m_position.last_record = page.to == page.list_end && page.last_record
                                     ? page.last_record
                                     : find_digest(page.entries, page.to - 1);
        m_position.read_by = list_reader::other_host;
        m_actions.on_added(added);
    }
    // A page that ends before an announced end may come from a host that was suspended in
    // between, so it does not count as fresh.
    if (m_position.offset >= page.list_end && page.list_end >= m_position.announced_end) {
        update_known_at(page.read_at, list_reader::other_host);
    }
    m_position.announced_end = std::max(m_position.announced_end, page.list_end);
    if (!m_position.call_started_at) {
        schedule_next_read();
    }
}

} // namespace cicadaport::serving
