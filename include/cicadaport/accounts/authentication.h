// Decides whether a request may run, and for which account.
//
// Performs no I/O.
#pragma once

#include "cicadaport/accounts/key_set.h"

#include <chrono>

namespace cicadaport::accounts {

using std::chrono::milliseconds;

// What a request states about its caller.
struct credentials {
    enum class form {
        absent,
        // Can't be read, or of a kind that is not supported.
        malformed,
        key,
    };

    form kind = form::absent;
    // Set if `kind` is `key`.
    key_hash key{};
};

// The view of the configuration by which a request is judged.
struct view {
    const key_set& keys;
    // The time since the view was current; empty if that is unknown.
    std::optional<milliseconds> age;
    // An older view may lack what is in force, so it proves no key unknown.
    milliseconds max_apply_delay{0};
    // An older view proves no key valid. Empty if a view of any age does.
    std::optional<milliseconds> max_revocation_delay;
};

enum class outcome {
    // Runs for an account.
    accepted,
    // Runs without an account.
    anonymous,
    // Certainly not allowed.
    unknown_key,
    // The view is too old to decide.
    stale_view,
};

std::string_view to_string(outcome of) noexcept;
std::string_view to_string(credentials::form of) noexcept;

struct decision {
    outcome result = outcome::stale_view;
    // Set if the request is accepted. Owned by the view's keys.
    const account* holder = nullptr;
};

// `allows_anonymous` tells that the route serves requests without a key. Such a route never refuses
// a request because its key is unknown.
decision authenticate(const credentials& given, const view& known, bool allows_anonymous);

// Returns whether a view of this age can still prove that a key is valid.
bool proves_keys(std::optional<milliseconds> age,
                 std::optional<milliseconds> max_revocation_delay) noexcept;

// Numbers of requests by outcome, for logs.
struct authentication_counts {
    std::uint64_t accepted = 0;
    std::uint64_t anonymous = 0;
    std::uint64_t unknown_key = 0;
    std::uint64_t stale_view = 0;
    // Requests whose account another host has determined.
    std::uint64_t relayed = 0;
    // Requests shed because more than the fair share of their account was admitted.
    std::uint64_t over_share = 0;

    void count(outcome of) noexcept;
};

} // namespace cicadaport::accounts
