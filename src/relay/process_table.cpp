#include "cicadaport/relay/process_table.h"

#include <peer.pb.h>

namespace cicadaport::relay {
namespace {

// Returns whether `status` was said before `known`, whatever its age says: a
// message that waited while this process was paused looks younger than it is.
// A process that has just started has no offset and is believed.
bool is_outdated(const protocol::process_status& status, const std::string& known)
{
    protocol::process_status before;
    before.ParseFromString(known);
    return status.offset_in_force() > 0 && status.offset_in_force() < before.offset_in_force();
}

} // namespace

void process_table::note(const protocol::process_status& status, clock::time_point now)
{
    const auto said_at = now - std::chrono::milliseconds{status.age_ms()};
    const std::scoped_lock lock{m_mutex};
    auto& known = m_entries[status.id()];
    if (known.status.empty() || (known.said_at < said_at && !is_outdated(status, known.status))) {
        known = {status.SerializeAsString(), said_at};
    }
    std::erase_if(m_entries,
                  [&](const auto& each) { return each.second.said_at + forget_after < now; });
}

std::vector<protocol::process_status> process_table::list(clock::time_point now) const
{
    std::vector<protocol::process_status> out;
    const std::scoped_lock lock{m_mutex};
    for (const auto& [id, known] : m_entries) {
        if (known.said_at + forget_after < now) {
            continue;
        }
        auto& status = out.emplace_back();
        status.ParseFromString(known.status);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.said_at);
        status.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)));
    }
    return out;
}

} // namespace cicadaport::relay
