#include "cicadaport/base/large_blocks.h"

#include <malloc.h>

namespace cicadaport::base {

void return_large_blocks() noexcept
{
    ::mallopt(M_MMAP_THRESHOLD, static_cast<int>(large_block_bytes));
}

} // namespace cicadaport::base
