// What came back for one request, and whether it is whole.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cicadaport::scenario {

// The answer to one request as the caller saw it.
struct answer {
    // 0: no response at all.
    std::uint32_t status = 0;
    std::string verdict;
    std::string body;
    // Why the response ended before its end; empty if it did not.
    std::string cut;
};

// Returns what is missing from a stream of server-sent events that should
// carry the tokens 1 to `tokens`, once each and in order as their ids count
// them, and then the final event; empty if nothing is.
std::string missing_from_stream(std::string_view body, std::uint32_t tokens);

// Returns what is wrong with `got` as the whole answer to a completion
// (`tokens` > 0) or to a plain request; empty if nothing is.
std::string missing_from(const answer& got, std::uint32_t tokens, bool streamed);

// Returns the verdict as the caller knows it at the end: a stream begins with
// `may_have_run` and has run once it is whole; all else says it in its head.
// The view is of `got` or static.
std::string_view verdict_of(const answer& got, std::uint32_t tokens, bool streamed);

} // namespace cicadaport::scenario
