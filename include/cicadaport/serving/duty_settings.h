// Settings of duties.
#pragma once

#include "cicadaport/http/address.h"

#include <chrono>

namespace cicadaport::serving {

using std::chrono::milliseconds;

// Settings of the duties towards the platform that one host performs at a time.
struct duty_settings {
    // Address of the platform's interface for duties.
    http::address address;
    bool reports_usage = false;
    bool scales = false;
    // Maximum number of calls per second of all hosts together.
    double calls_per_second = 50;
    // Length of a usage window, and the time after its end within which its report is due.
    milliseconds usage_window{5'000};
    milliseconds usage_due{10'000};
    // Two hosts must not act in turn for one subject within this time.
    milliseconds lease_time{3'000};
};

} // namespace cicadaport::serving
