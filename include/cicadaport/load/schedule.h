// What callers send and when: made in advance from a seed.
//
// The same seed gives the same arrivals, whatever becomes of them, so that
// policies can be compared on equal work.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::load {

using seconds = std::chrono::duration<double>;

// A kind of request that callers of one account send.
struct request_class {
    std::string name;
    std::string api_key;
    // Words that begin the prompt of every caller with the same customer file.
    std::uint32_t shared_words = 0;
    // How many different beginnings there are.
    std::uint32_t beginnings = 1;
    // Means of what is drawn for each request.
    std::uint32_t own_words = 0;
    std::uint32_t output_tokens = 0;
    std::chrono::milliseconds deadline{0};
    // Parts of all requests before and after a swing of the mix.
    double part_before = 0;
    double part_after = 0;
};

// One deployment's callers.
struct profile {
    std::string model;
    std::vector<request_class> classes;
};

// Returns the profile "nguyen_phat" or "saheli"; throws std::invalid_argument.
profile find_profile(std::string_view name);

// How the mix moves between its two ends.
enum class swing { none, once, slow, fast };

// Returns the swing of this name; throws std::invalid_argument.
swing parse_swing(std::string_view name);

// Returns where the mix is at `at` of `whole`: 0 before, 1 after the swing.
double swing_position(swing kind, seconds at, seconds whole);

// One request to send.
struct arrival {
    seconds at{0};
    std::uint32_t request_class = 0;
    std::uint32_t beginning = 0;
    std::uint32_t own_words = 0;
    std::uint32_t output_tokens = 0;
    // Makes the prompt's own words differ from those of other requests.
    std::uint64_t seed = 0;
};

struct schedule_options {
    std::uint64_t seed = 1;
    double requests_per_second = 10;
    seconds duration{10};
    swing kind = swing::none;
};

// Draws open-loop arrivals: gaps are exponential and do not wait for answers.
std::vector<arrival> make_schedule(const profile& of, const schedule_options& options);

// Returns the JSON body of one arrival.
std::string make_body(const profile& of, const arrival& each);

} // namespace cicadaport::load
