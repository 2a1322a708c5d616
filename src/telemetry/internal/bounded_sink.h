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

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    // Writes the pending lines as far as that is possible without waiting.
    void flush_() override;

private:
    enum class descriptor_kind { file, socket, stream };

    static descriptor_kind kind_of(int descriptor) noexcept;
    std::string format(const spdlog::details::log_msg& message);
    bool is_writable() const noexcept;
    void add_dropped_count(const spdlog::details::log_msg& after);

    int m_descriptor;
    descriptor_kind m_kind;
    std::string m_pending;
    std::uint64_t m_dropped_count = 0;
};

} // namespace cicadaport::telemetry
