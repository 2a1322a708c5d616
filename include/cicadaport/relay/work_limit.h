// How much work in flight a relay passes on.
#pragma once

#include <cstddef>
#include <span>

namespace cicadaport::protocol {
class process_status;
} // namespace cicadaport::protocol

namespace cicadaport::relay {

// More than this is not passed on in one answer.
constexpr std::size_t most_work_bytes = 2'500;

// Replaces the work in flight of all `statuses` by the mark for work that is
// not told, if together it is more than `most_work_bytes`. A part of it would
// be taken for all. The mark is an `endpoint_work` that names no endpoint.
void limit_work(std::span<protocol::process_status> statuses);

// Returns whether `status` had work that was not told.
bool is_work_left_out(const protocol::process_status& status);

} // namespace cicadaport::relay
