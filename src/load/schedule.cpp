#include "cicadaport/load/schedule.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numbers>
#include <random>
#include <stdexcept>

namespace cicadaport::load {
namespace {

using std::chrono::milliseconds;

// A fast swing turns the mix after each of these.
constexpr seconds fast_half_period{3};
// The caller's limit is this many times what the answer will take.
constexpr std::uint32_t limit_factor = 4;

std::uint32_t draw_around(std::uint32_t mean, std::mt19937_64& random)
{
    constexpr double spread = 0.5;
    std::uniform_real_distribution<double> factor{1 - spread, 1 + spread};
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(mean * factor(random)), 1);
}

std::uint32_t draw_class(const profile& of, double position, std::mt19937_64& random)
{
    std::vector<double> parts;
    for (const auto& each : of.classes) {
        parts.push_back(each.part_before + (each.part_after - each.part_before) * position);
    }
    std::discrete_distribution<std::uint32_t> pick{parts.begin(), parts.end()};
    return pick(random);
}

void add_words(std::string& text, std::string_view stem, std::uint64_t seed, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        text += stem;
        text += std::to_string(seed);
        text += '-';
        text += std::to_string(i);
        text += ' ';
    }
}

} // namespace

profile find_profile(std::string_view name)
{
    if (name == "nguyen_phat") {
        return {"order-assistant",
                {{"counter", "counter-key", 96, 40, 40, 30, milliseconds{4'000}, 0.75, 0.35},
                 {"agent", "agent-key", 160, 20, 120, 80, milliseconds{8'000}, 0.20, 0.30},
                 {"review", "review-key", 256, 10, 1'400, 120, milliseconds{30'000}, 0.05, 0.35}}};
    }
    if (name == "saheli") {
        return {
            "enrolment-assistant",
            {{"phone", "phone-key", 96, 60, 30, 40, milliseconds{4'000}, 0.70, 0.30},
             {"coordinator", "coordinator-key", 128, 30, 160, 60, milliseconds{8'000}, 0.25, 0.35},
             {"review", "review-key", 256, 20, 1'800, 160, milliseconds{30'000}, 0.05, 0.35}}};
    }
    throw std::invalid_argument{"no profile '" + std::string{name} + "'"};
}

swing parse_swing(std::string_view name)
{
    if (name == "none") {
        return swing::none;
    }
    if (name == "once") {
        return swing::once;
    }
    if (name == "slow") {
        return swing::slow;
    }
    if (name == "fast") {
        return swing::fast;
    }
    throw std::invalid_argument{"no swing '" + std::string{name} + "'"};
}

double swing_position(swing kind, seconds at, seconds whole)
{
    switch (kind) {
    case swing::none:
        return 0;
    case swing::once:
        return at < whole / 2 ? 0 : 1;
    case swing::slow:
        return (1 - std::cos(2 * std::numbers::pi * (at / whole))) / 2;
    case swing::fast:
        return static_cast<int>(at / fast_half_period) % 2 == 0 ? 0 : 1;
    }
    return 0;
}

std::vector<arrival> make_schedule(const profile& of, const schedule_options& options)
{
    std::mt19937_64 random{options.seed};
    std::exponential_distribution<double> gap{options.requests_per_second};
    std::vector<arrival> out;
    for (seconds at{gap(random)}; at < options.duration; at += seconds{gap(random)}) {
        arrival each;
        each.at = at;
        each.request_class =
            draw_class(of, swing_position(options.kind, at, options.duration), random);
        const auto& drawn = of.classes[each.request_class];
        each.beginning = static_cast<std::uint32_t>(random() % drawn.beginnings);
        each.own_words = draw_around(drawn.own_words, random);
        each.output_tokens = draw_around(drawn.output_tokens, random);
        each.seed = random();
        out.push_back(each);
    }
    return out;
}

std::string make_body(const profile& of, const arrival& each)
{
    const auto& kind = of.classes[each.request_class];
    std::string text;
    add_words(text, kind.name, each.beginning, kind.shared_words);
    add_words(text, "w", each.seed, each.own_words);
    const nlohmann::json message{{"role", "user"}, {"content", text}};
    const nlohmann::json body{{"model", of.model},
                              {"stream", true},
                              {"max_tokens", kind.output_tokens * limit_factor},
                              {"output_tokens", each.output_tokens},
                              {"messages", nlohmann::json::array({message})}};
    return body.dump();
}

} // namespace cicadaport::load
