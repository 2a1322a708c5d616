#include "internal/bounded_sink.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>

#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cicadaport::telemetry {

bounded_sink::bounded_sink(int descriptor) : m_descriptor{descriptor}, m_kind{kind_of(descriptor)}
{
}

bounded_sink::descriptor_kind bounded_sink::kind_of(int descriptor) noexcept
{
    struct ::stat status {};
    if (::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode)) {
        return descriptor_kind::file;
    }
    return S_ISSOCK(status.st_mode) ? descriptor_kind::socket : descriptor_kind::stream;
}

std::string bounded_sink::format(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    return {line.data(), line.size()};
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (!m_pending.empty()) {
        flush_();
    }
    const auto line = format(message);
    if (!m_pending.empty() && m_pending.size() + line.size() > max_pending_bytes) {
        ++m_dropped_count;
        return;
    }
    add_dropped_count(message);
    m_pending += line;
    flush_();
}

void bounded_sink::add_dropped_count(const spdlog::details::log_msg& after)
{
    if (m_dropped_count == 0) {
        return;
    }
    const auto text = fmt::format("log_lines_dropped count={}", m_dropped_count);
    m_pending += format({after.time, {}, after.logger_name, spdlog::level::warn, text});
    m_dropped_count = 0;
}

bool bounded_sink::is_writable() const noexcept
{
    if (m_kind != descriptor_kind::stream) {
        return true;
    }
    ::pollfd wanted{m_descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) > 0;
}

void bounded_sink::flush_()
{
    // A writable pipe takes this much without waiting.
    constexpr std::size_t max_write_bytes = PIPE_BUF;
    std::size_t written = 0;
    while (written < m_pending.size() && is_writable()) {
        const auto* const from = m_pending.data() + written;
        const auto size = std::min(max_write_bytes, m_pending.size() - written);
        const auto count = m_kind == descriptor_kind::socket
                               ? ::send(m_descriptor, from, size, MSG_DONTWAIT | MSG_NOSIGNAL)
                               : ::write(m_descriptor, from, size);
        if (count < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN) {
                // Nobody can read the lines any more.
                written = m_pending.size();
            }
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_pending.erase(0, written);
}

} // namespace cicadaport::telemetry
