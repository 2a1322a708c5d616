// How long an engine will take for a request on top of the work it has.
#pragma once

#include "cicadaport/routing/load.h"

#include <chrono>
#include <cstdint>

namespace cicadaport::routing {

using seconds = std::chrono::duration<double>;

// What a request asks of an engine.
struct request_needs {
    double prompt_tokens = 0;
    double output_tokens = 0;
    // Part of the work that waits at engines which is as urgent or more:
    // engines take the rest later.
    double ahead_part = 1;
};

// What work costs an engine that batches continuously: each step reads a part
// of the prompts that wait and makes one token for each answer that runs.
struct engine_speed {
    seconds step_base{8e-3};
    seconds per_prefill_token{60e-6};
    seconds per_decode_token{250e-6};
    // Moving a prompt's cache from one engine to another.
    seconds transfer_base{2e-3};
    seconds per_transferred_token{4e-6};
    double prefill_chunk = 512;
    double most_running = 64;
};

// When a request's first token and its end are expected, from now.
struct predicted_times {
    seconds first_token{0};
    seconds completion{0};
};

// Predicts a request's times at an engine that has `backlog` to do, of whose
// prompt it holds `cached_tokens`. Pure and without allocation.
predicted_times predict(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept;

// Predicts when an engine that only reads prompts has read this one. Pure and
// without allocation.
seconds predict_prefill(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept;

// Returns how long a prompt's cache takes from one engine to another.
seconds transfer_time(const engine_speed& speed, const request_needs& needs) noexcept;

// Corrects an endpoint's predictions by what came of one of them, which was
// made with the correction known so far. A slow engine thus loses work even
// while its reports look good. Thread safe.
void learn_correction(endpoint_load& load, seconds predicted, seconds observed) noexcept;

} // namespace cicadaport::routing
