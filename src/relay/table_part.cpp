#include "cicadaport/relay/table_part.h"

#include "cicadaport/relay/process_table.h"

#include <peer.pb.h>

#include <algorithm>

namespace cicadaport::relay {
namespace {

constexpr std::size_t most_followers = 4'096;

static_assert(table_part::whole_interval * 2 <= process_table::forget_after);

} // namespace

bool table_part::is_due(const table_reader& reader, time_point now)
{
    if (m_told.size() > most_followers) {
        m_told.clear();
    }
    auto& last = m_told[reader.peer].something;
    if (last && now - *last < interval) {
        return false;
    }
    last = now;
    return true;
}

std::vector<protocol::process_status>
table_part::choose(const table_reader& reader, std::vector<protocol::process_status> known,
                   time_point now)
{
    if (!reader.is_entry || known.size() <= small_table) {
        return known;
    }
    auto& all = m_told[reader.peer].all;
    if (reader.follows && (!all || now - *all >= whole_interval)) {
        all = now;
        for (auto& each : known) {
            each.clear_offered();
        }
        return known;
    }
    std::erase_if(known, [](const auto& each) { return !each.reads_log(); });
    return known;
}

} // namespace cicadaport::relay
