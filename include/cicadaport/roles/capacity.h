// What a fleet of engines in given roles can serve of a mix of work.
#pragma once

#include "cicadaport/routing/load.h"
#include "cicadaport/routing/prediction.h"

#include <cstdint>

namespace cicadaport::roles {

// How many serving engines have each role.
struct role_counts {
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;

    auto operator<=>(const role_counts&) const = default;
};

// The work that callers offer, admitted or refused.
struct offered_work {
    double requests_per_second = 0;
    // Seconds of one engine's time asked for per second.
    double prefill = 0;
    double decode = 0;
};

// Tokens asked for per second.
struct token_rates {
    double requests = 0;
    // Tokens of prompts that no cache is expected to hold.
    double prefill = 0;
    double output = 0;

    token_rates& operator+=(const token_rates& other) noexcept;
};

// Returns the engine time that these rates ask of engines of this speed with
// full batches. Pure.
offered_work work_of(const token_rates& rates, const routing::engine_speed& speed) noexcept;

// Returns the part of the offered work, from 0 to 1, that engines in these
// roles can serve: each kind of work fits on the engines that take it, and
// both together fit on all. Pure.
double servable_part(const role_counts& roles, const offered_work& offered) noexcept;

// Returns the requests per second that these roles can serve.
double servable_requests(const role_counts& roles, const offered_work& offered) noexcept;

} // namespace cicadaport::roles
