// Bounds how much of a service's traffic may be attempts beyond the first.
//
// The bound is one of the whole fleet of hosts, which have no common count.
// Each host takes a part of the ratio over its own requests and a small fixed
// number, so that the sum stays within the bound however many hosts there are,
// whether or not they hear of each other, and after any restart.
//
// Pure: times are passed in. Not thread safe.
#pragma once

#include "cicadaport/serving/endpoint_table.h"

#include <deque>
#include <map>

namespace cicadaport::serving {

class attempt_budget {
public:
    struct bounds {
        // Attempts beyond the first, as a part of the requests, for the fleet.
        double ratio = 0.1;
        std::chrono::milliseconds window{10'000};
    };

    // The part of the fleet's ratio that a host uses: requests and attempts
    // fall into different windows.
    static constexpr double used_part = 0.8;
    // Attempts per window that a host may make without any traffic. With a
    // slack of 2.4 for each host, the least of the known deployments, it holds
    // for all hosts together.
    static constexpr double fixed_attempts = 2;

    explicit attempt_budget(bounds limits) : m_limits{limits} {}

    void set_bounds(bounds limits) noexcept { m_limits = limits; }

    // Counts a request for a service.
    void count_request(const std::string& service, time_point now);

    // Returns whether one more attempt may be made, and counts it.
    bool take(const std::string& service, time_point now);

    // Counts an attempt that was made without asking.
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
