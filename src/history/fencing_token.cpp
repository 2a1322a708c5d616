#include "cicadaport/history/fencing_token.h"

namespace cicadaport::history {
namespace {

constexpr unsigned offset_bits = 32;
constexpr unsigned token_bits = 53;
constexpr std::uint64_t max_offset = (1ULL << offset_bits) - 2;
constexpr std::uint64_t max_epoch = (1ULL << (token_bits - offset_bits)) - 1;

} // namespace

std::optional<std::uint64_t> fencing_token(std::optional<std::uint64_t> epoch,
                                           std::uint64_t offset) noexcept
{
    const auto of_history = epoch.value_or(0);
    if (of_history > max_epoch || offset > max_offset) {
        return std::nullopt;
    }
    return (of_history << offset_bits) + offset + 1;
}

} // namespace cicadaport::history
