#include "cicadaport/entry/errors.h"

#include <nlohmann/json.hpp>

namespace cicadaport::entry {
namespace {

struct failure_description {
    std::string_view name;
    unsigned status;
    std::string_view completion_type;
};

failure_description describe(failure_kind kind) noexcept
{
    switch (kind) {
    case failure_kind::unknown_key:
        return {"unknown_key", 401, "authentication_error"};
    case failure_kind::unknown_model:
        return {"unknown_model", 404, "invalid_request_error"};
    case failure_kind::unknown_route:
        return {"unknown_route", 404, "invalid_request_error"};
    case failure_kind::invalid_request:
        return {"invalid_request", 400, "invalid_request_error"};
    case failure_kind::no_endpoint:
        return {"no_endpoint", 503, "server_error"};
    case failure_kind::overloaded:
        return {"overloaded", 429, "rate_limit_error"};
    case failure_kind::endpoint_failed:
        return {"endpoint_failed", 502, "server_error"};
    case failure_kind::caller_gone:
        return {"caller_gone", 499, "server_error"};
    case failure_kind::key_required:
        return {"key_required", 400, "invalid_request_error"};
    case failure_kind::key_reused:
        return {"key_reused", 422, "invalid_request_error"};
    case failure_kind::key_expired:
        return {"key_expired", 410, "invalid_request_error"};
    case failure_kind::key_in_use:
        return {"key_in_use", 409, "invalid_request_error"};
    case failure_kind::claims_unavailable:
        return {"claims_unavailable", 503, "server_error"};
    case failure_kind::unavailable:
        break;
    }
    return {"unavailable", 503, "server_error"};
}

std::string completion_body(const request_failure& failure, const failure_description& kind)
{
    const nlohmann::json body{{"error",
                               {{"message", failure.what()},
                                {"type", kind.completion_type},
                                {"code", kind.name},
                                {"verdict", base::to_string(failure.outcome())}}}};
    return body.dump();
}

std::string problem_body(const request_failure& failure, const failure_description& kind)
{
    const nlohmann::json body{{"type", "urn:cicadaport:" + std::string{kind.name}},
                              {"title", kind.name},
                              {"status", kind.status},
                              {"detail", failure.what()},
                              {"verdict", base::to_string(failure.outcome())}};
    return body.dump();
}

} // namespace

std::string_view to_string(failure_kind kind) noexcept
{
    return describe(kind).name;
}

http::response to_response(const request_failure& failure, error_shape shape)
{
    const auto kind = describe(failure.kind());
    const bool is_problem = shape == error_shape::problem;
    http::response out{
        kind.status,
        {{"Content-Type", is_problem ? "application/problem+json" : "application/json"},
         {std::string{verdict_field}, std::string{base::to_string(failure.outcome())}}},
        is_problem ? problem_body(failure, kind) : completion_body(failure, kind)};
    if (failure.retry_after()) {
        // Retry-After is in whole seconds; rounding up never permits an early retry.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retry_after());
        out.fields.add("Retry-After", std::to_string(std::max<std::int64_t>(seconds.count(), 1)));
    }
    return out;
}

} // namespace cicadaport::entry
