#include "internal/stream_position.h"

#include "cicadaport/base/digest.h"

#include <charconv>
#include <xxhash.h>

namespace cicadaport::entry {
namespace {

constexpr char separator = '.';
constexpr std::size_t prefix_digits = 32;

std::string_view take_field(std::string_view& text)
{
    const auto end = std::min(text.find(separator), text.size());
    const auto part = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

bool parse_number(std::string_view text, std::uint64_t& into)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
    return error == std::errc{} && end == text.data() + text.size();
}

// Returns the length of the JSON array or object at the start of `text`.
std::size_t value_length(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char each = text[i];
        if (quoted) {
            // Skips the escaped character: an escaped quote does not end the string.
            i += each == '\\' ? 1 : 0;
            quoted = each != '"';
        }
        else if (each == '"') {
            quoted = true;
        }
        else if (each == '[' || each == '{') {
            ++depth;
        }
        else if ((each == ']' || each == '}') && --depth == 0) {
            return i + 1;
        }
    }
    return text.size();
}

// Returns the part of an event that is the same from every engine: its `choices`,
// or all data if there are none.
std::string_view content_of(std::string_view data) noexcept
{
    constexpr std::string_view name = "\"choices\":";
    const auto found = data.find(name);
    if (found == std::string_view::npos) {
        return data;
    }
    const auto value = data.substr(found + name.size());
    return value.substr(0, value_length(value));
}

} // namespace

std::string to_event_id(const stream_position& position)
{
    return std::to_string(position.delivered) + separator + std::to_string(position.digest) +
           separator + position.stream + separator + position.engine;
}

std::optional<stream_position> parse_event_id(std::string_view id)
{
    stream_position out;
    if (!parse_number(take_field(id), out.delivered) || !parse_number(take_field(id), out.digest)) {
        return std::nullopt;
    }
    out.stream = take_field(id);
    out.engine = id;
    if (out.stream.empty() || out.engine.empty()) {
        return std::nullopt;
    }
    return out;
}

void advance_position(stream_position& position, std::string_view data)
{
    const auto content = content_of(data);
    position.digest = XXH64(content.data(), content.size(), position.digest);
    ++position.delivered;
}

std::string stream_prefix(std::string_view account, std::string_view request_id,
                          std::string_view body)
{
    std::string text{account};
    text += '\n';
    text += request_id;
    text += '\n';
    text += body;
    return base::sha256_hex(text).substr(0, prefix_digits);
}

} // namespace cicadaport::entry
