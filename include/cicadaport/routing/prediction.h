// Predicts how long an engine takes for a request behind its queued work.
#pragma once

#include "cicadaport/routing/load.h"

#include <chrono>
#include <cstdint>

namespace cicadaport::routing {

using seconds = std::chrono::duration<double>;

// The work that a request needs.
struct request_needs {
    double prompt_tokens = 0;
    double output_tokens = 0;
    // Fraction (0 to 1) of the work queued at engines that is at least as urgent.
    // Engines schedule the rest after this request.
    double ahead_fraction = 1;
};

// The speed of an engine with continuous batching: each step prefills up to
// `prefill_chunk` tokens and decodes one token of each running request.
struct engine_speed {
    seconds step_base{8e-3};
    seconds per_prefill_token{60e-6};
    seconds per_decode_token{250e-6};
    // Time of a KV transfer from one engine to another.
    seconds transfer_base{2e-3};
    seconds per_transferred_token{4e-6};
    // Prefilled tokens per step.
    double prefill_chunk = 512;
    // The largest batch, in requests.
    double max_running = 64;
};

// Times from now until a request's first token and its completion.
struct predicted_times {
    seconds first_token{0};
    seconds completion{0};
};

// Predicts a request's times at an engine with this `backlog`, whose KV cache
// holds `cached_tokens` of the prompt. Pure; allocates nothing.
predicted_times predict(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept;

// Predicts when a prefill engine completes the prefill of the prompt. Pure;
// allocates nothing.
seconds predict_prefill(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept;

// Returns the time of the prompt's KV transfer from one engine to another.
seconds transfer_time(const engine_speed& speed, const request_needs& needs) noexcept;

// Updates an endpoint's correction from one predicted and observed time.
// `predicted` includes the present correction. A slow engine thus gets less work
// even if its reports show a low load. Thread safe.
void update_correction(endpoint_load& load, seconds predicted, seconds observed) noexcept;

} // namespace cicadaport::routing
