// Single requests to an endpoint or to the store that a host makes itself, not for a caller.
#pragma once

#include "cicadaport/serving/host_state.h"

namespace cicadaport::serving {

// The response to a call. Callbacks get none if it was not complete in time.
struct call_response {
    unsigned status = 0;
    answer_metadata metadata;
    // What the answer states about the store's history; meaningful for calls to the store only.
    history::epoch_statement epoch;
    std::string body;
};

// Sends `request` once, without retries, and calls `on_end` exactly once, asynchronously. If there
// is no response within `limit`, the connection is closed, so that nothing is delivered long
// afterwards. To be called on the event loop's thread.
void call_once(host_state& host, const http::address& to, std::string request, milliseconds limit,
               std::function<void(std::optional<call_response>)> on_end);

// The same, but nothing is sent at `send_deadline` or later, however long the process is suspended.
// The deadline must not have passed yet.
void call_once_before(host_state& host, const http::address& to, std::string request,
                      time_point send_deadline, milliseconds limit,
                      std::function<void(std::optional<call_response>)> on_end);

// The same for a response that may be large: the call ends without one if it stalls for
// `stall_timeout`, however long it takes as a whole.
void call_for_large_response(host_state& host, const http::address& to, std::string request,
                             milliseconds stall_timeout,
                             std::function<void(std::optional<call_response>)> on_end);

// Releases the KV cache entries of a prompt whose prefill is no longer needed. If the call fails,
// the engine releases the entries when their own time limit expires.
void release_kv_cache(host_state& host, const prompt_kv_cache& prompt);

} // namespace cicadaport::serving
