#include "cicadaport/relay/log_readers.h"

#include <peer.pb.h>

#include <algorithm>

namespace cicadaport::relay {
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
    return std::none_of(known.begin(), known.end(), [&](const auto& each) {
        return comes_before(each, id) && each.availability_zone() == availability_zone &&
               reads_with_success(each);
    });
}

} // namespace cicadaport::relay
