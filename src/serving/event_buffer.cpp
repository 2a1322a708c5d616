#include "cicadaport/serving/event_buffer.h"

#include <charconv>

namespace cicadaport::serving {
namespace {

std::optional<std::string_view> id_of(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            while (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            return line;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> number_of(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

// Returns whether `id` is above `last`; true if either of them is not a number.
bool is_later(std::string_view id, std::string_view last)
{
    const auto left = number_of(id);
    const auto right = number_of(last);
    return !left || !right || *left > *right;
}

} // namespace

std::string event_buffer::take_whole()
{
    constexpr std::string_view separator = "\n\n";
    std::string out;
    std::size_t start = 0;
    for (auto end = m_held.find(separator); end != std::string::npos;
         end = m_held.find(separator, start)) {
        const auto event = std::string_view{m_held}.substr(start, end + separator.size() - start);
        start += event.size();
        const auto id = id_of(event);
        if (id && m_last && !is_later(*id, *m_last)) {
            continue;
        }
        if (id) {
            m_last = std::string{*id};
        }
        out += event;
        ++m_count;
    }
    m_held.erase(0, start);
    return out;
}

std::string event_buffer::take_rest()
{
    return std::exchange(m_held, {});
}

} // namespace cicadaport::serving
