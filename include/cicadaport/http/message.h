// HTTP message types that are independent of the HTTP library.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaport::http {

// The types below have constructors because g++ 12 destroys temporaries of
// aggregate type twice when they are made inside a co_await expression.

// One header field.
struct field {
    field(std::string field_name, std::string field_value)
        : name{std::move(field_name)}, value{std::move(field_value)}
    {
    }

    std::string name;
    std::string value;
};

// Header fields in order; names are case-insensitive.
class field_list {
public:
    field_list() = default;
    field_list(std::initializer_list<field> fields) : m_fields{fields} {}

    // Returns the first value of `name`, if there is one.
    std::optional<std::string_view> find(std::string_view name) const noexcept;

    // Adds a field, keeping others of the same name.
    void add(std::string_view name, std::string_view value);

    // Sets `name` to `value`, replacing all its previous values.
    void set(std::string_view name, std::string_view value);

    // Removes all fields called `name` and returns their values.
    std::vector<std::string> take(std::string_view name);

    auto begin() const noexcept { return m_fields.begin(); }
    auto end() const noexcept { return m_fields.end(); }

private:
    std::vector<field> m_fields;
};

struct request {
    request() = default;
    request(std::string with_method, std::string with_target, field_list with_fields,
            std::string with_body)
        : method{std::move(with_method)}, target{std::move(with_target)},
          fields{std::move(with_fields)}, body{std::move(with_body)}
    {
    }

    std::string method;
    std::string target;
    field_list fields;
    std::string body;
};

struct response {
    response() = default;
    response(unsigned with_status, field_list with_fields, std::string with_body)
        : status{with_status}, fields{std::move(with_fields)}, body{std::move(with_body)}
    {
    }

    unsigned status = 200;
    field_list fields;
    std::string body;
};

// Status codes from RFC 9110, section 15; others are malformed.
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;

constexpr bool is_valid_status(unsigned status) noexcept
{
    return status >= first_status && status <= last_status;
}

// Returns whether a response is interim, so that the final response follows it.
constexpr bool is_interim(unsigned status) noexcept
{
    return is_valid_status(status) && status < first_final_status;
}

// Returns whether a response has neither a body nor fields that delimit one (RFC 9110,
// section 8.6).
constexpr bool is_bodiless(unsigned status) noexcept
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return is_interim(status) || status == no_content || status == not_modified;
}

// A target split into its path and its decoded query parameters.
class target_view {
public:
    // Throws std::invalid_argument if `target` is not a valid request target.
    explicit target_view(std::string_view target);

    const std::string& path() const noexcept { return m_path; }
    std::optional<std::string> parameter(std::string_view name) const;

private:
    std::string m_path;
    std::vector<field> m_parameters;
};

// Returns a response with a JSON body.
response json_response(unsigned status, std::string body);

} // namespace cicadaport::http
