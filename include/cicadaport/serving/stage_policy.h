// When engines change their stage, and how many.
//
// The load that this answers: prompts and answers trade places within minutes,
// and the stages that a fleet starts with may fit neither. A change costs the
// engine for seconds. It is made only when what the present stages have failed
// to do, and the changed ones would have done, exceeds that cost: then changes
// cost at most as much as was lost anyway, however the mix turns.
//
// Pure: the view and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

namespace cicadaport::serving {

// The engines of one service and what they are asked for.
struct stage_view {
    // Engines of each stage that take work, those that are changing counted
    // where they will be.
    std::size_t prefill = 0;
    std::size_t decode = 0;
    // How many engines reading alone would keep busy.
    double reading = 0;
    // Answers that are streamed, and how many one engine can stream at once.
    double answering = 0;
    double slots = 1;
    // How long a change takes.
    std::chrono::milliseconds switch_time{0};
};

struct stage_change {
    engine_stage to = engine_stage::none;
    std::size_t engines = 0;
};

class stage_policy {
public:
    // A prefill engine that is busy for more than this part of the time makes
    // prompts wait for longer than they are read.
    static constexpr double reading_fill = 0.65;
    // Answers leave this part of the slots for bursts.
    static constexpr double answering_fill = 0.55;
    // Decode engines that read beside answering do this part of the work.
    static constexpr double decode_reading_part = 0.4;
    // Never fewer engines of a stage than this, so that the loss of one does
    // not end all service.
    static constexpr std::size_t least_engines = 2;
    // Decode engines are not given away below this part of all engines: replicas
    // that leave or crash are missed at once, and orders can't be given while
    // the store is down.
    static constexpr double least_decode_part = 1.0 / 3;
    // Loss counts half after this time without more.
    static constexpr std::chrono::seconds loss_half_life{4};
    // Lost answers count for longer: their price is higher.
    static constexpr std::chrono::seconds answer_loss_half_life{12};
    // Decode engines are only given away beyond what the most answers of this
    // time needed: answers come back within seconds, engines don't.
    static constexpr std::chrono::seconds peak_time{20};
    // And they are only taken back for what lasts: a change costs so many times
    // the work that the engine can't do meanwhile.
    static constexpr double price_of_return = 3;

    // With so many of all slots taken, answers wait for others to end, and each
    // second loses as much as so many engines.
    static constexpr double full_part = 0.9;
    static constexpr double loss_when_full = 3;

    // Returns the change to make now, usually none. Call it several times a
    // second.
    stage_change decide(const stage_view& view, time_point now);

    // A change was begun or seen: losses are counted anew.
    void changed() noexcept;

private:
    // The most answers of late and when they were seen.
    double m_peak_answering = 0;
    time_point m_peak_at{};
    // Engine-seconds lost so far for want of the stage.
    double m_lost_reading = 0;
    double m_lost_answering = 0;
    time_point m_at{};
};

} // namespace cicadaport::serving
