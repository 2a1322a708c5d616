// The identity, priority and deadline of a request, read before it is sent to any endpoint.
#pragma once

#include "cicadaport/http/message.h"
#include "cicadaport/routing/view.h"

#include <chrono>
#include <string>

namespace cicadaport::entry {

// Request field with the client's deadline in milliseconds, counted from the request's arrival.
constexpr std::string_view deadline_field = "Cicadaport-Deadline-Ms";

struct request_context {
    std::string id;
    std::string account;
    std::string priority;
    std::chrono::steady_clock::time_point arrived;
    // No attempt begins after this time.
    std::chrono::steady_clock::time_point deadline;
};

// Returns the context of `message`, which arrived at `now`. Throws
// `request_failure` if `view` has no configuration yet or no caller with the
// request's API key, or if the request id or the deadline field is invalid.
// Thread safety: any thread.
request_context identify(const http::request& message, const routing::view& view,
                         std::chrono::steady_clock::time_point now);

// Returns the fields of `message` that are forwarded to an endpoint, and `id`
// as the request id. The API key is never forwarded.
http::field_list forwarded_fields(const http::request& message, const std::string& id);

} // namespace cicadaport::entry
