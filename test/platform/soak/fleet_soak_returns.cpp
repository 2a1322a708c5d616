// The parts of the fleet soak that belong to returns of the store from an older copy.
#include "platform/soak/fleet_soak.h"

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto replicas_topic = "keyed.servers";
// Live replicas start to write their entries again within this time of a return.
constexpr auto rewrite_time = store_returns::max_rewrite_time - 200ms;
constexpr double missing_share = 0.5;
constexpr auto starved_check_interval = 250ms;
// A live replica of a service with many requests gets one within this time.
constexpr auto max_idle_time = 5'000ms;

} // namespace

void fleet_soak::prepare_returns()
{
    m_history.add_services(order_engines::services());
    m_returns = std::make_unique<store_returns>(m_store, m_history, m_options.seed, m_options.time,
                                                m_options.padding);
    m_order_engines = std::make_unique<order_engines>(
        m_store, m_options.seed,
        [this](const std::string& text) {
            violated(fmt::format("{} order {}", since_begin(soak_clock::now()), text));
        },
        [this](const std::string& holder, soak_time at) {
            constexpr auto thaw_slack = 300ms;
            const std::lock_guard lock{m_mutex};
            return std::any_of(m_by_number.begin(), m_by_number.end(), [&](const auto* each) {
                return each->name() == holder &&
                       !each->is_free_of(host_fault::process, at, thaw_slack);
            });
        });
    m_order_engines->report(soak_clock::now());
}

void fleet_soak::plan_returns()
{
    m_returns->start(
        m_begin, [this](std::size_t entries, soak_time now) { write_entries_again(entries, now); });
    const auto all = all_hosts();
    const auto any_host = [&]() -> fleet_host& {
        return *all[std::uniform_int_distribution<std::size_t>{0, all.size() - 1}(m_random)];
    };
    const auto chance = [this](double share) {
        return std::bernoulli_distribution{share}(m_random);
    };
    constexpr double through_share = 0.6;
    constexpr double slow_share = 0.2;
    for (const auto& each : m_returns->planned()) {
        for (int most = 2; most > 0; --most) {
            if (chance(through_share)) {
                plan_fault_through(any_host(), each.away - draw(-200ms, 2'000ms),
                                   each.back + draw(-200ms, 4'000ms));
            }
        }
        if (chance(slow_share)) {
            plan_slow_store(each.away - draw(0ms, 1'000ms), draw(500ms, 4'000ms));
        }
    }
    for (auto at = draw(500ms, 3'000ms); at < m_options.time - 1'000ms;
         at += draw(1'500ms, 5'000ms)) {
        plan_fault_through(any_host(), at, at + draw(300ms, 4'000ms));
    }
}

void fleet_soak::plan_fault_through(fleet_host& host, milliseconds from, milliseconds to)
{
    constexpr auto after = 1'500ms;
    const auto time = std::max<milliseconds>(to - from, 100ms);
    const auto kind = std::uniform_int_distribution<int>{0, 7}(m_random);
    const auto ends = m_busy.find(&host);
    if (ends != m_busy.end() && ends->second > from) {
        return;
    }
    m_busy[&host] = from + time + after;
    switch (kind) {
    case 0:
    case 1:
        plan_store_fault(from, host, store_proxy::state::silent, time);
        break;
    case 2:
        plan_store_fault(from, host, store_proxy::state::stalled, time);
        break;
    case 3:
        plan_store_fault(from, host, store_proxy::state::refusing, time);
        break;
    case 4:
        plan_freeze(from, host, time);
        break;
    case 5:
    case 6:
        plan_restart(from, host, time);
        break;
    default:
        plan_stop(from, host);
        m_busy[&host] = from + host.grace() + 2 * after;
    }
}

void fleet_soak::lose_entry(replica& of, soak_time now)
{
    of.missing = true;
    ++m_result.missing;
    m_restarts.emplace(now + draw(6'000ms, 9'000ms), &of);
    const std::lock_guard lock{m_mutex};
    m_lost_entries.insert(of.id);
    m_left[of.id] = now + store_returns::max_rewrite_time;
}

void fleet_soak::write_entries_again(std::size_t entries, soak_time now)
{
    const auto listed = m_store.keys(replicas_topic);
    auto removed = listed;
    for (auto& each : m_replicas) {
        removed.erase(each.id);
        const bool can_be_missing = !each.id.empty() && !each.leaving &&
                                    !listed.contains(each.id) && each.stage.empty() &&
                                    m_restarts.empty();
        if (each.missing) {
            // Its time to write the entry again begins anew if the store went away within it.
            const std::lock_guard lock{m_mutex};
            auto& left = m_left.at(each.id);
            const auto away = m_returns->away_after(left - store_returns::max_rewrite_time);
            left = away && *away < left ? now + store_returns::max_rewrite_time : left;
        }
        if (can_be_missing && std::bernoulli_distribution{missing_share}(m_random)) {
            lose_entry(each, now);
        }
        each.next_report = now + draw(0ms, rewrite_time);
    }
    {
        const std::lock_guard lock{m_mutex};
        for (const auto& [id, at] : m_listed_engines) {
            removed.erase(id);
        }
        m_next_engine_report = now + draw(0ms, rewrite_time);
    }
    m_order_engines->report_within(rewrite_time, now);
    for (const auto& each : removed) {
        if (!m_order_engines->has(each)) {
            m_removals.emplace(now + draw(0ms, rewrite_time), each);
        }
    }
    auto next = m_replicas.begin();
    while (m_store.appended(replicas_topic) < entries) {
        if (!next->id.empty() && !next->missing) {
            report(*next);
        }
        next = std::next(next) == m_replicas.end() ? m_replicas.begin() : std::next(next);
    }
}

bool fleet_soak::operate_returns(soak_time now)
{
    if (!m_returns->advance(now)) {
        return false;
    }
    while (!m_removals.empty() && m_removals.begin()->first <= now) {
        m_store.put(replicas_topic, m_removals.begin()->second, "");
        m_removals.erase(m_removals.begin());
    }
    while (!m_restarts.empty() && m_restarts.begin()->first <= now) {
        auto& missing = *m_restarts.begin()->second;
        m_restarts.erase(m_restarts.begin());
        missing.missing = false;
        missing.id = fmt::format("i-{}", ++m_last_replica);
        missing.sequence = 0;
        report(missing);
    }
    m_order_engines->report(now);
    judge_starved(now);
    return true;
}

void fleet_soak::judge_starved(soak_time now)
{
    if (now < m_next_starved_check) {
        return;
    }
    m_next_starved_check = now + starved_check_interval;
    const auto hosts = running_hosts();
    const bool is_judged = now - m_returns->written_again_at() >= max_idle_time &&
                           std::any_of(hosts.begin(), hosts.end(), [&](const auto* each) {
                               return each->is_fault_free(now, max_idle_time);
                           });
    const std::lock_guard lock{m_mutex};
    for (const auto& each : m_replicas) {
        const bool may_be_idle = each.service != "s" || each.id.empty() || each.leaving ||
                                 each.missing || each.limit->named();
        auto& last = m_last_arrivals.emplace(each.id, now).first->second;
        if (may_be_idle) {
            last = now;
        }
        else if (is_judged && now - last > max_idle_time) {
            m_result.violations.push_back(fmt::format(
                "{} {} got no request since {}", since_begin(now), each.id, since_begin(last)));
            last = now;
        }
    }
}

soak_time fleet_soak::must_know_since(const fleet_host& host, const std::string& id,
                                      soak_time now) const
{
    const auto left = m_left.at(id);
    // From when on a host reaches the store it may wait for a lost entry.
    if (m_lost_entries.contains(id) &&
        !host.is_fault_free(now, store_returns::max_rewrite_time + m_options.bounds.leaving)) {
        return now;
    }
    const auto away = m_returns != nullptr ? m_returns->away_after(left) : std::nullopt;
    const auto& bounds = m_options.bounds;
    const bool has_known =
        away && *away - left > bounds.leaving &&
        host.is_fault_free(now,
                           std::chrono::duration_cast<milliseconds>(now - left) + bounds.contact);
    if (!away) {
        // An acknowledgement that the store gave before it was stable again doesn't count, but the
        // entry must then be missing for some time.
        return m_returns == nullptr || m_returns->is_stable(left, bounds.contact)
                   ? left
                   : std::max(left, m_returns->written_again_at());
    }
    if (has_known) {
        return left;
    }
    return has_returned_before(now) ? now : std::max(left, m_returns->written_again_at());
}

void fleet_soak::finish_returns()
{
    if (m_returns == nullptr) {
        return;
    }
    m_result.returns = m_returns->count();
    m_result.orders = m_order_engines->order_count();
    m_order_engines.reset();
    const auto steps = m_returns->steps();
    m_result.steps.insert(m_result.steps.end(), steps.begin(), steps.end());
    std::stable_sort(
        m_result.steps.begin(), m_result.steps.end(),
        [](const auto& left, const auto& right) { return std::stod(left) < std::stod(right); });
}

} // namespace cicadaport::platform::testing
