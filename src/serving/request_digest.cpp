#include "cicadaport/serving/request_digest.h"

#include <sodium.h>

#include <array>

namespace cicadaport::serving {
namespace {

constexpr std::size_t digest_bytes = sizeof(std::uint64_t);

void add_number(crypto_generichash_state& state, std::uint64_t number)
{
    constexpr unsigned byte_bits = 8;
    std::array<unsigned char, sizeof(number)> bytes{};
    for (auto& each : bytes) {
        each = static_cast<unsigned char>(number);
        number >>= byte_bits;
    }
    crypto_generichash_update(&state, bytes.data(), bytes.size());
}

// The length separates the parts from each other.
void add_part(crypto_generichash_state& state, std::string_view part)
{
    add_number(state, part.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
}

} // namespace

std::uint64_t request_digest(const transport::message_head& head, const request_metadata& metadata,
                             std::string_view body)
{
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, crypto_generichash_BYTES);
    for (const std::string_view part :
         {std::string_view{head.method}, std::string_view{metadata.host},
          std::string_view{head.target}, std::string_view{metadata.caller}, body}) {
        add_part(state, part);
    }
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash_final(&state, hash.data(), hash.size());
    std::uint64_t out = 0;
    constexpr unsigned byte_bits = 8;
    for (std::size_t index = 0; index < digest_bytes; ++index) {
        out |= std::uint64_t{hash[index]} << (byte_bits * index);
    }
    return out;
}

} // namespace cicadaport::serving
