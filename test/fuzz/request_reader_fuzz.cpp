// Feeds arbitrary bytes, in pieces of arbitrary sizes, to the reader of requests.
#include "cicadaport/transport/message_reader.h"

#include <cstdlib>

namespace {

using namespace cicadaport::transport;

constexpr std::size_t max_steps = 10'000;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

// Reads the messages of a whole connection. The size of each piece comes from `sizes`.
void read_all(std::string_view sizes, std::string_view bytes, const message_limits& limits)
{
    message_reader reader{message_kind::request, limits};
    std::string input;
    std::size_t body_bytes = 0;
    std::size_t steps = 0;
    while (steps < max_steps && reader.problem() == parse_problem::none) {
        const auto size = sizes.empty()
                              ? std::size_t{1}
                              : 1 + static_cast<unsigned char>(sizes[steps % sizes.size()]);
        ++steps;
        const auto piece = bytes.substr(0, size);
        bytes.remove_prefix(piece.size());
        input += piece;
        const auto used = reader.feed(input);
        require(used <= input.size());
        input.erase(0, used);
        body_bytes += reader.take_body().size();
        require(body_bytes <= limits.body_bytes);
        if (reader.complete()) {
            require(reader.head_complete());
            static_cast<void>(reader.keeps_connection());
            static_cast<void>(reader.head().fields.find("Host"));
            reader = message_reader{message_kind::request, limits};
            body_bytes = 0;
        }
        else if (reader.problem() == parse_problem::none) {
            // What is left unread is bounded, whatever is sent.
            require(input.size() <= limits.head_bytes);
        }
        if (piece.empty() && used == 0) {
            break;
        }
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer asks for this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    constexpr std::size_t size_count = 4;
    if (size < size_count) {
        return 0;
    }
    const std::string_view all{reinterpret_cast<const char*>(data), size};
    message_limits limits;
    limits.head_bytes = 512;
    limits.body_bytes = 1'024;
    read_all(all.substr(0, size_count), all.substr(size_count), limits);
    return 0;
}
