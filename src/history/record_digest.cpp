#include "cicadaport/history/record_digest.h"

#include <xxhash.h>

namespace cicadaport::history {

std::uint32_t digest_of(std::string_view key, std::optional<std::string_view> value) noexcept
{
    constexpr std::uint64_t removal_seed = 1;
    const auto of_key = XXH64(key.data(), key.size(), 0);
    return static_cast<std::uint32_t>(value ? XXH64(value->data(), value->size(), of_key)
                                            : XXH64(key.data(), key.size(), removal_seed));
}

} // namespace cicadaport::history
