#include "cicadaport/entry/request_context.h"

#include "cicadaport/base/digest.h"
#include "cicadaport/base/identifier.h"
#include "cicadaport/entry/errors.h"

#include <charconv>

namespace cicadaport::entry {
namespace {

using base::verdict;
using std::chrono::milliseconds;

constexpr milliseconds default_deadline{10'000};
constexpr std::size_t max_request_id_length = 128;
constexpr milliseconds no_configuration_retry_after{1'000};

std::string bearer_key(const http::request& message)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = message.fields.find("Authorization");
    return value && value->starts_with(scheme) ? std::string{value->substr(scheme.size())}
                                               : std::string{};
}

request_failure invalid(const std::string& reason)
{
    return request_failure{failure_kind::invalid_request, verdict::not_run, reason};
}

// Request ids are written into header fields and event ids, so they contain only
// visible characters that are not separators there.
bool is_valid_id(std::string_view id) noexcept
{
    constexpr auto allowed = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:";
    return id.size() <= max_request_id_length && id.find_first_not_of(allowed) == id.npos;
}

std::string request_id_of(const http::request& message)
{
    const auto given = message.fields.find(request_id_field);
    if (!given || given->empty()) {
        return base::make_identifier();
    }
    if (!is_valid_id(*given)) {
        throw invalid(std::string{request_id_field} + " is too long or has other characters than "
                                                      "letters, digits and -_.:");
    }
    return std::string{*given};
}

milliseconds deadline_of(const http::request& message, const routing::view& view,
                         const std::string& priority)
{
    if (const auto text = message.fields.find(deadline_field)) {
        std::uint32_t value = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (error != std::errc{} || end != text->data() + text->size() || value == 0) {
            throw invalid(std::string{deadline_field} + " is not a number of milliseconds");
        }
        return milliseconds{value};
    }
    const auto* found = view.document().find_priority(priority);
    return found == nullptr ? default_deadline : found->deadline;
}

} // namespace

request_context identify(const http::request& message, const routing::view& view,
                         std::chrono::steady_clock::time_point now)
{
    const auto* caller = view.find_caller(base::sha256_hex(bearer_key(message)));
    if (caller == nullptr && view.configuration_offset() == 0) {
        // No key can be checked without a configuration, so the key is not reported as unknown.
        throw request_failure{failure_kind::unavailable, verdict::not_run,
                              "this process has no configuration yet",
                              no_configuration_retry_after};
    }
    if (caller == nullptr) {
        throw request_failure{failure_kind::unknown_key, verdict::not_run,
                              "the API key is not known"};
    }
    request_context out;
    out.id = request_id_of(message);
    out.account = caller->account;
    out.priority = caller->priority;
    out.arrived = now;
    out.deadline = now + deadline_of(message, view, out.priority);
    return out;
}

http::field_list forwarded_fields(const http::request& message, const std::string& id)
{
    http::field_list out;
    for (const auto* name :
         {"Content-Type", "Accept", "traceparent", "tracestate", "Idempotency-Key"}) {
        if (const auto value = message.fields.find(name)) {
            out.add(name, *value);
        }
    }
    out.add(request_id_field, id);
    return out;
}

} // namespace cicadaport::entry
