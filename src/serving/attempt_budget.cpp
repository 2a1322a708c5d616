#include "cicadaport/serving/attempt_budget.h"

namespace cicadaport::serving {

attempt_budget::counts& attempt_budget::recent(const std::string& service, time_point now)
{
    auto& found = m_services[service];
    const auto oldest = now - m_limits.window;
    while (!found.requests.empty() && found.requests.front() < oldest) {
        found.requests.pop_front();
    }
    while (!found.attempts.empty() && found.attempts.front() < oldest) {
        found.attempts.pop_front();
    }
    return found;
}

void attempt_budget::count_request(const std::string& service, time_point now)
{
    recent(service, now).requests.push_back(now);
}

bool attempt_budget::try_acquire(const std::string& service, time_point now)
{
    auto& found = recent(service, now);
    const auto max_retries = fixed_retry_count + m_limits.ratio * used_fraction *
                                                     static_cast<double>(found.requests.size());
    if (static_cast<double>(found.attempts.size()) + 1 > max_retries) {
        return false;
    }
    found.attempts.push_back(now);
    return true;
}

void attempt_budget::count_attempt(const std::string& service, time_point now)
{
    recent(service, now).attempts.push_back(now);
}

} // namespace cicadaport::serving
