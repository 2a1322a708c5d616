#include "cicadaport/orders/order_attempt.h"

#include "cicadaport/history/fencing_token.h"

#include <utility>

namespace cicadaport::orders {

std::string_view to_string(refusal reason)
{
    switch (reason) {
    case refusal::store_returned:
        return "the store has returned from an older copy meanwhile";
    case refusal::list_contradicts:
        return "the list does not continue what was read before";
    case refusal::recent_return:
        return "the present history of the store is not known for long enough";
    case refusal::no_token:
        return "no fencing token above the known ones can be formed";
    case refusal::misplaced:
        return "the announcement is at an unexpected place";
    case refusal::too_late:
        return "the time to send the order has passed";
    case refusal::other_order:
        break;
    }
    return "another host sends the engine an order";
}

order_attempt::order_attempt(order_ledger& ledger, const history::store_history& history)
    : m_ledger{&ledger}, m_history{&history}, m_generation{history.generation()}
{
}

bool order_attempt::is_recent(const history::store_history& history, time_point now)
{
    const auto since = history.known_since();
    return since && now - *since < order_ledger::exclusive_period;
}

std::optional<refusal> order_attempt::check_begin(const order_ledger& ledger,
                                                  const history::store_history& history,
                                                  time_point now)
{
    // Reading the list once in the meantime starts the exclusive periods of what it holds.
    return is_recent(history, now) && ledger.has_read(history.generation())
               ? std::optional{refusal::recent_return}
               : std::nullopt;
}

std::optional<refusal> order_attempt::check_history(time_point now) const
{
    if (m_generation != m_history->generation()) {
        return refusal::store_returned;
    }
    return is_recent(*m_history, now) ? std::optional{refusal::recent_return} : std::nullopt;
}

std::optional<refusal> order_attempt::read(const list_page& page, time_point now)
{
    if (m_generation != m_history->generation()) {
        return refusal::store_returned;
    }
    if (!std::exchange(m_reading, true)) {
        m_list_end = page.list_end;
        if (!m_ledger->begin_reading(m_generation, page.list_end)) {
            return refusal::list_contradicts;
        }
    }
    for (const auto& each : page.orders) {
        if (!m_ledger->record_listed(each.engine, each.offset, each.value, now)) {
            return refusal::list_contradicts;
        }
    }
    if (!page.is_last) {
        return std::nullopt;
    }
    return m_ledger->end_reading() ? check_history(now) : refusal::list_contradicts;
}

std::optional<refusal> order_attempt::announce(std::vector<planned_order> orders,
                                               std::string_view holder, time_point now)
{
    if (const auto refused = check_history(now)) {
        return refused;
    }
    m_announced_at = now;
    // Without an epoch, the returns that this host has seen take its place.
    const auto epoch = m_history->epoch().value_or(m_generation);
    auto offset = m_list_end;
    for (auto& each : orders) {
        const auto known =
            std::max(m_ledger->known_token(each.engine.number), m_ledger->stated_token());
        const auto token = history::fencing_token_above(known, epoch, offset++);
        if (!token) {
            return refusal::no_token;
        }
        each.token = *token;
        each.value = to_value({each.stage, each.token, std::string{holder}});
    }
    m_orders = std::move(orders);
    return std::nullopt;
}

std::optional<refusal> order_attempt::acknowledge(std::uint64_t offset, time_point now)
{
    if (const auto refused = check_history(now)) {
        return refused;
    }
    if (offset != m_list_end) {
        return refusal::misplaced;
    }
    for (const auto& each : m_orders) {
        if (!m_ledger->record_listed(each.engine, offset++, each.value, now)) {
            return refusal::list_contradicts;
        }
    }
    return std::nullopt;
}

std::optional<refusal> order_attempt::check_sending(const planned_order& order,
                                                    time_point now) const
{
    if (const auto refused = check_history(now)) {
        return refused;
    }
    if (now >= send_deadline()) {
        return refusal::too_late;
    }
    const bool is_overtaken = m_ledger->known_token(order.engine.number) > order.token;
    return is_overtaken || m_ledger->has_heard_of_order(order.engine.number, now)
               ? std::optional{refusal::other_order}
               : std::nullopt;
}

} // namespace cicadaport::orders
