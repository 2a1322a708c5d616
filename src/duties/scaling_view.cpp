#include "cicadaport/duties/scaling_view.h"

namespace cicadaport::duties {

std::string_view to_string(replica_kind kind)
{
    return kind == replica_kind::ordinary ? "ordinary" : "reclaimable";
}

std::string_view to_string(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::unavailable:
        return "unavailable";
    case order_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace cicadaport::duties
