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
// carry the tokens 0 to `tokens` - 1, once each and in order, and then the
// final event; empty if nothing is.
std::string missing_from_stream(std::string_view body, std::uint32_t tokens);

// Returns what is wrong with `got` as the whole answer to a completion
// (`tokens` > 0) or to a plain request; empty if nothing is.
std::string missing_from(const answer& got, std::uint32_t tokens, bool streamed);

} // namespace cicadaport::scenario
