// Plays schedules of hosts that order one engine, with a store that returns from older copies, and
// judges the orders as the engine sees them.
#pragma once

#include "cicadaport/orders/order_attempt.h"

#include <map>

namespace cicadaport::orders::testing {

using namespace std::chrono_literals;
using milliseconds = std::chrono::milliseconds;

inline const engine_key engine{"e", 1};
inline const engine_key other_engine{"f", 2};

// What a host appends at `at`.
struct append_call {
    std::uint64_t at = 0;
    std::string value;
};

// The rule of the code under test.
class present_rule {
public:
    explicit present_rule(std::string name) : m_name{std::move(name)} {}

    bool begin(time_point now)
    {
        if (order_attempt::check_begin(m_ledger, m_history, now)) {
            return false;
        }
        m_attempt.emplace(m_ledger, m_history);
        return true;
    }

    bool read(const list_page& page, std::optional<std::uint64_t> epoch, time_point now)
    {
        if (!learn(epoch, now)) {
            return false;
        }
        const auto refused = m_attempt->read(page, now);
        if (refused == refusal::list_contradicts) {
            m_history.record_unannounced_return(now);
        }
        return !refused && m_ledger.can_announce(engine, now);
    }

    std::optional<append_call> announce(time_point now)
    {
        if (m_attempt->announce({{engine, "decode", 0, {}}}, m_name, now)) {
            return std::nullopt;
        }
        return append_call{m_attempt->list_end(), m_attempt->planned().front().value};
    }

    // Returns the token of the order, which may be sent.
    std::optional<std::uint64_t> acknowledge(std::uint64_t offset,
                                             std::optional<std::uint64_t> epoch, time_point now)
    {
        if (!learn(epoch, now) || m_attempt->acknowledge(offset, now) ||
            m_attempt->check_sending(m_attempt->planned().front(), now)) {
            return std::nullopt;
        }
        return m_attempt->planned().front().token;
    }

    // Returns whether the order may be written to a connection that was established just now.
    bool may_write(time_point now) const { return now < m_attempt->send_deadline(); }

    void hear(std::uint64_t token, time_point now)
    {
        m_ledger.record_sent_order(engine.number, token, now);
    }

    // Returns whether an answer of this epoch may be used.
    bool learn(std::optional<std::uint64_t> epoch, time_point now)
    {
        return m_history.observe({epoch.has_value(), epoch}, now) !=
               history::store_history::relation::older;
    }

private:
    std::string m_name;
    history::store_history m_history;
    order_ledger m_ledger;
    std::optional<order_attempt> m_attempt;
};

// The rule before the store's history was regarded: an offset names one record for good.
class former_rule {
public:
    explicit former_rule(std::string) {}

    bool begin(time_point) { return true; }

    bool read(const list_page& page, std::optional<std::uint64_t>, time_point now)
    {
        for (const auto& each : page.orders) {
            record(each.engine.id, each.offset, now);
        }
        m_list_end = page.list_end;
        const auto found = m_records.find(engine.id);
        return found == m_records.end() ||
               now - found->second.second >= order_ledger::exclusive_period;
    }

    std::optional<append_call> announce(time_point now)
    {
        m_announced = now;
        return append_call{m_list_end, "decode"};
    }

    std::optional<std::uint64_t> acknowledge(std::uint64_t offset, std::optional<std::uint64_t>,
                                             time_point now)
    {
        record(engine.id, offset, now);
        return now - m_announced < order_ledger::send_timeout ? std::optional{offset + 1}
                                                              : std::nullopt;
    }

    bool may_write(time_point) const { return true; }
    void hear(std::uint64_t, time_point) {}
    bool learn(std::optional<std::uint64_t>, time_point) { return true; }

private:
    void record(const std::string& id, std::uint64_t offset, time_point now)
    {
        const auto [found, added] = m_records.try_emplace(id, offset, now);
        if (!added && found->second.first != offset) {
            found->second = {offset, now};
        }
    }

    std::map<std::string, std::pair<std::uint64_t, time_point>> m_records;
    std::uint64_t m_list_end = 0;
    time_point m_announced{};
};

// One event of a schedule.
struct event {
    enum class kind {
        // Host `host` makes the next step of its attempt, or begins one. A host that makes none
        // while time passes is frozen; a step always takes an answer, however late it is.
        step,
        // Time passes.
        wait,
        // The store returns without its last `count` records.
        store_return,
        // All hosts learn of the store's epoch from an answer about another list.
        notice,
        // `count` records of another engine are appended.
        other_append,
        // The answer to the host's next append is lost; the append is carried out later.
        delay_append,
        late_append,
        // The host starts again under its old name.
        restart,
    };
    kind what = kind::step;
    std::size_t host = 0;
    std::size_t count = 0;
    milliseconds time{0};
};

struct conditions {
    std::size_t hosts = 2;
    bool has_epoch = true;
    // Whether hosts hear of orders that others send.
    bool has_gossip = true;
    // Whether hosts keep connections to the engine open, on which an order is written at once.
    bool has_open_connections = false;
};

struct verdict {
    // Empty if the engine saw nothing that it must not see.
    std::string broken;
    std::size_t orders = 0;
};

template <typename Rule>
class schedule_player {
public:
    explicit schedule_player(const conditions& under) : m_conditions{under}
    {
        m_records.push_back({engine, 0, "decode 1 host-9"});
        m_records.push_back({other_engine, 0, "decode"});
        for (std::size_t i = 0; i < under.hosts; ++i) {
            m_hosts.emplace_back();
            play({event::kind::restart, i});
            // Each host has read the list before and is not a new one any more.
            play({event::kind::step, i});
            play({event::kind::step, i});
            m_hosts[i].at = phase::idle;
        }
        m_now += 20s;
    }

    void play(const event& next)
    {
        auto& host = m_hosts[next.host];
        switch (next.what) {
        case event::kind::step:
            step(next.host);
            break;
        case event::kind::wait:
            m_now += next.time;
            break;
        case event::kind::store_return:
            m_records.resize(m_records.size() - std::min(next.count, m_records.size()));
            ++m_epoch;
            break;
        case event::kind::notice:
            for (auto& each : m_hosts) {
                each.rule->learn(stated_epoch(), m_now);
            }
            break;
        case event::kind::other_append:
            for (std::size_t i = 0; i < next.count; ++i) {
                m_records.push_back(
                    {other_engine, 0,
                     "decode " + std::to_string(m_now.time_since_epoch().count()) + " x"});
            }
            break;
        case event::kind::delay_append:
            host.delays_append = true;
            break;
        case event::kind::late_append:
            for (const auto& each : std::exchange(m_late, {})) {
                append(each);
            }
            break;
        case event::kind::restart:
            host = {};
            host.rule.emplace("host-" + std::to_string(next.host));
            break;
        }
    }

    // Lets the hosts go on without disturbances until each has given an order, and judges.
    verdict finish()
    {
        const auto before = m_orders;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].at = phase::idle;
            m_hosts[i].delays_append = false;
            const auto limit = m_now + 2min;
            const auto count = m_orders;
            for (; m_orders == count && m_now < limit; m_now += 2s) {
                for (int steps = 0; steps == 0 || (steps < 5 && m_hosts[i].at != phase::idle);
                     ++steps) {
                    step(i);
                }
            }
            if (m_orders == count) {
                break_rule("a change is lost for good");
            }
        }
        return {m_broken, before};
    }

private:
    enum class phase { idle, reading, chosen, announced, connecting };

    struct player_host {
        std::optional<Rule> rule;
        phase at = phase::idle;
        bool delays_append = false;
        list_page page;
        std::optional<std::uint64_t> offset;
        std::optional<std::uint64_t> epoch;
        std::uint64_t token = 0;
    };

    std::optional<std::uint64_t> stated_epoch() const
    {
        return m_conditions.has_epoch ? std::optional{m_epoch} : std::nullopt;
    }

    list_page newest() const
    {
        list_page out;
        out.list_end = m_records.size();
        std::map<std::string, listed_order> by_engine;
        for (std::size_t i = 0; i < m_records.size(); ++i) {
            by_engine[m_records[i].engine.id] = {m_records[i].engine, i, m_records[i].value};
        }
        for (const auto& [id, each] : by_engine) {
            out.orders.push_back(each);
        }
        return out;
    }

    std::optional<std::uint64_t> append(const append_call& call)
    {
        if (call.at != m_records.size()) {
            return std::nullopt;
        }
        m_records.push_back({engine, 0, call.value});
        return call.at;
    }

    void step(std::size_t index)
    {
        auto& at = m_hosts[index];
        const auto before = std::exchange(at.at, phase::idle);
        switch (before) {
        case phase::idle:
            if (at.rule->begin(m_now)) {
                at.page = newest();
                at.epoch = stated_epoch();
                at.at = phase::reading;
            }
            break;
        case phase::reading:
            at.at = at.rule->read(at.page, at.epoch, m_now) ? phase::chosen : phase::idle;
            break;
        case phase::chosen:
            if (const auto call = at.rule->announce(m_now)) {
                if (std::exchange(at.delays_append, false)) {
                    m_late.push_back(*call);
                    break;
                }
                at.offset = append(*call);
                at.epoch = stated_epoch();
                at.at = phase::announced;
            }
            break;
        case phase::announced:
            if (const auto token =
                    at.offset ? at.rule->acknowledge(*at.offset, at.epoch, m_now) : std::nullopt) {
                at.token = *token;
                if (m_conditions.has_open_connections) {
                    receive(index, at.token);
                }
                else {
                    at.at = phase::connecting;
                }
                for (std::size_t i = 0; i < m_hosts.size() && m_conditions.has_gossip; ++i) {
                    if (i != index) {
                        m_hosts[i].rule->hear(*token, m_now);
                    }
                }
            }
            break;
        case phase::connecting:
            if (at.rule->may_write(m_now)) {
                receive(index, at.token);
            }
            break;
        }
    }

    // The engine receives an order.
    void receive(std::size_t from, std::uint64_t token)
    {
        constexpr milliseconds lease{3'000};
        ++m_orders;
        const auto [holder, added] = m_holders.try_emplace(token, from);
        if (!added && holder->second != from) {
            break_rule("two holders with one token");
        }
        if (token < m_holders.rbegin()->first) {
            break_rule("a lower token after a higher one");
        }
        if (m_last && m_last->first != from && m_now - m_last->second < lease) {
            break_rule("holders that take turns within the lease");
        }
        m_last = {from, m_now};
    }

    void break_rule(std::string_view how)
    {
        if (m_broken.empty()) {
            m_broken = how;
        }
    }

    conditions m_conditions;
    time_point m_now{1h};
    std::uint64_t m_epoch = 1;
    std::vector<listed_order> m_records;
    std::vector<append_call> m_late;
    std::vector<player_host> m_hosts;
    std::size_t m_orders = 0;
    std::map<std::uint64_t, std::size_t> m_holders;
    std::optional<std::pair<std::size_t, time_point>> m_last;
    std::string m_broken;
};

template <typename Rule>
verdict play(const conditions& under, std::span<const event> schedule)
{
    schedule_player<Rule> player{under};
    for (const auto& each : schedule) {
        player.play(each);
    }
    return player.finish();
}

} // namespace cicadaport::orders::testing
