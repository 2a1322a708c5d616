#include "cicadaport/history/announced_page.h"

namespace cicadaport::history {
namespace {

// Returns whether a record that both hosts know differs.
bool has_other_records(const known_part& known, const announced_part& announced) noexcept
{
    return (announced.from == known.offset &&
            contradict(known.last_record, announced.record_before)) ||
           (announced.end == known.offset &&
            contradict(known.last_record, announced.last_record)) ||
           contradict(known.last_record, announced.overlap);
}

// Returns whether the list ended before records that this host had read earlier.
bool has_shrunk(const known_part& known, const announced_part& announced) noexcept
{
    return announced.end < known.offset && known.known_at &&
           announced.read_at > *known.known_at + max_announcement_delay;
}

} // namespace

page_relation relate(const known_part& known, const announced_part& announced) noexcept
{
    if (known.epoch && announced.epoch && *announced.epoch != *known.epoch) {
        return *announced.epoch < *known.epoch ? page_relation::outdated
                                               : page_relation::contradicts;
    }
    if (known.epoch && !announced.epoch) {
        // The host can't tell histories apart, or has not heard from the store yet.
        return page_relation::outdated;
    }
    return has_other_records(known, announced) || has_shrunk(known, announced)
               ? page_relation::contradicts
               : page_relation::continues;
}

std::string_view to_string(page_relation relation)
{
    switch (relation) {
    case page_relation::outdated:
        return "outdated";
    case page_relation::contradicts:
        return "contradicts";
    case page_relation::continues:
        break;
    }
    return "continues";
}

} // namespace cicadaport::history
