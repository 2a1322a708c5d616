#include "cicadaport/serving/feed_follower.h"

#include <spdlog/spdlog.h>

namespace cicadaport::serving {
namespace {

// A call that is not answered so long after it could have been is lost; the
// store answers within milliseconds, and within a quarter of a second when it
// is slow.
constexpr milliseconds answer_time{900};
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};
constexpr unsigned most_doublings = 3;

std::string_view to_string(feed which)
{
    return which == feed::configuration ? "configuration" : "endpoints";
}

} // namespace

feed_follower::feed_follower(host_state& host, http::address store, feed which, pace timing,
                             callbacks actions)
    : m_host{host}, m_store{std::move(store)}, m_which{which}, m_pace{timing}, m_actions{std::move(
                                                                                   actions)}
{
}

feed_follower::~feed_follower()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
    }
}

void feed_follower::ask()
{
    m_asked = m_host.timers.now();
    m_body.clear();
    const auto request =
        m_beginning ? m_host.wire.newest_request(m_which, m_whole.empty() ? std::string{}
                                                                          : m_whole.back().key)
                    : m_host.wire.read_request(m_which, m_offset, m_pace.wait);
    const auto limit = answer_time + (m_beginning ? milliseconds{0} : m_pace.wait);
    m_limit = m_host.timers.call_at(m_asked + limit, [this] {
        m_connection->abandon();
        failed("no answer in time");
    });
    if (m_connection == nullptr || !m_connection->is_reusable()) {
        // Whole pages of a large list fit.
        constexpr std::uint64_t most_bytes = 16ULL * 1024 * 1024;
        transport::message_limits limits;
        limits.body_bytes = most_bytes;
        m_connection =
            std::make_shared<transport::exchange_connection>(m_host.context, m_host.timers, limits);
        transport::exchange_connection::times times;
        times.connect = answer_time;
        times.socket.peer_silence = m_pace.wait + answer_time;
        m_connection->connect(m_store, times);
    }
    m_connection->send(request, *this);
}

void feed_follower::on_complete()
{
    m_limit.cancel();
    try {
        if (m_beginning) {
            take_newest();
        }
        else {
            take_records();
        }
    }
    catch (const store_error& error) {
        if (error.what_kind() == store_error::kind::expired) {
            spdlog::info("feed_begins_anew feed={} reason=\"{}\"", to_string(m_which),
                         error.what());
            m_beginning = true;
            m_whole.clear();
            m_follow_from.reset();
            ask_again_after(first_pause);
            return;
        }
        failed(error.what());
    }
}

void feed_follower::take_newest()
{
    auto page = m_host.wire.read_newest(m_status, m_body);
    m_failures = 0;
    // Pages are no snapshot: what changes between them is read from the offset
    // that the first one gave.
    if (!m_follow_from) {
        m_follow_from = page.next_offset;
    }
    const bool more = page.more && !page.entries.empty();
    std::move(page.entries.begin(), page.entries.end(), std::back_inserter(m_whole));
    if (more) {
        ask_again_after(milliseconds{0});
        return;
    }
    m_offset = *std::exchange(m_follow_from, std::nullopt);
    m_beginning = false;
    m_has_read = true;
    m_actions.on_whole(std::exchange(m_whole, {}));
    ask_again_after(m_pace.interval);
}

void feed_follower::take_records()
{
    const auto page = m_host.wire.read_records(m_status, m_body, m_offset);
    m_failures = 0;
    m_offset = page.next_offset;
    if (!page.entries.empty()) {
        m_actions.on_added(page.entries);
    }
    const auto since = std::chrono::duration_cast<milliseconds>(m_host.timers.now() - m_asked);
    ask_again_after(std::max(m_pace.interval - since, milliseconds{0}));
}

void feed_follower::ask_again_after(milliseconds pause)
{
    m_next = m_host.timers.call_at(m_host.timers.now() + pause, [this] { ask(); });
}

void feed_follower::on_failure(transport::exchange_failure)
{
    m_limit.cancel();
    failed("the connection to the store broke");
}

void feed_follower::failed(std::string_view reason)
{
    if (m_failures == 0) {
        spdlog::warn("feed_interrupted feed={} reason=\"{}\"", to_string(m_which), reason);
    }
    // A host that has read nothing yet serves nobody.
    const auto pause =
        m_has_read
            ? std::min(first_pause * (1U << std::min(m_failures, most_doublings)), longest_pause)
            : first_pause;
    ++m_failures;
    // Hosts that lost the store together don't come back together.
    const auto spread =
        std::uniform_int_distribution<std::int64_t>{0, pause.count()}(m_host.random);
    ask_again_after(pause + milliseconds{spread});
}

} // namespace cicadaport::serving
