#include "platform/soak/store_returns.h"

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

// Fewer versions than a configuration has routes of, also if the store returns twice.
constexpr std::size_t max_written = 6;
// The run's end is left to what is judged only some time after a return.
constexpr auto quiet_end = 7'500ms;

const char* to_string(standin_store::outage kind)
{
    switch (kind) {
    case standin_store::outage::none:
        return "open";
    case standin_store::outage::refusing:
        return "refusing";
    case standin_store::outage::resetting:
        return "resetting";
    case standin_store::outage::silent:
        return "silent";
    }
    return "";
}

} // namespace

store_returns::store_returns(standin_store& store, configuration_history& history,
                             std::uint64_t seed, milliseconds time, std::size_t padding)
    : m_store{store}, m_history{history}, m_random{seed}, m_padding{padding},
      m_states_epoch{std::bernoulli_distribution{0.5}(m_random)}
{
    constexpr double second_share = 0.3;
    constexpr double pause_share = 0.75;
    constexpr double at_once_share = 0.8;
    const auto chance = [this](double share) {
        return std::bernoulli_distribution{share}(m_random);
    };
    bool is_second = false;
    milliseconds last_back{0};
    for (auto away = draw(3'000ms, 5'000ms); away < time - quiet_end;) {
        auto& added = m_planned.emplace_back();
        added.copies = !is_second || chance(0.5);
        added.copied =
            std::max(away - (is_second ? draw(0ms, 300ms) : draw(300ms, 5'000ms)), last_back);
        added.away = away;
        added.back = away + draw(300ms, 2'500ms);
        added.how = static_cast<standin_store::outage>(draw_count(1, 3));
        // A list of the same length is the hardest to tell from the one before.
        constexpr std::array weighted{growth::equal,  growth::equal,   growth::equal, growth::equal,
                                      growth::longer, growth::shorter, growth::none};
        added.grows = weighted.at(draw_count(0, weighted.size() - 1));
        added.write_delay = chance(at_once_share) ? 0ms : draw(0ms, 1'000ms);
        added.pause = chance(pause_share) ? draw(3'000ms, 7'000ms) : 0ms;
        last_back = added.back;
        is_second = !is_second && chance(second_share);
        away = added.back + (is_second ? draw(300ms, 1'500ms) : draw(3'000ms, 8'000ms));
    }
    m_store.state_epoch(m_states_epoch ? std::optional<std::string>{"1"} : std::nullopt);
}

void store_returns::start(time_point begin, return_function on_return)
{
    m_begin = begin;
    m_on_return = std::move(on_return);
    for (const auto& each : m_planned) {
        if (each.copies) {
            m_due.emplace(each.copied, [this](time_point now) {
                log(now, "store copied");
                m_store.make_copy();
            });
        }
        m_due.emplace(each.away, [this, each](time_point now) {
            log(now, fmt::format("store away, {}", to_string(each.how)));
            {
                const std::lock_guard lock{m_mutex};
                m_went_away.push_back(now);
            }
            m_away = true;
            m_store.set_outage(each.how);
        });
        m_due.emplace(each.back, [this, each](time_point now) { come_back(each, now); });
    }
}

bool store_returns::advance(time_point now)
{
    while (!m_due.empty() && now - m_begin >= m_due.begin()->first) {
        const auto action = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        action(now);
    }
    return !m_away;
}

void store_returns::come_back(const planned_return& planned, time_point now)
{
    const auto versions = m_store.appended("keyed.op");
    const auto entries = m_store.appended("keyed.servers");
    m_store.return_to_copy();
    const auto lost = versions - m_store.appended("keyed.op");
    const auto left = m_store.appended("keyed.servers");
    m_on_return(left + written_count(planned.grows, entries - left), now);
    const auto count = std::clamp<std::size_t>(written_count(planned.grows, lost), 1, max_written);
    if (planned.write_delay == 0ms) {
        write(count, planned.pause, now);
    }
    else {
        m_quiet_until = now + planned.write_delay + 1s;
        m_due.emplace(planned.back + planned.write_delay,
                      [this, count, pause = planned.pause](time_point at) {
                          // After another return the operator writes anyway.
                          if (!m_away) {
                              write(count, pause, at);
                          }
                      });
    }
    ++m_count;
    if (m_states_epoch) {
        m_store.state_epoch(std::to_string(m_count + 1));
    }
    // The time at which the store answers again.
    const auto back = std::chrono::steady_clock::now();
    m_back = back;
    m_store.set_outage(standin_store::outage::none);
    m_away = false;
    log(back, fmt::format("store back without {} versions and {} entries, then with {} and {}",
                          lost, entries - left, m_store.appended("keyed.op"),
                          m_store.appended("keyed.servers")));
}

void store_returns::write(std::size_t count, milliseconds pause, time_point now)
{
    m_history.write_again(m_store, m_padding);
    for (std::size_t number = 1; number < count; ++number) {
        m_history.publish(m_store, m_padding);
    }
    m_quiet_until = now + pause;
    log(now, fmt::format("version {} written again, then up to {}", m_history.sent() - count + 1,
                         m_history.sent()));
}

std::size_t store_returns::written_count(growth grows, std::size_t lost)
{
    constexpr std::size_t max_more = 4;
    switch (grows) {
    case growth::none:
        return 0;
    case growth::shorter:
        return lost > 0 ? draw_count(0, lost - 1) : 0;
    case growth::equal:
        return lost;
    case growth::longer:
        return lost + draw_count(1, max_more);
    }
    return 0;
}

std::optional<store_returns::time_point> store_returns::away_after(time_point at) const
{
    const std::lock_guard lock{m_mutex};
    const auto found = std::upper_bound(m_went_away.begin(), m_went_away.end(), at);
    return found == m_went_away.end() ? std::nullopt : std::optional{*found};
}

std::vector<std::string> store_returns::steps() const
{
    const std::lock_guard lock{m_mutex};
    return m_steps;
}

void store_returns::log(time_point now, const std::string& text)
{
    const std::lock_guard lock{m_mutex};
    m_steps.push_back(
        fmt::format("{:.3f} {}", std::chrono::duration<double>(now - m_begin).count(), text));
}

store_returns::milliseconds store_returns::draw(milliseconds from, milliseconds to)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(m_random)};
}

std::size_t store_returns::draw_count(std::size_t from, std::size_t to)
{
    return std::uniform_int_distribution<std::size_t>{from, to}(m_random);
}

} // namespace cicadaport::platform::testing
