// Cryptographic digests, for API keys and request bodies.
#pragma once

#include <string>
#include <string_view>

namespace cicadaport::base {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
// Thread safety: any thread.
std::string sha256_hex(std::string_view data);

} // namespace cicadaport::base
