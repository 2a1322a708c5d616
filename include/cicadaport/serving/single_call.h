// One request to an endpoint or to the store, on no caller's behalf.
#pragma once

#include "cicadaport/serving/host_state.h"

namespace cicadaport::serving {

// The answer to a call; nothing if there was no whole one in time.
struct call_answer {
    unsigned status = 0;
    answer_metadata metadata;
    std::string body;
};

// Sends `request` once and calls `on_end` once, later. The connection is ended
// if there is no answer within `limit`, so that nothing arrives long after.
// Belongs to the event loop.
void call_once(host_state& host, const http::address& to, std::string request, milliseconds limit,
               std::function<void(std::optional<call_answer>)> on_end);

// Frees the memory of a prompt that was read for nothing. If that fails, the
// memory ends with its own time limit.
void release_prompt(host_state& host, const prompt_kv_cache& prompt);

} // namespace cicadaport::serving
