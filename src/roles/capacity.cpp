#include "cicadaport/roles/capacity.h"

#include <algorithm>

namespace cicadaport::roles {
namespace {

double served_fraction(double engines, double work)
{
    return work > 0 ? std::min(engines / work, 1.0) : 1.0;
}

} // namespace

token_rates& token_rates::operator+=(const token_rates& other) noexcept
{
    requests += other.requests;
    prefill += other.prefill;
    output += other.output;
    return *this;
}

offered_work to_offered_work(const token_rates& rates, const routing::engine_speed& speed) noexcept
{
    const auto per_output_token = speed.per_decode_token + speed.step_base / speed.max_running;
    return {rates.requests, rates.prefill * speed.per_prefill_token.count(),
            rates.output * per_output_token.count()};
}

double servable_fraction(const role_counts& roles, const offered_work& offered) noexcept
{
    const double prefill = roles.mixed + roles.prefill;
    const double decode = roles.mixed + roles.decode;
    const double all = roles.mixed + roles.prefill + roles.decode;
    return std::min({served_fraction(prefill, offered.prefill),
                     served_fraction(decode, offered.decode),
                     served_fraction(all, offered.prefill + offered.decode)});
}

double servable_requests(const role_counts& roles, const offered_work& offered) noexcept
{
    return servable_fraction(roles, offered) * offered.requests_per_second;
}

} // namespace cicadaport::roles
