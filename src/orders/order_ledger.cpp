#include "cicadaport/orders/order_ledger.h"

#include "cicadaport/history/fencing_token.h"

#include <algorithm>

namespace cicadaport::orders {

bool order_ledger::begin_reading(std::uint64_t generation, std::uint64_t list_end)
{
    if (generation != m_generation) {
        m_generation = generation;
        m_known_end = 0;
    }
    ++m_reading;
    if (list_end < m_known_end) {
        return false;
    }
    m_known_end = list_end;
    return true;
}

bool order_ledger::record_listed(const engine_key& engine, std::uint64_t offset,
                                 std::string_view value, time_point now)
{
    m_known_end = std::max(m_known_end, offset + 1);
    auto said = parse_announcement(value);
    auto& largest = m_sent[engine.number].largest_token;
    largest = std::max(largest, said.token.value_or(offset + 1));
    const auto [found, added] = m_records.try_emplace(engine.id);
    auto& known = found->second;
    const bool is_same = !added && known.offset == offset && known.value == value;
    const bool is_of_generation = !added && known.generation == m_generation;
    if (is_of_generation && !is_same && offset <= known.offset) {
        return false;
    }
    // The record of an earlier generation is the same one only if its value is unique.
    const bool keeps_time = is_same && (is_of_generation || said.token);
    known = {
        m_generation, offset, std::string{value}, std::move(said), keeps_time ? known.seen : now,
        m_reading};
    return true;
}

bool order_ledger::end_reading()
{
    m_read_generation = m_generation;
    return std::all_of(m_records.begin(), m_records.end(), [&](const auto& each) {
        return each.second.generation != m_generation || each.second.reading == m_reading;
    });
}

void order_ledger::record_sent_order(std::uint32_t engine, std::uint64_t token, time_point now)
{
    auto& sent = m_sent[engine];
    if (token <= history::max_fencing_token) {
        sent.largest_token = std::max(sent.largest_token, token);
    }
    sent.heard = now;
}

std::uint64_t order_ledger::known_token(std::uint32_t engine) const
{
    const auto found = m_sent.find(engine);
    return found == m_sent.end() ? 0 : found->second.largest_token;
}

void order_ledger::record_largest_token(std::uint64_t token)
{
    if (token <= history::max_fencing_token) {
        m_stated_token = std::max(m_stated_token, token);
    }
}

std::uint64_t order_ledger::largest_token() const
{
    auto out = m_stated_token;
    for (const auto& [engine, sent] : m_sent) {
        out = std::max(out, sent.largest_token);
    }
    return out;
}

bool order_ledger::can_announce(const engine_key& engine, time_point now) const
{
    const auto found = m_records.find(engine.id);
    return (found == m_records.end() || now - found->second.seen >= exclusive_period) &&
           !has_heard_of_order(engine.number, now);
}

bool order_ledger::has_heard_of_order(std::uint32_t engine, time_point now) const
{
    const auto found = m_sent.find(engine);
    return found != m_sent.end() && found->second.heard &&
           now - *found->second.heard < exclusive_period;
}

std::optional<std::string_view> order_ledger::changing_to(const std::string& engine,
                                                          time_point now) const
{
    const auto found = m_records.find(engine);
    if (found == m_records.end() || now - found->second.seen >= stage_change_timeout) {
        return std::nullopt;
    }
    return found->second.said.stage;
}

} // namespace cicadaport::orders
