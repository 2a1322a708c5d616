#include "cicadaport/history/fencing_token.h"

namespace cicadaport::history {
namespace {

constexpr unsigned offset_bits = 32;
constexpr std::uint64_t max_offset = (1ULL << offset_bits) - 2;
constexpr std::uint64_t max_epoch = max_fencing_token >> offset_bits;

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

std::optional<std::uint64_t> fencing_token_above(std::uint64_t known,
                                                 std::optional<std::uint64_t> epoch,
                                                 std::uint64_t offset) noexcept
{
    // A later record of the epoch that the known token is from has a larger token already.
    const auto known_epoch = known >> offset_bits;
    for (const auto& each : {epoch.value_or(0), known_epoch, known_epoch + 1}) {
        const auto token = fencing_token(each, offset);
        if (token && *token > known) {
            return token;
        }
    }
    return std::nullopt;
}

} // namespace cicadaport::history
