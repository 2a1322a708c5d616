// The caller's end of one request.
#pragma once

#include "cicadaport/http/message.h"

#include <string_view>

namespace cicadaport::serving {

// Writes the answer to one request. Belongs to the event loop; no member does
// anything after the answer has ended or the caller has left.
class caller_port {
public:
    virtual ~caller_port() = default;

    // Sends a whole answer.
    virtual void answer(unsigned status, const http::field_list& fields, std::string_view body) = 0;

    // Sends an answer's head; pieces of its body follow.
    virtual void begin(unsigned status, const http::field_list& fields) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;

    // Ends an answer that has begun so that it does not look complete.
    virtual void cut() = 0;

    // Bytes that the caller has not taken yet.
    virtual std::size_t unsent() const = 0;
};

} // namespace cicadaport::serving
