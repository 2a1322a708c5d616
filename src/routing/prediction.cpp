#include "cicadaport/routing/prediction.h"

#include <algorithm>
#include <cmath>

namespace cicadaport::routing {
namespace {

// Weight of the newest observation in an endpoint's correction.
constexpr float newest_weight = 1.0F / 16;
constexpr float min_correction = 0.25F;
constexpr float max_correction = 8.0F;
// Shorter predictions do not show the endpoint's speed and are ignored.
constexpr seconds min_prediction{5e-3};

} // namespace

predicted_times predict(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept
{
    const auto own_prefill = std::max(needs.prompt_tokens - cached_tokens, 1.0);
    // Requests above the largest batch wait until as many others complete. Of
    // these, only requests that are at least as urgent run before this one.
    const auto excess_requests = std::max(backlog.requests + 1 - speed.max_running, 0.0);
    const auto waiting_fraction = excess_requests / (backlog.requests + 1);
    const auto ahead = 1 - waiting_fraction * (1 - needs.ahead_fraction);
    const auto prefill = backlog.prefill_tokens * ahead + own_prefill;
    const auto running = std::min(backlog.requests, speed.max_running);
    const auto decode_step = speed.step_base + running * speed.per_decode_token;
    const auto steps = std::floor(prefill / speed.prefill_chunk) + 1;
    const auto decode_each = backlog.decode_tokens / std::max(backlog.requests, 1.0);
    const auto batch_wait =
        (excess_requests * needs.ahead_fraction) / speed.max_running * decode_each * decode_step;
    predicted_times out;
    out.first_token = prefill * speed.per_prefill_token + steps * decode_step + batch_wait;
    out.completion = out.first_token + needs.output_tokens * (decode_step + speed.per_decode_token);
    return out;
}

seconds predict_prefill(const engine_speed& speed, const work_sum& backlog,
                        const request_needs& needs, double cached_tokens) noexcept
{
    const auto own = std::max(needs.prompt_tokens - cached_tokens, 1.0);
    // With a full batch, only work that is at least as urgent runs first.
    const bool full = backlog.requests >= speed.max_running;
    const auto prefill = backlog.prefill_tokens * (full ? needs.ahead_fraction : 1) + own;
    const auto steps = std::floor(prefill / speed.prefill_chunk) + 1;
    return prefill * speed.per_prefill_token + steps * speed.step_base;
}

seconds transfer_time(const engine_speed& speed, const request_needs& needs) noexcept
{
    return speed.transfer_base + needs.prompt_tokens * speed.per_transferred_token;
}

void update_correction(endpoint_load& load, seconds predicted, seconds observed) noexcept
{
    if (predicted < min_prediction) {
        return;
    }
    // Concurrent updates may lose one observation; the average stays valid.
    const auto known = load.correction.load(std::memory_order_relaxed);
    const auto ratio = known * static_cast<float>(observed / predicted);
    const auto bounded = std::clamp(ratio, min_correction, max_correction);
    load.correction.store(known + newest_weight * (bounded - known), std::memory_order_relaxed);
}

} // namespace cicadaport::routing
