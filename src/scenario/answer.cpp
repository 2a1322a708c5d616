#include "cicadaport/scenario/answer.h"

#include "cicadaport/base/verdict.h"

#include <nlohmann/json.hpp>

#include <cctype>
#include <charconv>
#include <optional>

namespace cicadaport::scenario {
namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id: ";
constexpr std::string_view final_event = "data: [DONE]";

// Returns how many tokens an event's id says were delivered with it, if it has
// an id. The rest of an id is for resumption.
std::optional<std::uint32_t> delivered_of(std::string_view event)
{
    if (!event.starts_with(id_field)) {
        return std::nullopt;
    }
    event.remove_prefix(id_field.size());
    std::uint32_t value = 0;
    const auto* end = event.data() + event.size();
    const auto result = std::from_chars(event.data(), end, value);
    const bool is_number =
        result.ec == std::errc{} && (result.ptr == end || !std::isdigit(*result.ptr));
    return is_number ? std::optional{value} : std::nullopt;
}

} // namespace

std::string missing_from_stream(std::string_view body, std::uint32_t tokens)
{
    std::uint32_t next = 0;
    bool ended = false;
    while (!body.empty()) {
        const auto end = body.find(event_end);
        if (end == std::string_view::npos) {
            return "an event is cut short after token " + std::to_string(next);
        }
        const auto event = body.substr(0, end);
        body.remove_prefix(end + event_end.size());
        if (ended) {
            return "something follows the final event";
        }
        if (event == final_event) {
            ended = true;
            continue;
        }
        const auto delivered = delivered_of(event);
        if (delivered != next + 1) {
            return "expected token " + std::to_string(next + 1) + ", found '" +
                   std::string{event.substr(0, event.find('\n'))} + "'";
        }
        ++next;
    }
    if (!ended) {
        return "no final event after token " + std::to_string(next);
    }
    return next == tokens ? std::string{}
                          : std::to_string(next) + " tokens instead of " + std::to_string(tokens);
}

std::string missing_from(const answer& got, std::uint32_t tokens, bool streamed)
{
    if (!got.cut.empty()) {
        return "cut short: " + got.cut;
    }
    if (streamed) {
        return missing_from_stream(got.body, tokens);
    }
    const auto body = nlohmann::json::parse(got.body, nullptr, false);
    if (body.is_discarded()) {
        return "the body is not JSON";
    }
    if (tokens > 0) {
        const auto made = body.value("/usage/completion_tokens"_json_pointer, 0U);
        return made == tokens ? std::string{} : std::to_string(made) + " tokens";
    }
    return {};
}

std::string_view verdict_of(const answer& got, std::uint32_t tokens, bool streamed)
{
    // A stream's head is sent before its end is known.
    const bool is_whole_stream = streamed && got.status == status_ok &&
                                 got.verdict == base::to_string(base::verdict::may_have_run) &&
                                 missing_from(got, tokens, true).empty();
    return is_whole_stream ? base::to_string(base::verdict::ran) : std::string_view{got.verdict};
}

} // namespace cicadaport::scenario
