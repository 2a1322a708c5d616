#include "cicadaport/duties/subject_authority.h"

#include "cicadaport/history/fencing_token.h"

#include <algorithm>
#include <utility>

namespace cicadaport::duties {

void subject_authority::request(std::string content, time_point now)
{
    if (current_permit(now) && m_permit_content == content) {
        return;
    }
    m_permit.reset();
    m_requested = std::move(content);
}

void subject_authority::withdraw()
{
    m_requested.reset();
    m_permit.reset();
    m_wants_newest = false;
}

void subject_authority::begin_history(std::optional<std::uint64_t> epoch, time_point known_since)
{
    m_epoch = epoch;
    m_complete_since = known_since;
    m_permit.reset();
    m_newest.reset();
    m_partition_end.reset();
    m_announced_offset.reset();
    m_known_end = 0;
    m_is_running_outdated = m_running != step::none;
}

subject_authority::next_step subject_authority::next(time_point now) const
{
    next_step out;
    if (m_running != step::none || (!m_requested && !m_wants_newest) ||
        (!m_requested && m_partition_end)) {
        return out;
    }
    const auto wait_until = [&out](time_point at) {
        out.what = step::wait;
        out.at = at;
        return out;
    };
    if (now < m_backoff_until) {
        return wait_until(m_backoff_until);
    }
    if (!m_partition_end) {
        out.what = step::read;
        return out;
    }
    if (const auto at = earliest_append(); now < at) {
        return wait_until(at);
    }
    out.what = step::append;
    out.offset = *m_partition_end;
    out.content = *m_requested;
    return out;
}

void subject_authority::begin(const next_step& started, time_point now)
{
    m_running = started.what;
    m_end_at_read = m_known_end;
    m_announced_at_read = m_announced_offset;
    if (started.what == step::append) {
        m_append_sent = now;
        m_append_content = started.content;
        m_has_appended = true;
    }
}

bool subject_authority::end_call()
{
    m_running = step::none;
    return !std::exchange(m_is_running_outdated, false);
}

std::string_view subject_authority::find_discontinuity(const std::optional<duty_record>& newest,
                                                       std::uint64_t partition_end) const
{
    if (m_is_running_outdated) {
        return {};
    }
    if (partition_end < m_end_at_read) {
        return "the partition ends before known records";
    }
    if (m_newest && (!newest || newest->offset < m_newest->offset)) {
        return "the newest known record is gone";
    }
    if (m_newest && newest->offset == m_newest->offset &&
        (newest->holder != m_newest->holder || newest->content != m_newest->content)) {
        return "another record is at a known offset";
    }
    if (m_announced_at_read && (!newest || newest->offset < *m_announced_at_read)) {
        return "a record that another host has announced is gone";
    }
    return {};
}

void subject_authority::handle_read_result(std::optional<duty_record> newest,
                                           std::uint64_t partition_end, time_point now)
{
    if (!end_call()) {
        return;
    }
    m_wants_newest = false;
    record_end(partition_end);
    set_newest(std::move(newest), now);
    if (m_announced_offset && m_newest && *m_announced_offset > m_newest->offset) {
        // The answer is older than the announcement.
        m_partition_end.reset();
        m_backoff_until = now + failure_backoff;
        return;
    }
    m_partition_end = partition_end;
}

void subject_authority::handle_append_result(std::uint64_t offset, time_point now)
{
    if (!end_call()) {
        // The condition was met by chance in a history that this host has not read.
        m_partition_end.reset();
        return;
    }
    const auto token = history::fencing_token(m_epoch, offset);
    const bool rises = token && *token > m_max_token;
    set_newest(duty_record{m_holder, m_append_content, offset, m_epoch}, now);
    m_partition_end = offset + 1;
    record_end(offset + 1);
    if (m_announced_offset && *m_announced_offset > offset) {
        m_partition_end.reset();
    }
    if (!token) {
        m_backoff_until = now + failure_backoff;
    }
    const auto expires = m_append_sent + m_lease_time / 2;
    if (m_requested != m_append_content || now >= expires || !rises) {
        return;
    }
    m_permit = permit{*token, expires, offset};
    m_permit_content = std::move(m_append_content);
    m_requested.reset();
}

void subject_authority::handle_append_refusal(time_point)
{
    end_call();
    m_partition_end.reset();
}

void subject_authority::handle_no_answer(time_point now)
{
    end_call();
    m_partition_end.reset();
    m_backoff_until = now + failure_backoff;
}

void subject_authority::handle_announced_record(std::uint64_t offset, time_point now)
{
    if ((m_announced_offset && offset <= *m_announced_offset) ||
        (m_newest && offset <= m_newest->offset)) {
        return;
    }
    m_announced_offset = offset;
    m_announced_at = now;
    record_token_of(offset);
    m_partition_end.reset();
}

void subject_authority::handle_other_append(std::uint64_t offset)
{
    record_end(offset + 1);
    if (m_partition_end == offset) {
        m_partition_end = offset + 1;
    }
}

void subject_authority::record_token_of(std::uint64_t offset)
{
    m_max_token = std::max(m_max_token, history::fencing_token(m_epoch, offset).value_or(0));
}

void subject_authority::record_end(std::uint64_t end)
{
    m_known_end = std::max(m_known_end, end);
}

std::optional<permit> subject_authority::current_permit(time_point now) const
{
    return m_permit && now < m_permit->expires ? m_permit : std::nullopt;
}

bool subject_authority::is_own(const duty_record& record) const
{
    return m_has_appended && record.holder == m_holder;
}

time_point subject_authority::earliest_append() const
{
    const auto wait = m_lease_time + margin;
    const auto after_other_history = m_complete_since ? *m_complete_since + wait : time_point{};
    return m_newest && !is_own(*m_newest) ? std::max(m_newest_since + wait, after_other_history)
                                          : after_other_history;
}

void subject_authority::set_newest(std::optional<duty_record> newest, time_point now)
{
    const bool changed = !newest || !m_newest || newest->offset != m_newest->offset;
    if (changed) {
        // A record that was announced earlier and is still the newest has been so since then.
        const bool was_announced = newest && m_announced_offset == newest->offset;
        m_newest_since = was_announced ? m_announced_at : now;
        if (newest && m_epoch && newest->epoch != m_epoch) {
            m_complete_since = now;
        }
    }
    if (newest) {
        record_token_of(newest->offset);
    }
    m_newest = std::move(newest);
}

} // namespace cicadaport::duties
