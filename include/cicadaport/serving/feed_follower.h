// Follows one of the platform's lists: the newest of each key first, then what
// is added.
//
// The list lies in the platform's log. When records that were not read have
// expired, the follower begins anew. Any trouble is met with another try, after
// a pause that grows; what was read stays in force meanwhile.
//
// Belongs to one event loop.
#pragma once

#include "cicadaport/serving/host_state.h"

#include <functional>

namespace cicadaport::serving {

class feed_follower final : public transport::answer_observer {
public:
    struct pace {
        // How long the store may hold back an answer while nothing is new.
        milliseconds wait{2'000};
        // From the begin of one call to that of the next, at least.
        milliseconds interval{0};
    };

    // What the owner is told.
    struct callbacks {
        // The whole list, as of its beginning or after records were lost.
        std::function<void(const std::vector<feed_entry>&)> on_whole;
        std::function<void(const std::vector<feed_entry>&)> on_added;
    };

    feed_follower(host_state& host, http::address store, feed which, pace timing,
                  callbacks actions);
    ~feed_follower() override;

    void start() { ask(); }

    // Whether the whole list has been read once.
    bool has_read() const noexcept { return m_has_read; }

private:
    bool owns(const transport::message_head&) override { return true; }
    void on_head(transport::message_head head) override { m_status = head.status; }
    void on_body(std::string_view piece) override { m_body += piece; }
    void on_complete() override;
    void on_failure(transport::exchange_failure failure) override;

    void ask();
    void ask_again_after(milliseconds pause);
    void take_newest();
    void take_records();
    void failed(std::string_view reason);

    host_state& m_host;
    http::address m_store;
    feed m_which;
    pace m_pace;
    callbacks m_actions;
    std::shared_ptr<transport::exchange_connection> m_connection;
    transport::timer_queue::handle m_limit;
    transport::timer_queue::handle m_next;
    time_point m_asked{};
    unsigned m_status = 0;
    std::string m_body;
    // Whether it reads the newest of each key.
    bool m_beginning = true;
    std::vector<feed_entry> m_whole;
    std::optional<std::uint64_t> m_follow_from;
    std::uint64_t m_offset = 0;
    unsigned m_failures = 0;
    bool m_has_read = false;
};

} // namespace cicadaport::serving
