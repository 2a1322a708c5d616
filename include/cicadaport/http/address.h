// The network address on which a process listens.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadaport::http {

// An IP address and a port; host names are not resolved.
struct address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

// Returns "ip:port".
std::string to_string(const address& value);

// Parses "ip:port"; throws std::invalid_argument if `text` has another form.
address parse_address(std::string_view text);

} // namespace cicadaport::http
