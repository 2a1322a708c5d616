#include "internal/event_parser.h"

#include <charconv>
#include <stdexcept>

namespace cicadaport::entry {
namespace {

constexpr std::size_t max_event_size = 256 * 1024;

std::optional<std::uint64_t> parse_position(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

void parse_line(std::string_view line, stream_event& into)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const auto name = line.substr(0, colon);
    auto value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "id") {
        into.position = parse_position(value);
    }
    if (name == "data") {
        into.data += into.data.empty() ? "" : "\n";
        into.data += value;
    }
}

} // namespace

void event_parser::feed(std::string_view piece)
{
    m_text.erase(0, m_start);
    m_start = 0;
    m_text += piece;
    if (m_text.size() > max_event_size) {
        throw std::length_error{"an event of the stream is too long"};
    }
}

std::optional<stream_event> event_parser::next()
{
    const std::string_view rest = std::string_view{m_text}.substr(m_start);
    const auto end = rest.find("\n\n");
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    stream_event out;
    auto lines = rest.substr(0, end);
    while (!lines.empty()) {
        const auto stop = std::min(lines.find('\n'), lines.size());
        parse_line(lines.substr(0, stop), out);
        lines.remove_prefix(std::min(stop + 1, lines.size()));
    }
    m_start += end + 2;
    return out;
}

} // namespace cicadaport::entry
