#include "cicadaport/roles/controller.h"

#include <algorithm>

namespace cicadaport::roles {
namespace {

using routing::engine_role;

bool serves(const engine_observation& engine)
{
    return engine.alive && !engine.changing;
}

role_counts count_roles(std::span<const engine_observation> engines)
{
    role_counts out;
    for (const auto& engine : engines) {
        if (!serves(engine)) {
            continue;
        }
        switch (engine.role) {
        case engine_role::mixed:
            ++out.mixed;
            break;
        case engine_role::prefill:
            ++out.prefill;
            break;
        case engine_role::decode:
            ++out.decode;
            break;
        }
    }
    return out;
}

// Returns the engine of `role` with the least work to drain among those that may change.
const engine_observation* least_loaded(std::span<const engine_observation> engines,
                                       engine_role role)
{
    const engine_observation* best = nullptr;
    const auto work = [](const engine_observation& each) {
        return each.prefill_tokens + each.decode_tokens;
    };
    for (const auto& engine : engines) {
        const bool fits = serves(engine) && engine.can_change && engine.role == role;
        if (fits && (best == nullptr || work(engine) < work(*best))) {
            best = &engine;
        }
    }
    return best;
}

// Returns whether a role with `from` engines may lose one. At least `floor` engines
// must remain, and at least one if no mixed engine can serve that kind of work.
bool can_release_engine(std::uint32_t from, std::uint32_t floor, std::uint32_t mixed)
{
    const auto least = std::max<std::uint32_t>(floor, mixed > 0 ? 0 : 1);
    return from > least;
}

} // namespace

std::string_view to_string(change_outcome outcome) noexcept
{
    switch (outcome) {
    case change_outcome::none:
        return "none";
    case change_outcome::running:
        return "running";
    case change_outcome::applied:
        return "applied";
    case change_outcome::engine_lost:
        return "engine_lost";
    case change_outcome::timed_out:
        return "timed_out";
    }
    return "none";
}

role_controller::role_controller(const configuration::engine_roles& settings) : m_settings{settings}
{
    if (settings.policy == "threshold") {
        m_policy = threshold_policy{};
    }
    else if (settings.policy == "rent_or_buy") {
        m_policy = rent_or_buy_policy{settings.change_price_requests};
    }
}

std::optional<role_order> role_controller::observe(std::span<const engine_observation> engines,
                                                   const offered_work& offered,
                                                   clock::time_point now)
{
    update_pending_change(engines, now);
    const bool any_changing = std::any_of(engines.begin(), engines.end(), [](const auto& each) {
        return each.alive && each.changing;
    });
    if (m_pending || any_changing) {
        return std::nullopt;
    }
    const auto seen = summarize(engines, offered);
    update_change_progress(engines, seen);
    auto verdict = std::visit([&](auto& rule) { return rule.decide(seen, now); }, m_policy);
    if (!verdict) {
        return std::nullopt;
    }
    const bool to_prefill = verdict->which == direction::to_prefill;
    // Not null: the rule only decides on changes for which an engine is available.
    const auto* engine =
        least_loaded(engines, to_prefill ? engine_role::decode : engine_role::prefill);
    const auto role = to_prefill ? engine_role::prefill : engine_role::decode;
    m_pending = pending_change{engine->name, role, now};
    m_outcome = change_outcome::running;
    return role_order{engine->name, role, std::move(verdict->why)};
}

void role_controller::update_pending_change(std::span<const engine_observation> engines,
                                            clock::time_point now)
{
    if (!m_pending) {
        return;
    }
    const auto engine = std::find_if(engines.begin(), engines.end(), [&](const auto& each) {
        return each.name == m_pending->engine;
    });
    if (engine == engines.end() || !engine->alive) {
        m_outcome = change_outcome::engine_lost;
        m_pending.reset();
    }
    else if (serves(*engine) && engine->role == m_pending->role) {
        m_outcome = change_outcome::applied;
        m_pending.reset();
    }
    else if (!engine->changing &&
             now - m_pending->since > change_timeout_factor * m_settings.change_time) {
        m_outcome = change_outcome::timed_out;
        m_pending.reset();
    }
}

fleet_observation role_controller::summarize(std::span<const engine_observation> engines,
                                             const offered_work& offered) const
{
    fleet_observation out;
    out.roles = count_roles(engines);
    out.offered = offered;
    out.can_change_to_prefill =
        can_release_engine(out.roles.decode, m_settings.least_decode, out.roles.mixed) &&
        least_loaded(engines, engine_role::decode) != nullptr;
    out.can_change_to_decode =
        can_release_engine(out.roles.prefill, m_settings.least_prefill, out.roles.mixed) &&
        least_loaded(engines, engine_role::prefill) != nullptr;
    return out;
}

void role_controller::update_change_progress(std::span<const engine_observation> engines,
                                             const fleet_observation& seen)
{
    m_change_progress = std::visit(
        [](const auto& rule) {
            return change_progress{
                rule.lost(direction::to_prefill), rule.lost(direction::to_decode), {}};
        },
        m_policy);
    const auto wanted = std::visit([&](const auto& rule) { return rule.wants(seen); }, m_policy);
    if (!wanted) {
        return;
    }
    const bool to_prefill = *wanted == direction::to_prefill;
    const auto from = to_prefill ? engine_role::decode : engine_role::prefill;
    const auto present = to_prefill ? seen.roles.decode : seen.roles.prefill;
    const auto floor = to_prefill ? m_settings.least_decode : m_settings.least_prefill;
    const std::string name{routing::to_string(from)};
    if (!can_release_engine(present, floor, seen.roles.mixed)) {
        m_change_progress.held_back = "the floor of " + name + " engines is reached";
    }
    else if (least_loaded(engines, from) == nullptr) {
        m_change_progress.held_back = "no " + name +
                                      " engine may leave: no spare engine for the model, "
                                      "or operators fixed their roles";
    }
}

} // namespace cicadaport::roles
