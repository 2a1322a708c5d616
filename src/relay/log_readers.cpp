#include "cicadaport/relay/log_readers.h"

#include <peer.pb.h>

#include <algorithm>
#include <optional>

namespace cicadaport::relay {

using std::chrono::milliseconds;

namespace {

bool comes_before(const protocol::process_status& each, std::string_view id)
{
    return each.kind() == "control" && !each.draining() && each.age_ms() < live_age.count() &&
           each.id() < id;
}

bool reads_with_success(const protocol::process_status& each)
{
    return each.reads_log() && each.log_age_ms() + each.age_ms() < longest_log_silence.count();
}

} // namespace

std::size_t rank_of(std::string_view id, std::span<const protocol::process_status> known)
{
    return static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(), [&](const auto& each) { return comes_before(each, id); }));
}

bool should_read_log(std::string_view id, std::string_view availability_zone,
                     std::span<const protocol::process_status> known)
{
    std::size_t before = 0;
    std::optional<milliseconds> silence;
    for (const auto& each : known) {
        if (!comes_before(each, id) || each.availability_zone() != availability_zone) {
            continue;
        }
        if (reads_with_success(each)) {
            return false;
        }
        ++before;
        if (each.log_age_ms() > 0) {
            const milliseconds since{std::uint64_t{each.log_age_ms()} + each.age_ms()};
            silence = std::min(silence.value_or(since), since);
        }
    }
    // Where the log never answered, nobody knows since when it has been silent.
    return before == 0 || !silence || *silence >= silence_before_joining(before);
}

std::chrono::milliseconds silence_before_joining(std::size_t rank)
{
    constexpr milliseconds first_pause{2'000};
    constexpr std::size_t most_doublings = 20;
    const auto doublings = std::min(rank, most_doublings + 1) - 1;
    return longest_log_silence + first_pause * ((std::int64_t{1} << doublings) - 1);
}

} // namespace cicadaport::relay
