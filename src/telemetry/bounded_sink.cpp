#include "internal/bounded_sink.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace cicadaport::telemetry {

bounded_sink::bounded_sink(int descriptor) : m_descriptor{descriptor}
{
    choose_mode();
}

bounded_sink::~bounded_sink()
{
    if (m_is_own) {
        ::close(m_descriptor);
    }
}

void bounded_sink::choose_mode() noexcept
{
    struct ::stat status {};
    if (::fstat(m_descriptor, &status) != 0) {
        return;
    }
    if (S_ISREG(status.st_mode)) {
        m_mode = write_mode::as_it_is;
    }
    else if (S_ISSOCK(status.st_mode)) {
        m_mode = write_mode::per_call;
    }
    else if (S_ISFIFO(status.st_mode) || S_ISCHR(status.st_mode)) {
        // Other processes may share the open file description, so it must not be changed.
        const auto path = fmt::format("/proc/self/fd/{}", m_descriptor);
        const int own = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
        if (own >= 0) {
            m_descriptor = own;
            m_is_own = true;
            m_mode = write_mode::as_it_is;
        }
    }
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
    if (m_mode != write_mode::polled) {
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
        const auto count = m_mode == write_mode::per_call
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
