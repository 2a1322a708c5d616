// Decides when engines change their stage, and how many.
//
// The ratio of prompts to responses shifts within minutes, and the initial stages of a
// fleet may fit neither. A change makes the engine unavailable for seconds. It is made
// only when the work that the present stages failed to do, and the changed ones would
// have done, exceeds that cost. However the mix shifts, changes then cost at most as much
// as was lost without them.
//
// Pure: the view and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

namespace cicadaport::serving {

// The engines of one service and their load.
struct stage_view {
    // Engines of each stage that take work. An engine that is changing counts under its
    // new stage.
    std::size_t prefill = 0;
    std::size_t decode = 0;
    // Number of engines that prefill alone would keep busy.
    double prefill_load = 0;
    // Active streams, and how many streams one engine can run at once.
    double active_streams = 0;
    double slots = 1;
    // Duration of a stage change.
    std::chrono::milliseconds switch_time{0};
};

struct stage_change {
    engine_stage to = engine_stage::none;
    std::size_t engines = 0;
};

class stage_policy {
public:
    // Target utilization of prefill engines. Above it, prompts wait for longer than their
    // prefill takes.
    static constexpr double target_prefill_utilization = 0.65;
    // Target fraction of decode slots in use; the rest is reserved for bursts.
    static constexpr double target_slot_fraction = 0.55;
    // Prefill speed of decode engines that also prefill, relative to prefill engines.
    static constexpr double decode_prefill_speed_ratio = 0.4;
    // Minimum number of engines of each stage, so that the loss of one engine does not
    // stop the service.
    static constexpr std::size_t min_engines = 2;
    // Decode engines are not reassigned below this fraction of all engines: the loss of
    // replicas that leave or crash takes effect at once, and no orders can be given while
    // the store is down.
    static constexpr double min_decode_fraction = 1.0 / 3;
    // Half-life of the accumulated prefill loss.
    static constexpr std::chrono::seconds prefill_loss_half_life{4};
    // Half-life of the accumulated stream loss. It is longer because the cost that this
    // loss has to reach is higher.
    static constexpr std::chrono::seconds stream_loss_half_life{12};
    // Decode engines are reassigned only beyond the number that the peak of streams in
    // this window needed: streams return within seconds, engines do not.
    static constexpr std::chrono::seconds peak_window{20};
    // Stream loss, as a multiple of the work lost during a change, at which engines
    // return to decode. It limits returns to lasting demand.
    static constexpr double decode_return_loss_ratio = 3;

    // When streams occupy this fraction of all slots, requests wait for a stream to end;
    // each second then counts as the loss of `loss_when_full` engine-seconds.
    static constexpr double full_slot_fraction = 0.9;
    static constexpr double loss_when_full = 3;

    // Returns the change to make now, usually none. To be called several times a second.
    stage_change decide(const stage_view& view, time_point now);

    // Resets the losses after a change was begun or seen.
    void reset_losses() noexcept;

private:
    // Recent peak of streams, and when it occurred.
    double m_peak_streams = 0;
    time_point m_peak_at{};
    // Engine-seconds lost because too few engines have the stage; they decay
    // exponentially.
    double m_prefill_loss = 0;
    double m_stream_loss = 0;
    time_point m_last_decision{};
};

} // namespace cicadaport::serving
