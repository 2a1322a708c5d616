#include "cicadaport/duties/subject_authority.h"

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
    if (started.what == step::append) {
        m_append_sent = now;
        m_append_content = started.content;
        m_has_appended = true;
    }
}

void subject_authority::handle_read_result(std::optional<duty_record> newest,
                                           std::uint64_t partition_end, time_point now)
{
    m_running = step::none;
    m_wants_newest = false;
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
    m_running = step::none;
    const auto token = offset + 1;
    const bool rises = token > m_max_token;
    set_newest(duty_record{m_holder, m_append_content, offset}, now);
    m_partition_end = offset + 1;
    if (m_announced_offset && *m_announced_offset > offset) {
        m_partition_end.reset();
    }
    const auto expires = m_append_sent + m_lease_time / 2;
    if (m_requested != m_append_content || now >= expires || !rises) {
        return;
    }
    m_permit = permit{token, expires};
    m_permit_content = std::move(m_append_content);
    m_requested.reset();
}

void subject_authority::handle_append_refusal(time_point)
{
    m_running = step::none;
    m_partition_end.reset();
}

void subject_authority::handle_no_answer(time_point now)
{
    m_running = step::none;
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
    m_max_token = std::max(m_max_token, offset + 1);
    m_partition_end.reset();
}

void subject_authority::handle_other_append(std::uint64_t offset)
{
    if (m_partition_end == offset) {
        m_partition_end = offset + 1;
    }
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
    return m_newest && !is_own(*m_newest) ? m_newest_since + m_lease_time + margin : time_point{};
}

void subject_authority::set_newest(std::optional<duty_record> newest, time_point now)
{
    const bool changed = !newest || !m_newest || newest->offset != m_newest->offset;
    if (changed) {
        // A record that was announced earlier and is still the newest has been so since then.
        const bool was_announced = newest && m_announced_offset == newest->offset;
        m_newest_since = was_announced ? m_announced_at : now;
    }
    if (newest) {
        m_max_token = std::max(m_max_token, newest->offset + 1);
    }
    m_newest = std::move(newest);
}

} // namespace cicadaport::duties
