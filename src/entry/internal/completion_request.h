// The parts of a completion request body that the entry process reads.
#pragma once

#include <string>

namespace cicadaport::entry {

struct completion_request {
    std::string model;
    bool streamed = false;
};

// Parses a request body. Throws `request_failure` if the body is not a JSON
// object with a string `model`, or if `stream` is not a boolean.
completion_request parse_completion(const std::string& body);

} // namespace cicadaport::entry
