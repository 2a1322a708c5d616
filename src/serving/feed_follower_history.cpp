// How a feed follower notices that the store has returned from an older copy.
#include "cicadaport/serving/feed_follower.h"

#include "internal/feed_records.h"

namespace cicadaport::serving {
namespace {

// Maximum delay of the reads with which hosts follow a return of the store.
constexpr milliseconds max_return_delay{500};

} // namespace

bool feed_follower::can_be_verified() const noexcept
{
    return m_has_read && !m_reading_full_list && m_position.offset > 0 &&
           !m_host.store_history.epoch();
}

bool feed_follower::is_in_doubt() const noexcept
{
    return m_in_doubt || m_failed_list_calls != m_host.failed_list_calls;
}

bool feed_follower::needs_verification() const noexcept
{
    if (!can_be_verified()) {
        return false;
    }
    if (is_in_doubt() || m_is_contradicted) {
        return true;
    }
    // The records of the configuration are large, and only the newest one matters.
    const bool is_reconnecting = m_connection == nullptr || !m_connection->is_reusable();
    return is_reconnecting && m_position.last_record && !supersedes_earlier_records(m_feed);
}

void feed_follower::prepare_verification()
{
    const bool is_possible = !std::exchange(m_has_expired_records, false);
    const bool is_needed = is_possible && needs_verification();
    m_is_verifying = is_needed && m_position.last_record;
    m_needs_full_list = is_needed && !m_position.last_record;
    m_in_doubt = false;
    m_failed_list_calls = m_host.failed_list_calls;
}

bool feed_follower::is_answer_current()
{
    const auto generation = m_reading_full_list ? m_full_list_generation : m_position.generation;
    if (!m_host.accept_store_answer(m_epoch)) {
        failed("the answer belongs to an ended history of the store");
        return false;
    }
    if (generation != m_host.store_history.generation()) {
        start_full_read(milliseconds{0});
        return false;
    }
    return true;
}

void feed_follower::handle_return()
{
    m_refill_timer.cancel();
    abandon_call();
    start_full_read(random_delay(max_return_delay));
}

void feed_follower::abandon_call()
{
    if (m_position.call_started_at) {
        m_response_timer.cancel();
        m_connection->abandon();
        m_position.call_started_at.reset();
    }
}

std::string_view feed_follower::find_discontinuity(const feed_page& page) const
{
    if (page.list_end < m_offset_at_request) {
        return "the list ends before known records";
    }
    if (m_is_verifying &&
        find_digest(page.entries, m_requested_offset) != m_last_record_at_request) {
        return "the last known record differs";
    }
    return {};
}

bool feed_follower::has_unannounced_return() const
{
    return m_has_read && m_position.generation == m_full_list_generation &&
           (*m_first_appended_offset < m_position.offset ||
            (m_position.offset > 0 &&
             history::contradict(find_digest(m_full_list, m_position.offset - 1),
                                 m_position.last_record)));
}

} // namespace cicadaport::serving
