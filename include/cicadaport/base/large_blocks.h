// How the allocator keeps large blocks.
#pragma once

#include <cstddef>

namespace cicadaport::base {

// Blocks of this size and above are returned to the system when they are freed.
constexpr std::size_t large_block_bytes = 128 * 1024;

// Makes the allocator return all large blocks. By default glibc raises the size from which it does
// so each time a larger block is freed, and then keeps freed blocks of several megabytes.
//
// Call once, at the start of the process.
void return_large_blocks() noexcept;

} // namespace cicadaport::base
