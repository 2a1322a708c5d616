// The capacity of a fleet of engines in given roles for a mix of prefill and decode.
#pragma once

#include "cicadaport/routing/load.h"
#include "cicadaport/routing/prediction.h"

#include <cstdint>

namespace cicadaport::roles {

// The number of serving engines in each role.
struct role_counts {
    std::uint32_t mixed = 0;
    std::uint32_t prefill = 0;
    std::uint32_t decode = 0;

    auto operator<=>(const role_counts&) const = default;
};

// The offered load: the work of all requests, admitted or rejected.
struct offered_work {
    double requests_per_second = 0;
    // Seconds of engine time needed per second.
    double prefill = 0;
    double decode = 0;
};

// Requests and tokens per second.
struct token_rates {
    double requests = 0;
    // Prompt tokens that no KV cache is expected to hold.
    double prefill = 0;
    double output = 0;

    token_rates& operator+=(const token_rates& other) noexcept;
};

// Returns the engine time that these rates need at engines of this speed with full
// batches. Pure.
offered_work to_offered_work(const token_rates& rates, const routing::engine_speed& speed) noexcept;

// Returns the fraction of the offered work, from 0 to 1, that engines in these
// roles can serve. Prefill is limited by the prefill and mixed engines, decode by
// the decode and mixed engines, and their sum by all engines. Pure.
double servable_fraction(const role_counts& roles, const offered_work& offered) noexcept;

// Returns the requests per second that these roles can serve.
double servable_requests(const role_counts& roles, const offered_work& offered) noexcept;

} // namespace cicadaport::roles
