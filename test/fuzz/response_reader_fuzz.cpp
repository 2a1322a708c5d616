// Feeds arbitrary bytes to the reader of responses, whole and in pieces of arbitrary sizes.
#include "cicadaport/transport/message_reader.h"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace cicadaport::transport;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

struct verdict {
    bool complete = false;
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    bool operator==(const verdict&) const = default;
};

bool is_name_byte(char byte)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') || marks.find(byte) != marks.npos;
}

bool is_value_byte(char byte)
{
    const auto code = static_cast<unsigned char>(byte);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

// Reads one response and the end of its connection. The size of each piece comes from `sizes`; the
// bytes come as one piece if it is empty.
verdict read(std::string_view sizes, std::string_view bytes, const message_limits& limits)
{
    message_reader reader{message_kind::response, limits};
    verdict out;
    std::string input;
    for (std::size_t step = 0; !bytes.empty() && !reader.complete(); ++step) {
        const auto size = sizes.empty()
                              ? bytes.size()
                              : 1 + static_cast<unsigned char>(sizes[step % sizes.size()]);
        input += bytes.substr(0, size);
        bytes.remove_prefix(std::min(size, bytes.size()));
        std::size_t used = 0;
        do {
            used = reader.feed(input);
            require(used <= input.size());
            input.erase(0, used);
            out.body += reader.take_body();
        } while (used > 0 && !input.empty() && !reader.complete() &&
                 reader.problem() == parse_problem::none);
        if (reader.problem() != parse_problem::none) {
            break;
        }
    }
    if (reader.problem() == parse_problem::none) {
        reader.feed_end();
    }
    require(out.body.size() <= limits.body_bytes);
    out.complete = reader.complete() && reader.problem() == parse_problem::none;
    if (!out.complete) {
        return {};
    }
    out.status = reader.head().status;
    require(out.status >= 100 && out.status <= 599);
    for (const auto& each : reader.head().fields) {
        require(!each.name.empty() &&
                std::all_of(each.name.begin(), each.name.end(), is_name_byte));
        require(std::all_of(each.value.begin(), each.value.end(), is_value_byte));
        out.fields.emplace_back(each.name, each.value);
    }
    return out;
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
    // Inputs that may exceed a limit are judged as far as they have come when they do.
    // Most inputs begin with a status line, so that what follows is read as fields.
    constexpr unsigned beginnings = 4;
    std::string bytes;
    if (data[0] % beginnings != 0) {
        bytes = "HTTP/1.1 ";
        for (std::size_t digit = 1; digit < size_count; ++digit) {
            bytes += static_cast<char>('0' + data[digit] % 10);
        }
        bytes += " X\r\n";
    }
    bytes += all.substr(size_count);
    bytes += "\r\n\r\n";
    const auto divided = read(all.substr(0, size_count), bytes, limits);
    const auto whole = read({}, bytes, limits);
    require(bytes.size() > limits.head_bytes || divided == whole);
    return 0;
}
