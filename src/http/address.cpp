#include "cicadaport/http/address.h"

#include <charconv>

namespace cicadaport::http {

std::string to_string(const address& value)
{
    return value.ip + ":" + std::to_string(value.port);
}

address parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    address out;
    // The IP parser ignores what follows a null character.
    if (colon != std::string_view::npos && text.find('\0') == std::string_view::npos) {
        const auto digits = text.substr(colon + 1);
        const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
        boost::system::error_code bad_ip;
        out.ip = text.substr(0, colon);
        boost::asio::ip::make_address(out.ip, bad_ip);
        if (error == std::errc{} && end == digits.data() + digits.size() && !bad_ip) {
            return out;
        }
    }
    throw std::invalid_argument{"'" + std::string{text} + "' is not IP:PORT"};
}

} // namespace cicadaport::http
