#include "cicadaport/base/identifier.h"

#include <sodium.h>

#include <array>

namespace cicadaport::base {

std::string make_identifier()
{
    constexpr std::size_t identifier_bytes = 16;
    std::array<unsigned char, identifier_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, identifier_bytes * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return {text.data(), identifier_bytes * 2};
}

} // namespace cicadaport::base
