#include "cicadaport/transport/message_reader.h"

#include <boost/beast/http.hpp>

namespace cicadaport::transport {
namespace beast = boost::beast;
using error_code = beast::error_code;

class message_reader::implementation {
public:
    virtual ~implementation() = default;
    virtual std::size_t feed(std::string_view bytes) = 0;
    virtual void feed_end() = 0;
    virtual bool complete() const noexcept = 0;
    virtual bool ends_with_connection() const noexcept = 0;
    virtual bool keeps_connection() const noexcept = 0;

    message_head head;
    std::string body;
    bool head_complete = false;
    std::uint32_t max_lines = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t lines = 0;
    parse_problem problem = parse_problem::none;
};

namespace {

parse_problem problem_of(const error_code& error)
{
    if (error == beast::http::error::header_limit) {
        return parse_problem::head_too_large;
    }
    if (error == beast::http::error::body_limit) {
        return parse_problem::body_too_large;
    }
    return parse_problem::malformed;
}

// Collects the head and the body reported by the HTTP library's parser.
template <bool IsRequest>
class message_collector : public beast::http::basic_parser<IsRequest> {
public:
    explicit message_collector(message_reader::implementation& into) : m_into{into} {}

private:
    using verb = beast::http::verb;
    using known_field = beast::http::field;

    void on_request_impl(verb, beast::string_view method, beast::string_view target, int,
                         error_code&) override
    {
        m_into.head.method = std::string{method};
        m_into.head.target = std::string{target};
    }

    void on_response_impl(int code, beast::string_view, int, error_code& error) override
    {
        if (!http::is_valid_status(static_cast<unsigned>(code))) {
            error = beast::http::error::bad_status;
            return;
        }
        m_into.head.status = static_cast<unsigned>(code);
    }

    void on_field_impl(known_field, beast::string_view name, beast::string_view value,
                       error_code& error) override
    {
        // Trailer fields after the last chunk are not part of the head.
        if (m_into.head_complete) {
            return;
        }
        if (beast::iequals(name, "Transfer-Encoding") && !beast::iequals(value, "chunked")) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        if (++m_into.lines > m_into.max_lines) {
            m_into.problem = parse_problem::too_many_lines;
            error = beast::http::error::header_limit;
            return;
        }
        m_into.head.memory_bytes += sizeof(http::field) + name.size() + value.size();
        m_into.head.fields.add(std::string_view{name}, std::string_view{value});
    }

    void on_header_impl(error_code&) override { m_into.head_complete = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}

    std::size_t on_body_impl(beast::string_view piece, error_code&) override
    {
        m_into.body += std::string_view{piece};
        return piece.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view piece, error_code&) override
    {
        m_into.body += std::string_view{piece};
        return piece.size();
    }

    void on_finish_impl(error_code&) override {}

    message_reader::implementation& m_into;
};

template <bool IsRequest>
class parsing final : public message_reader::implementation {
public:
    explicit parsing(const message_limits& limits)
        : m_parser{*this}, m_max_framing_bytes{limits.head_bytes}
    {
        m_parser.header_limit(limits.head_bytes);
        m_parser.body_limit(limits.body_bytes);
        m_parser.eager(true);
        max_lines = limits.head_lines;
    }

    std::size_t feed(std::string_view bytes) override
    {
        std::size_t used = 0;
        while (used < bytes.size() && !m_parser.is_done() && problem == parse_problem::none) {
            error_code error;
            const auto count =
                m_parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
            used += count;
            if (error == beast::http::error::need_more) {
                break;
            }
            if (error && problem == parse_problem::none) {
                problem = problem_of(error);
            }
            if (count == 0) {
                break;
            }
        }
        // The library bounds neither the extensions of a chunk nor the trailer, which it parses
        // only once they are whole.
        if (!m_parser.is_done() && problem == parse_problem::none &&
            bytes.size() - used > m_max_framing_bytes) {
            problem = parse_problem::head_too_large;
        }
        return used;
    }

    void feed_end() override
    {
        if (m_parser.is_done()) {
            return;
        }
        error_code error;
        if (m_parser.got_some()) {
            m_parser.put_eof(error);
        }
        if (error || !m_parser.is_done()) {
            problem = parse_problem::malformed;
        }
    }

    bool complete() const noexcept override { return m_parser.is_done(); }
    bool ends_with_connection() const noexcept override
    {
        return m_parser.is_header_done() && m_parser.need_eof();
    }
    bool keeps_connection() const noexcept override { return m_parser.keep_alive(); }

private:
    message_collector<IsRequest> m_parser;
    std::size_t m_max_framing_bytes;
};

std::unique_ptr<message_reader::implementation> make_parsing(message_kind kind,
                                                             const message_limits& limits)
{
    if (kind == message_kind::request) {
        return std::make_unique<parsing<true>>(limits);
    }
    return std::make_unique<parsing<false>>(limits);
}

} // namespace

message_reader::message_reader(message_kind kind, message_limits limits)
    : m_impl{make_parsing(kind, limits)}
{
}

message_reader::~message_reader() = default;
message_reader::message_reader(message_reader&&) noexcept = default;
message_reader& message_reader::operator=(message_reader&&) noexcept = default;

std::size_t message_reader::feed(std::string_view bytes)
{
    return m_impl->feed(bytes);
}

void message_reader::feed_end()
{
    m_impl->feed_end();
}

bool message_reader::head_complete() const noexcept
{
    return m_impl->head_complete;
}

bool message_reader::complete() const noexcept
{
    return m_impl->complete();
}

parse_problem message_reader::problem() const noexcept
{
    return m_impl->problem;
}

message_head& message_reader::head() noexcept
{
    return m_impl->head;
}

std::string message_reader::take_body() noexcept
{
    return std::exchange(m_impl->body, {});
}

bool message_reader::ends_with_connection() const noexcept
{
    return m_impl->ends_with_connection();
}

bool message_reader::keeps_connection() const noexcept
{
    return m_impl->keeps_connection();
}

} // namespace cicadaport::transport
