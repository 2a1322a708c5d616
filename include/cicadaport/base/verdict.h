// What may have become of a request at an endpoint.
//
// Retry, refusal text, status code and log line all follow from this value
// alone: a request is sent again only when it was not run, or when running it
// twice does no harm.
#pragma once

#include <string_view>

namespace cicadaport::base {

// Whether a request may have taken effect.
enum class verdict {
    // No endpoint has started it: no byte was sent, or the endpoint said so.
    not_run,
    // A part of it reached an endpoint and nobody knows what came of it.
    may_have_run,
    // It ran and its whole answer is known.
    ran,
};

// Returns the name of `value` as it stands in headers and logs.
constexpr std::string_view to_string(verdict value) noexcept
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

// Returns whether a request with this verdict may be sent to an endpoint again.
constexpr bool may_retry(verdict value, bool idempotent) noexcept
{
    return value == verdict::not_run || (value == verdict::may_have_run && idempotent);
}

} // namespace cicadaport::base
