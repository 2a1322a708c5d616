#include "cicadaport/serving/list_position.h"

#include <fmt/format.h>

namespace cicadaport::serving {
namespace {

std::string_view to_string(list_reader reader)
{
    switch (reader) {
    case list_reader::this_host:
        return "this_host";
    case list_reader::other_host:
        return "other_host";
    case list_reader::nobody:
        break;
    }
    return "nobody";
}

milliseconds since(time_point then, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

} // namespace

std::optional<milliseconds> list_position::age(time_point now) const noexcept
{
    return known_at ? std::optional{since(*known_at, now)} : std::nullopt;
}

std::string to_fields(const list_position& of, time_point now)
{
    constexpr milliseconds never{-1};
    return fmt::format("offset={} told_end={} age_ms={} read_by={} failures={} asking_ms={} "
                       "stated_end={} generation={}",
                       of.offset, of.announced_end, of.age(now).value_or(never).count(),
                       to_string(of.read_by), of.failures,
                       of.call_started_at ? since(*of.call_started_at, now).count() : never.count(),
                       of.stated_end, of.generation);
}

} // namespace cicadaport::serving
