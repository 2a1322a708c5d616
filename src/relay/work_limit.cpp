#include "cicadaport/relay/work_limit.h"

#include <peer.pb.h>

#include <algorithm>

namespace cicadaport::relay {

void limit_work(std::span<protocol::process_status> statuses)
{
    std::size_t bytes = 0;
    for (const auto& status : statuses) {
        for (const auto& work : status.work()) {
            bytes += work.ByteSizeLong();
        }
    }
    if (bytes <= most_work_bytes) {
        return;
    }
    for (auto& status : statuses) {
        if (status.work_size() > 0) {
            status.clear_work();
            status.add_work();
        }
    }
}

bool is_work_left_out(const protocol::process_status& status)
{
    return std::any_of(status.work().begin(), status.work().end(),
                       [](const auto& each) { return each.endpoint().empty(); });
}

} // namespace cicadaport::relay
