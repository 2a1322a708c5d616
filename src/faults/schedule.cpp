#include "cicadaport/faults/schedule.h"

#include <algorithm>
#include <map>
#include <random>
#include <sstream>

namespace cicadaport::faults {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds first_event{100};
constexpr milliseconds last_event{4'000};

struct kind_name {
    fault_kind kind;
    std::string_view name;
};
// The kinds that befall any process or the log at any time.
constexpr kind_name kinds[] = {
    {fault_kind::kill, "kill"},
    {fault_kind::freeze, "freeze"},
    {fault_kind::cut_from_log, "cut_from_log"},
    {fault_kind::cut_from_peers, "cut_from_peers"},
    {fault_kind::log_outage, "log_outage"},
    {fault_kind::lost_answers, "lost_answers"},
    {fault_kind::slow_log, "slow_log"},
    {fault_kind::engine_crash, "engine_crash"},
    {fault_kind::lost_order_answers, "lost_order_answers"},
};
constexpr std::string_view freeze_at_step_name = "freeze_at_step";
// The first two leave an order unsent, which may then come late.
constexpr std::string_view steps[] = {"before_check", "after_check", "before_check",
                                      "after_check",  "after_write", "before_settlement"};
constexpr std::string_view roles[] = {"mixed", "prefill", "decode"};

// Draws the parts of one schedule. The results of the standard library's
// distributions differ between implementations, so none is used.
class drawer {
public:
    explicit drawer(std::uint64_t seed) : m_random{seed} {}

    // Between `least` and `most`, both included.
    std::uint32_t number(std::uint32_t least, std::uint32_t most)
    {
        return least + static_cast<std::uint32_t>(m_random() % (most - least + 1U));
    }

    milliseconds time(milliseconds least, milliseconds most)
    {
        return milliseconds{number(static_cast<std::uint32_t>(least.count()),
                                   static_cast<std::uint32_t>(most.count()))};
    }

    bool one_in(std::uint32_t count) { return number(1, count) == 1; }

    template <typename Range>
    const auto& one_of(const Range& range)
    {
        return range[number(0, static_cast<std::uint32_t>(std::size(range)) - 1)];
    }

private:
    std::mt19937_64 m_random;
};

std::string draw_control(drawer& draw, const schedule& of)
{
    return control_name(draw.number(1, of.hosts));
}

// Half of the time the holder of the lease, where a fault costs most.
std::string draw_process(drawer& draw, const schedule& of)
{
    if (draw.one_in(2)) {
        return std::string{lease_holder};
    }
    return draw.one_in(4) ? entry_name(draw.number(1, of.entries)) : draw_control(draw, of);
}

milliseconds draw_length(drawer& draw, fault_kind kind, milliseconds lease)
{
    constexpr milliseconds shortest{300};
    constexpr milliseconds longest{2'500};
    switch (kind) {
    case fault_kind::freeze:
        // Long enough for a successor to take over.
        return draw.time(lease + lease / 5, 4 * lease);
    case fault_kind::kill:
        return draw.time(milliseconds{50}, longest / 2);
    default:
        return draw.time(shortest, longest);
    }
}

fault draw_fault(drawer& draw, const schedule& of)
{
    fault out;
    out.kind = draw.one_of(kinds).kind;
    out.at = draw.time(first_event, last_event);
    out.lasts = draw_length(draw, out.kind, of.lease_time);
    switch (out.kind) {
    case fault_kind::kill:
    case fault_kind::freeze:
    case fault_kind::cut_from_log:
    case fault_kind::cut_from_peers:
        out.target = draw_process(draw, of);
        break;
    case fault_kind::engine_crash:
        out.target = engine_name(draw.number(1, of.engines));
        break;
    case fault_kind::lost_order_answers:
        out.target = engine_name(draw.number(1, of.engines));
        out.degree = draw.number(1, 3);
        break;
    case fault_kind::lost_answers:
        out.degree = draw.number(20, 100);
        break;
    case fault_kind::slow_log:
        out.degree = draw.number(50, 400);
        break;
    case fault_kind::log_outage:
    case fault_kind::freeze_at_step:
        break;
    }
    return out;
}

// All control processes but one stop themselves at a step of their first
// order, and go on when a successor has had time for a different one: it waits
// until the frozen process counts as silent before it takes an engine out of
// service.
void draw_freezes_at_steps(drawer& draw, schedule& out)
{
    constexpr milliseconds shortest{7'000};
    constexpr milliseconds longest{9'000};
    const auto spared = draw.number(1, out.hosts);
    for (std::uint32_t i = 1; i <= out.hosts; ++i) {
        fault each;
        each.kind = fault_kind::freeze_at_step;
        each.target = control_name(i);
        each.step = draw.one_of(steps);
        each.lasts = draw.time(shortest, longest);
        if (i != spared) {
            out.faults.push_back(std::move(each));
        }
    }
}

// Half of the faults come a second time; some of these before the first ended.
void draw_faults(drawer& draw, schedule& out)
{
    const auto count = draw.number(3, 5);
    for (std::uint32_t i = 0; i < count; ++i) {
        auto drawn = draw_fault(draw, out);
        out.faults.push_back(drawn);
        if (draw.one_in(2)) {
            drawn.at += draw.time(milliseconds{20}, drawn.lasts + milliseconds{500});
            out.faults.push_back(drawn);
        }
    }
    if (draw.one_in(2)) {
        draw_freezes_at_steps(draw, out);
    }
    std::ranges::stable_sort(out.faults, {}, &fault::at);
}

void draw_edits(drawer& draw, schedule& out)
{
    constexpr milliseconds shortest_pause{150};
    constexpr milliseconds longest_pause{700};
    for (auto at = first_event; at < last_event; at += draw.time(shortest_pause, longest_pause)) {
        planned_edit edit{at, {draw_control(draw, out)}};
        if (draw.one_in(2)) {
            edit.through.push_back(draw_control(draw, out));
        }
        out.edits.push_back(std::move(edit));
    }
}

// Wishes come alone or two for one engine at the same time. They go on after
// the last fault, as a late order shows only where a different one follows.
void draw_wishes(drawer& draw, schedule& out)
{
    constexpr milliseconds shortest_pause{100};
    constexpr milliseconds longest_pause{500};
    constexpr milliseconds after_faults{1'500};
    const auto last = std::max(last_event, out.end() + after_faults);
    for (auto at = first_event; at < last; at += draw.time(shortest_pause, longest_pause)) {
        const auto engine = engine_name(draw.number(1, out.engines));
        const auto count = draw.number(1, 2);
        for (std::uint32_t i = 0; i < count; ++i) {
            out.wishes.push_back(
                {at, draw_control(draw, out), engine, std::string{draw.one_of(roles)}});
        }
    }
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    const auto* found = std::ranges::find(kinds, kind, &kind_name::kind);
    return found == std::end(kinds) ? freeze_at_step_name : found->name;
}

std::string control_name(std::uint32_t number)
{
    return "control-" + std::to_string(number);
}

std::string entry_name(std::uint32_t number)
{
    return "entry-" + std::to_string(number);
}

std::string engine_name(std::uint32_t number)
{
    return "engine-" + std::to_string(number);
}

milliseconds schedule::end() const
{
    milliseconds out{0};
    for (const auto& each : faults) {
        out = std::max(out, each.at + each.lasts);
    }
    return out;
}

schedule make_schedule(std::uint64_t seed)
{
    drawer draw{seed};
    schedule out;
    out.seed = seed;
    out.entries = draw.number(1, 2);
    out.engines = draw.one_in(3) ? 3 : 2;
    out.zones = draw.number(1, out.hosts);
    out.some_check_fencing = draw.one_in(2);
    draw_faults(draw, out);
    draw_edits(draw, out);
    draw_wishes(draw, out);
    return out;
}

std::string to_text(const schedule& value)
{
    std::multimap<milliseconds, std::string> lines;
    for (const auto& each : value.faults) {
        std::ostringstream line;
        line << to_string(each.kind) << ' ' << each.target << ' ' << each.step << " degree "
             << each.degree << " for " << each.lasts.count() << " ms";
        lines.emplace(each.at, line.str());
    }
    for (const auto& each : value.edits) {
        std::string line = "edit through";
        for (const auto& name : each.through) {
            line += ' ' + name;
        }
        lines.emplace(each.at, std::move(line));
    }
    for (const auto& each : value.wishes) {
        lines.emplace(each.at,
                      "wish " + each.role + " for " + each.engine + " through " + each.through);
    }
    std::ostringstream out;
    out << "seed " << value.seed << ": " << value.hosts << " control, " << value.entries
        << " entry processes, " << value.engines << " engines, " << value.zones << " zones, lease "
        << value.lease_time.count() << " ms, change " << value.change_time.count() << " ms\n";
    for (const auto& [at, line] : lines) {
        out << "  " << at.count() << " ms " << line << '\n';
    }
    return out.str();
}

} // namespace cicadaport::faults
