// A log sink that never waits for the reader of the log.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace cicadaport::telemetry {

// Writes lines to a descriptor while it accepts them at once, and keeps up to
// `max_pending_bytes` of them otherwise. Lines beyond that are dropped; a line with their
// number follows once there is room again.
//
// spdlog's asynchronous logger bounds its queue too, but its thread waits in write() for
// a reader that has stopped, and the end of the process then waits for the thread.
//
// Thread safe.
class bounded_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    static constexpr std::size_t max_pending_bytes = 64 * 1024;

    // `descriptor` must stay open as long as the sink; the sink does not close it.
    explicit bounded_sink(int descriptor);
    ~bounded_sink() override;
    bounded_sink(const bounded_sink&) = delete;
    bounded_sink& operator=(const bounded_sink&) = delete;

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    // Writes the pending lines as far as that is possible without waiting.
    void flush_() override;

private:
    // How a write is kept from waiting.
    enum class write_mode {
        // The descriptor is not blocking. Files are written at once anyway.
        as_it_is,
        // Each call asks for it.
        per_call,
        // The descriptor is asked first whether it takes bytes.
        polled,
    };

    void choose_mode() noexcept;
    std::string format(const spdlog::details::log_msg& message);
    bool is_writable() const noexcept;
    void add_dropped_count(const spdlog::details::log_msg& after);

    int m_descriptor;
    write_mode m_mode = write_mode::polled;
    // Whether the sink has opened the descriptor itself.
    bool m_is_own = false;
    std::string m_pending;
    std::uint64_t m_dropped_count = 0;
};

} // namespace cicadaport::telemetry
