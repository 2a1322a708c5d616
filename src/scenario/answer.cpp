#include "cicadaport/scenario/answer.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace cicadaport::scenario {
namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id: ";
constexpr std::string_view final_event = "data: [DONE]";

// Returns the number in an event's id field, if it has one.
std::optional<std::uint32_t> id_of(std::string_view event)
{
    if (!event.starts_with(id_field)) {
        return std::nullopt;
    }
    event.remove_prefix(id_field.size());
    std::uint32_t value = 0;
    const auto* end = event.data() + event.size();
    const auto result = std::from_chars(event.data(), end, value);
    return result.ec == std::errc{} ? std::optional{value} : std::nullopt;
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
        const auto id = id_of(event);
        if (id != next) {
            return "expected token " + std::to_string(next) + ", found '" +
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

} // namespace cicadaport::scenario
