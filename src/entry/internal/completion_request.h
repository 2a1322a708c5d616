// What the body of a completion says about how to answer it.
#pragma once

#include <string>

namespace cicadaport::entry {

struct completion_request {
    std::string model;
    bool streamed = false;
};

// Parses a body; throws `request_failure` if it is not a completion.
completion_request parse_completion(const std::string& body);

} // namespace cicadaport::entry
