#include "internal/completion_request.h"

#include "cicadaport/entry/errors.h"

#include <nlohmann/json.hpp>

namespace cicadaport::entry {
namespace {

request_failure invalid(const std::string& reason)
{
    return request_failure{failure_kind::invalid_request, base::verdict::not_run, reason};
}

} // namespace

completion_request parse_completion(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("model") || !parsed["model"].is_string()) {
        throw invalid("the body is not a JSON object with a model");
    }
    completion_request out;
    out.model = parsed["model"].get<std::string>();
    if (parsed.contains("stream")) {
        if (!parsed["stream"].is_boolean()) {
            throw invalid("'stream' is neither true nor false");
        }
        out.streamed = parsed["stream"].get<bool>();
    }
    return out;
}

} // namespace cicadaport::entry
