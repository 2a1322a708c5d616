#include "cicadaport/serving/stage_policy.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::serving {
namespace {

using fine_seconds = std::chrono::duration<double>;

// Maximum time between decisions that is accounted for: a longer gap says nothing about
// the load within it.
constexpr fine_seconds max_step{0.5};

std::size_t engines_needed(double load)
{
    return std::max(stage_policy::min_engines, static_cast<std::size_t>(std::ceil(load)));
}

// Returns how many engines a stage lacks that the other stage can spare.
double transferable_engines(std::size_t have, std::size_t need, std::size_t others,
                            std::size_t others_need)
{
    const auto lack = need > have ? need - have : 0;
    const auto spare = others > others_need ? others - others_need : 0;
    return static_cast<double>(std::min(lack, spare));
}

} // namespace

namespace {

// Returns the load of the more loaded stage with these numbers of engines; 1 is its
// capacity.
double max_stage_load(const stage_view& view, std::size_t prefill, std::size_t decode)
{
    const auto of = [](double load, double capacity) { return load / std::max(capacity, 1e-3); };
    return std::max(of(view.prefill_load, static_cast<double>(prefill)),
                    of(view.active_streams, stage_policy::full_slot_fraction * view.slots *
                                                static_cast<double>(decode)));
}

} // namespace

stage_change stage_policy::decide(const stage_view& view, time_point now)
{
    const auto step = std::min<fine_seconds>(now - m_last_decision, max_step);
    m_last_decision = now;
    const auto prefill_loss_kept = std::exp2(-step / fine_seconds{prefill_loss_half_life});
    const auto stream_loss_kept = std::exp2(-step / fine_seconds{stream_loss_half_life});
    const auto need_prefill = engines_needed(view.prefill_load / target_prefill_utilization);
    const auto need_decode =
        engines_needed(view.active_streams / (view.slots * target_slot_fraction));
    if (view.active_streams >= m_peak_streams || now - m_peak_at > peak_window) {
        m_peak_streams = view.active_streams;
        m_peak_at = now;
    }
    const auto peak_decode = std::max(
        engines_needed(m_peak_streams / (view.slots * target_slot_fraction)),
        engines_needed(min_decode_fraction * static_cast<double>(view.prefill + view.decode)));
    const auto more_prefill =
        transferable_engines(view.prefill, need_prefill, view.decode, peak_decode);
    auto more_decode = transferable_engines(view.decode, need_decode, view.prefill, need_prefill);
    m_prefill_loss = m_prefill_loss * prefill_loss_kept +
                     more_prefill * (1 - decode_prefill_speed_ratio) * step.count();
    const bool full =
        view.active_streams >= full_slot_fraction * view.slots * static_cast<double>(view.decode);
    // Minimum reduction of the maximum stage load for which one engine moves although
    // both stages lack engines.
    constexpr double min_gain = 0.1;
    if (full && more_decode == 0 && view.prefill > min_engines &&
        max_stage_load(view, view.prefill - 1, view.decode + 1) + min_gain <
            max_stage_load(view, view.prefill, view.decode)) {
        more_decode = 1;
    }
    const auto lost_streams = std::min(more_decode, 1.0) * (full ? loss_when_full : 1);
    m_stream_loss = m_stream_loss * stream_loss_kept + lost_streams * step.count();
    const fine_seconds switching = view.switch_time;
    // The engine is also missing from its previous stage during the change.
    if (more_prefill > 0 && m_prefill_loss >= switching.count() * decode_prefill_speed_ratio) {
        return {engine_stage::prefill, static_cast<std::size_t>(more_prefill)};
    }
    if (more_decode > 0 && m_stream_loss >= decode_return_loss_ratio * switching.count()) {
        return {engine_stage::decode,
                std::min(static_cast<std::size_t>(more_decode), view.decode / 3 + 1)};
    }
    return {};
}

void stage_policy::reset_losses() noexcept
{
    m_prefill_loss = 0;
    m_stream_loss = 0;
}

} // namespace cicadaport::serving
