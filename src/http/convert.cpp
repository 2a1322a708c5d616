#include "internal/convert.h"

namespace cicadaport::http::internal {
namespace wire = boost::beast::http;
namespace {

constexpr unsigned http_1_1 = 11;

template <typename Message>
void copy_fields(const field_list& fields, Message& message)
{
    for (const auto& each : fields) {
        if (!is_framing_field(each.name)) {
            message.insert(each.name, each.value);
        }
    }
}

} // namespace

bool is_framing_field(std::string_view name) noexcept
{
    const auto known = wire::string_to_field(name);
    return known == wire::field::content_length || known == wire::field::transfer_encoding ||
           known == wire::field::connection || known == wire::field::host ||
           known == wire::field::keep_alive || known == wire::field::te ||
           known == wire::field::upgrade || known == wire::field::trailer;
}

wire::response<wire::string_body> to_beast(response message, bool keep_alive)
{
    wire::response<wire::string_body> out;
    out.version(http_1_1);
    out.result(message.status);
    copy_fields(message.fields, out);
    out.keep_alive(keep_alive);
    if (!is_bodiless(message.status)) {
        out.body() = std::move(message.body);
        out.prepare_payload();
    }
    return out;
}

wire::response<wire::empty_body> to_beast_head(const response& head, bool keep_alive)
{
    wire::response<wire::empty_body> out;
    out.version(http_1_1);
    out.result(head.status);
    copy_fields(head.fields, out);
    out.keep_alive(keep_alive);
    out.chunked(!is_bodiless(head.status));
    return out;
}

wire::request<wire::string_body> to_beast(request message, const std::string& host)
{
    wire::request<wire::string_body> out;
    out.version(http_1_1);
    out.method_string(message.method);
    out.target(message.target);
    copy_fields(message.fields, out);
    out.set(wire::field::host, host);
    out.body() = std::move(message.body);
    out.prepare_payload();
    return out;
}

request from_beast(wire::request<wire::string_body> message)
{
    request out;
    out.method = message.method_string();
    out.target = message.target();
    for (const auto& each : message) {
        out.fields.add(each.name_string(), each.value());
    }
    out.body = std::move(message.body());
    return out;
}

response head_from_beast(const wire::response_header<>& header)
{
    response out;
    out.status = header.result_int();
    for (const auto& each : header) {
        if (!is_framing_field(each.name_string())) {
            out.fields.add(each.name_string(), each.value());
        }
    }
    return out;
}

} // namespace cicadaport::http::internal
