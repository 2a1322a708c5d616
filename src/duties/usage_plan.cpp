#include "cicadaport/duties/usage_plan.h"

#include <algorithm>

namespace cicadaport::duties {
namespace {

// Parts of the time within which a report is due: for the first host of the order, and for each
// further rank. With 10 s the ranks act after 3, 4.5 and 6 s, so that a successor can still wait
// for a lease of 3 s.
constexpr int delay_percent = 30;
constexpr int further_delay_percent = 15;
constexpr int percent = 100;

} // namespace

milliseconds usage_plan::delay_of(std::size_t rank) const
{
    return m_due * (delay_percent + further_delay_percent * static_cast<int>(rank)) / percent;
}

time_of_day usage_plan::end_of(std::uint64_t window) const
{
    return time_of_day{m_window_length * static_cast<std::int64_t>(window + 1)};
}

std::uint64_t usage_plan::first_surely_unreported(std::optional<time_of_day> complete_since) const
{
    if (!complete_since) {
        return 0;
    }
    // A window is recorded when the first host's delay has passed since its end.
    const auto recorded_until =
        complete_since->time_since_epoch() + max_clock_difference - delay_of(0);
    return recorded_until > milliseconds{0}
               ? static_cast<std::uint64_t>(recorded_until / m_window_length)
               : std::uint64_t{0};
}

bool usage_plan::may_replace(std::uint64_t window, bool has_same_body, const usage_view& view) const
{
    const auto first = first_surely_unreported(view.complete_since);
    if (window < first) {
        return false;
    }
    // A report that may still be made must have reached the platform before it is replaced.
    return has_same_body || !view.recorded_window ||
           (*view.recorded_window < window &&
            (view.is_record_delivered || *view.recorded_window < first));
}

usage_verdict usage_plan::decide(const usage_view& of) const
{
    usage_verdict out;
    // The window whose report is due now, and all before it, are too late.
    const auto late = of.now.time_since_epoch() - m_due;
    out.first_open = std::max<std::uint64_t>(
        of.first_window, late > milliseconds{0} ? static_cast<std::uint64_t>(late / m_window_length)
                                                : std::uint64_t{0});
    out.first_open = std::max(out.first_open, first_surely_unreported(of.complete_since));
    const auto done = of.is_record_delivered && of.recorded_window
                          ? std::max(of.last_done.value_or(0), *of.recorded_window)
                          : of.last_done.value_or(0);
    const auto next = std::max(out.first_open, done + 1);
    out.window = next;
    out.until = end_of(next) + m_due;
    if (of.rank >= rank_count) {
        return out;
    }
    const auto delay = delay_of(of.rank);
    if (!of.knows_newest) {
        // The first host reads early: another host's record must be known for a lease before it is
        // replaced.
        const auto read_at = end_of(next) + (of.rank == 0 ? milliseconds{0} : delay);
        out.what = of.now >= read_at ? usage_verdict::kind::read : usage_verdict::kind::nothing;
        return out;
    }
    if (of.now < end_of(next) + delay) {
        return out;
    }
    const bool may_be_repeated =
        of.recorded_window && *of.recorded_window >= first_surely_unreported(of.complete_since);
    if (may_be_repeated && !of.is_record_delivered) {
        out.what = usage_verdict::kind::repeat;
        out.window = *of.recorded_window;
        return out;
    }
    out.what = usage_verdict::kind::report;
    return out;
}

} // namespace cicadaport::duties
