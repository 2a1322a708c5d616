#include "cicadaport/transport/timer_queue.h"

#include "cicadaport/telemetry/exception_log.h"

namespace cicadaport::transport {

// Maximum delay of the timer after a suspension of the host, during which the steady
// clock, and with it the timer, stands still.
constexpr std::chrono::milliseconds max_timer_wait{250};

timer_queue::timer_queue(boost::asio::io_context& context) : m_timer{context} {}

timer_queue::handle::handle(handle&& other) noexcept
    : m_queue{std::exchange(other.m_queue, nullptr)}, m_id{other.m_id}
{
}

timer_queue::handle& timer_queue::handle::operator=(handle&& other) noexcept
{
    if (this != &other) {
        cancel();
        m_queue = std::exchange(other.m_queue, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

void timer_queue::handle::cancel() noexcept
{
    if (m_queue != nullptr) {
        std::exchange(m_queue, nullptr)->cancel(m_id);
    }
}

bool timer_queue::handle::is_set() const noexcept
{
    return m_queue != nullptr && m_queue->m_by_id.contains(m_id);
}

timer_queue::handle timer_queue::call_at(time_point when, std::function<void()> action)
{
    const auto id = ++m_last_id;
    m_by_id[id] = m_entries.emplace(when, entry{id, std::move(action)});
    arm();
    return handle{*this, id};
}

void timer_queue::cancel(std::uint64_t id) noexcept
{
    const auto found = m_by_id.find(id);
    if (found != m_by_id.end()) {
        m_entries.erase(found->second);
        m_by_id.erase(found);
    }
}

void timer_queue::arm()
{
    if (m_entries.empty()) {
        return;
    }
    const auto at = now();
    const auto first = std::max(m_entries.begin()->first, at + resolution);
    const auto when = std::min(first, at + max_timer_wait);
    if (m_armed_for && *m_armed_for <= when + resolution) {
        return;
    }
    // Stays empty if the wait can't be started, so that the next call tries it again.
    m_armed_for.reset();
    m_timer.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(when - at));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            fire();
        }
    });
    m_armed_for = when;
}

void timer_queue::fire()
{
    m_armed_for.reset();
    while (!m_entries.empty()) {
        const auto first = m_entries.begin();
        const auto lateness = now() - first->first;
        if (lateness < clock::duration::zero()) {
            break;
        }
        m_max_lateness = std::max(m_max_lateness, lateness);
        const auto due = std::move(first->second);
        m_by_id.erase(due.id);
        m_entries.erase(first);
        try {
            due.action();
        }
        catch (...) {
            telemetry::log_exception("timer");
        }
    }
    arm();
}

} // namespace cicadaport::transport
