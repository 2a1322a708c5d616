#include "cicadaport/transport/connection_pool.h"

namespace cicadaport::transport {

std::shared_ptr<exchange_connection> connection_pool::take(const http::address& to, reuse_rule rule)
{
    auto& kept = m_idle[to];
    // The most recently used connection is the most likely to be still open.
    while (!kept.empty()) {
        const auto last = kept.back();
        if (is_fit(*last, rule)) {
            kept.pop_back();
            return last;
        }
        if (last->is_reusable() && rule == reuse_rule::certain) {
            break;
        }
        kept.pop_back();
    }
    return open(to);
}

std::shared_ptr<exchange_connection> connection_pool::open(const http::address& to)
{
    auto made = std::make_shared<exchange_connection>(m_context, m_timers, m_limits);
    made->connect(to, m_times);
    ++m_opened;
    return made;
}

void connection_pool::give_back(const http::address& to,
                                std::shared_ptr<exchange_connection> connection)
{
    if (connection->is_reusable()) {
        m_idle[to].push_back(std::move(connection));
    }
}

void connection_pool::close_expired()
{
    for (auto& [to, kept] : m_idle) {
        std::erase_if(kept, [&](const auto& each) { return !is_fit(*each, reuse_rule::any); });
    }
    std::erase_if(m_idle, [](const auto& each) { return each.second.empty(); });
}

bool connection_pool::is_fit(const exchange_connection& connection, reuse_rule rule) const
{
    if (!connection.is_reusable()) {
        return false;
    }
    const auto idle = m_timers.now() - connection.idle_since();
    if (const auto stated = connection.advertised_idle_timeout()) {
        return idle < *stated - advertised_timeout_margin;
    }
    return idle < (rule == reuse_rule::any ? assumed_idle_timeout : assumed_certain_idle_timeout);
}

} // namespace cicadaport::transport
