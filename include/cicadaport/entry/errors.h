// Rejections and failures as clients receive them.
#pragma once

#include "cicadaport/base/verdict.h"
#include "cicadaport/http/message.h"

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace cicadaport::entry {

// The header that carries the verdict on every response.
constexpr std::string_view verdict_field = "Cicadaport-Verdict";
constexpr std::string_view request_id_field = "X-Request-Id";

// The reason that a request has no complete response.
enum class failure_kind {
    unknown_key,
    unknown_model,
    unknown_route,
    invalid_request,
    no_endpoint,
    overloaded,
    endpoint_failed,
    // The client disconnected before the response.
    caller_gone,
    // The route needs an Idempotency-Key.
    key_required,
    // The key was used for a request with another body.
    key_reused,
    // The key is older than the retention of claims.
    key_expired,
    // A request with this key was started and its response is not known.
    key_in_use,
    // The claim can't be recorded in the log.
    claims_unavailable,
    unavailable,
};

// The final failure of a request. Only the gateway turns it into a response.
class request_failure : public std::runtime_error {
public:
    request_failure(failure_kind kind, base::verdict outcome, const std::string& reason,
                    std::optional<std::chrono::milliseconds> retry_after = std::nullopt)
        : std::runtime_error{reason}, m_kind{kind}, m_outcome{outcome}, m_retry_after{retry_after}
    {
    }

    failure_kind kind() const noexcept { return m_kind; }
    base::verdict outcome() const noexcept { return m_outcome; }

    // The Retry-After time, if a retry can succeed.
    std::optional<std::chrono::milliseconds> retry_after() const noexcept { return m_retry_after; }

private:
    failure_kind m_kind;
    base::verdict m_outcome;
    std::optional<std::chrono::milliseconds> m_retry_after;
};

// The shape of an error's body.
enum class error_shape {
    // {"error": {...}}, the format of language-model APIs.
    completion,
    // RFC 9457 problem details.
    problem,
};

// Returns the response for a failure.
http::response to_response(const request_failure& failure, error_shape shape);

// Returns the name of the failure in error bodies, logs and metrics.
std::string_view to_string(failure_kind kind) noexcept;

} // namespace cicadaport::entry
