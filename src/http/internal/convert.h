// Converts between the project's messages and those of the HTTP library.
#pragma once

#include "cicadaport/http/message.h"

#include <boost/beast/http.hpp>

namespace cicadaport::http::internal {

// Returns whether the HTTP library writes this field itself.
bool is_framing_field(std::string_view name) noexcept;

boost::beast::http::response<boost::beast::http::string_body> to_beast(response message,
                                                                       bool keep_alive);
boost::beast::http::response<boost::beast::http::empty_body> to_beast_head(const response& head,
                                                                           bool keep_alive);
boost::beast::http::request<boost::beast::http::string_body> to_beast(request message,
                                                                      const std::string& host);
request from_beast(boost::beast::http::request<boost::beast::http::string_body> message);

// Copies the status and the fields of a received response.
response head_from_beast(const boost::beast::http::response_header<>& header);

} // namespace cicadaport::http::internal
