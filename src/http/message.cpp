#include "cicadaport/http/message.h"

#include <boost/url.hpp>

namespace cicadaport::http {

std::optional<std::string_view> field_list::find(std::string_view name) const noexcept
{
    for (const auto& each : m_fields) {
        if (boost::beast::iequals(each.name, name)) {
            return each.value;
        }
    }
    return std::nullopt;
}

void field_list::add(std::string_view name, std::string_view value)
{
    m_fields.emplace_back(std::string{name}, std::string{value});
}

void field_list::set(std::string_view name, std::string_view value)
{
    std::erase_if(m_fields,
                  [&](const field& each) { return boost::beast::iequals(each.name, name); });
    add(name, value);
}

std::vector<std::string> field_list::take(std::string_view name)
{
    std::vector<std::string> out;
    std::erase_if(m_fields, [&](field& each) {
        const bool taken = boost::beast::iequals(each.name, name);
        if (taken) {
            out.push_back(std::move(each.value));
        }
        return taken;
    });
    return out;
}

target_view::target_view(std::string_view target)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        throw std::invalid_argument{"not a request target"};
    }
    m_path = parsed->encoded_path();
    for (const auto& parameter : parsed->params()) {
        m_parameters.emplace_back(parameter.key, parameter.value);
    }
}

std::optional<std::string> target_view::parameter(std::string_view name) const
{
    for (const auto& each : m_parameters) {
        if (each.name == name) {
            return each.value;
        }
    }
    return std::nullopt;
}

response json_response(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace cicadaport::http
