// What is known of a request before it is sent anywhere.
#pragma once

#include "cicadaport/http/message.h"
#include "cicadaport/routing/view.h"

#include <chrono>
#include <string>

namespace cicadaport::entry {

// Asks for an answer within so many milliseconds of the request's arrival.
constexpr std::string_view deadline_field = "Cicadaport-Deadline-Ms";

struct request_context {
    std::string id;
    std::string account;
    std::string priority;
    std::chrono::steady_clock::time_point arrived;
    // No try begins after this time.
    std::chrono::steady_clock::time_point deadline;
};

// Returns the context of `message`, which arrived at `now`. Throws
// `request_failure` if no caller of `view` has the request's API key, or if
// its fields make no sense. Thread safety: any thread.
request_context identify(const http::request& message, const routing::view& view,
                         std::chrono::steady_clock::time_point now);

// Copies the fields of a caller that an endpoint should see; never the key.
http::field_list forwarded_fields(const http::request& message, const std::string& id);

} // namespace cicadaport::entry
