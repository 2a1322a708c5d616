// Interface through which a request is answered.
#pragma once

#include "cicadaport/http/message.h"

#include <string_view>

namespace cicadaport::serving {

// Writes the answer to one request. Not thread safe: used on the event loop only. Calls
// after the answer has ended or the caller has disconnected have no effect.
class caller_port {
public:
    virtual ~caller_port() = default;

    // Sends a complete answer.
    virtual void answer(unsigned status, const http::field_list& fields, std::string_view body) = 0;

    // Sends the head of a streamed answer. write() then sends pieces of its body, and
    // finish() ends it.
    virtual void begin(unsigned status, const http::field_list& fields) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;

    // Closes the connection once the answer that follows has been sent. For a request that can't be
    // used: what its caller sends next is unlikely to be better.
    virtual void close_after_answer() = 0;

    // Aborts an answer that has begun, so that the caller sees that it is incomplete.
    virtual void cut() = 0;

    // Returns the number of bytes that are buffered and not yet written to the caller.
    virtual std::size_t unsent() const = 0;
};

} // namespace cicadaport::serving
