// The retry budget: bounds which share of a service's traffic may be attempts beyond the first.
//
// The bound applies to the whole fleet, but the hosts share no counter. Each host may make retries
// up to a fraction of the ratio over its own requests, plus a small fixed number. The sum stays
// within the bound for any number of hosts, whether or not they receive each other's gossip, and
// after any restart.
//
// Performs no I/O; times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <deque>
#include <map>

namespace cicadaport::serving {

class attempt_budget {
public:
    struct bounds {
        // Attempts beyond the first per request, for the whole fleet.
        double ratio = 0.1;
        std::chrono::milliseconds window{10'000};
    };

    // Fraction of the fleet's ratio that a host uses; the margin is needed because a request and
    // its retries can fall into different windows.
    static constexpr double used_fraction = 0.8;
    // Retries per window that a host may make without any traffic. The smallest known deployment
    // allows 2.4 per host, so this number stays within the bound for all hosts together.
    static constexpr double fixed_retry_count = 2;

    explicit attempt_budget(bounds limits) : m_limits{limits} {}

    void set_bounds(bounds limits) noexcept { m_limits = limits; }

    // Counts a request for a service.
    void count_request(const std::string& service, time_point now);

    // Returns whether one more retry may be made, and counts it if so.
    bool try_acquire(const std::string& service, time_point now);

    // Counts a retry that is made whether or not the budget allows it.
    void count_attempt(const std::string& service, time_point now);

private:
    struct counts {
        std::deque<time_point> requests;
        std::deque<time_point> attempts;
    };

    counts& recent(const std::string& service, time_point now);

    bounds m_limits;
    std::map<std::string, counts> m_services;
};

} // namespace cicadaport::serving
