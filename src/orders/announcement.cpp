#include "cicadaport/orders/announcement.h"

#include "cicadaport/history/fencing_token.h"

#include <charconv>

namespace cicadaport::orders {

std::string to_value(const announcement& from)
{
    return from.token ? from.stage + ' ' + std::to_string(*from.token) + ' ' + from.holder
                      : from.stage;
}

announcement parse_announcement(std::string_view value)
{
    const auto first = value.find(' ');
    if (first == std::string_view::npos) {
        return {std::string{value}, std::nullopt, {}};
    }
    const auto rest = value.substr(first + 1);
    std::uint64_t token = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), token);
    const auto length = static_cast<std::size_t>(end - rest.data());
    if (error != std::errc{} || token == 0 || token > history::max_fencing_token ||
        length == rest.size() || rest[length] != ' ') {
        return {std::string{value}, std::nullopt, {}};
    }
    return {std::string{value.substr(0, first)}, token, std::string{rest.substr(length + 1)}};
}

} // namespace cicadaport::orders
