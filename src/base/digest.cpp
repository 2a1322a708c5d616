#include "cicadaport/base/digest.h"

#include <sodium.h>

#include <array>

namespace cicadaport::base {

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> bytes{};
    crypto_hash_sha256(bytes.data(), reinterpret_cast<const unsigned char*>(data.data()),
                       data.size());
    std::array<char, crypto_hash_sha256_BYTES * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return {text.data(), text.size() - 1};
}

} // namespace cicadaport::base
