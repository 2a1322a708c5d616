#include "cicadaport/serving/connection_bounds.h"

#include <fmt/format.h>

namespace cicadaport::serving {

std::string to_fields(const caller_counts& counts)
{
    return fmt::format("too_many_lines={} heads_without_memory={} unusable={} reading_pauses={} "
                       "later_turns={}",
                       counts.too_many_lines, counts.heads_without_memory, counts.unusable,
                       counts.reading_pauses, counts.later_turns);
}

} // namespace cicadaport::serving
