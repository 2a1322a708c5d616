#include "cicadaport/serving/event_buffer.h"

#include <algorithm>
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
            // A carriage return ends a line, too.
            return line.substr(0, line.find('\r'));
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

// Returns whether `id` is above `last`; true if either of them is not a number.
bool is_later(std::string_view id, std::string_view last)
{
    const auto left = parse_number(id);
    const auto right = parse_number(last);
    return !left || !right || *left > *right;
}

// The longest end of an event, a line feed and an empty line.
constexpr std::size_t max_ending_bytes = 3;

// Returns the position after the empty line that ends the first event; npos if there is none. No
// event ends within the first `searched` bytes.
std::size_t end_of_event(std::string_view text, std::size_t searched)
{
    const auto from = searched - std::min(searched, max_ending_bytes - 1);
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n')) {
            return at + 2;
        }
        if (next.starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_buffer::take_complete()
{
    std::string out;
    std::size_t start = 0;
    for (;;) {
        const auto rest = std::string_view{m_pending}.substr(start);
        const auto end = end_of_event(rest, std::exchange(m_searched, 0));
        if (end == std::string_view::npos) {
            m_searched = rest.size();
            break;
        }
        const auto event = rest.substr(0, end);
        start += event.size();
        const auto id = id_of(event);
        if (id && m_last_event_id && !is_later(*id, *m_last_event_id)) {
            continue;
        }
        if (id) {
            m_last_event_id = std::string{*id};
        }
        out += event;
        ++m_count;
    }
    m_pending.erase(0, start);
    return out;
}

} // namespace cicadaport::serving
