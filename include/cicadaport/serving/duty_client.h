// Makes calls to the platform's interface for duties under the authority over their subjects.
//
// A call is recorded in the store before it is made, and is made only under a permit of the
// subject's authority. A call without an answer is repeated while its permit lasts. When the store
// has returned from an older copy of its data, all authorities begin a new history.
//
// Runs on the event loop. Must outlive the loop.
#pragma once

#include "cicadaport/duties/subject_authority.h"
#include "cicadaport/serving/duty_settings.h"
#include "cicadaport/serving/host_state.h"
#include "cicadaport/serving/single_call.h"

#include <functional>
#include <map>

namespace cicadaport::serving {

struct duty_request {
    std::string subject;
    duty_kind kind = duty_kind::usage_report;
    // The body of the call; it is also the content of the record.
    std::string body;
    // The request ends without a call if there is no permit by then.
    time_point give_up_at{};
    // Returns whether the record may replace the newest one of the subject, which is empty if there
    // is none. If it returns false, the request ends without a call. Optional.
    std::function<bool(const std::optional<duties::duty_record>&)> may_replace{};
};

struct duty_outcome {
    enum class result {
        // Nothing was sent.
        not_permitted,
        // The call was sent and may have arrived.
        unanswered,
        answered,
    };

    result what = result::not_permitted;
    unsigned status = 0;
    std::uint64_t fencing_token = 0;
    // Offset of the record under which the last call was made; empty if the store has returned
    // since then.
    std::optional<std::uint64_t> record;
};

// Calls and their outcomes, for logs.
struct duty_counts {
    std::uint64_t calls = 0;
    std::uint64_t accepted = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t refused = 0;
    std::uint64_t not_permitted = 0;
    // Calls to the store.
    std::uint64_t reads = 0;
    std::uint64_t appends = 0;
};

class duty_client {
public:
    static constexpr milliseconds store_timeout{500};
    // A call without an answer for this long is given up and its connection reset, so that its
    // bytes do not arrive after the permit.
    static constexpr milliseconds call_timeout{700};
    static constexpr milliseconds call_backoff{100};

    using completion = std::function<void(const duty_outcome&)>;

    duty_client(host_state& host, http::address store, std::uint32_t partitions,
                duty_settings settings, std::string holder);

    // Performs a call, and calls `on_done` exactly once. A request for a subject that has one in
    // progress ends at once.
    void perform(duty_request request, completion on_done);
    bool is_busy(const std::string& subject) const;

    // Reads the subject's newest record if it is not known.
    void read_newest(const std::string& subject);
    bool knows_newest(const std::string& subject);
    // Returns the subject's newest known record.
    const std::optional<duties::duty_record>& newest(const std::string& subject);
    // Returns what `duties::subject_authority::complete_since()` returns for the subject.
    std::optional<time_point> complete_since(const std::string& subject) const;
    // Records that another host has announced a record of the subject, at an offset of the present
    // history.
    void handle_announced_record(const std::string& subject, std::uint64_t offset);

    // Called when a record of this host was acknowledged, before its call is made.
    void set_record_handler(std::function<void(const std::string&, std::uint64_t)> handler)
    {
        m_on_record = std::move(handler);
    }

    const duty_counts& counts() const noexcept { return m_counts; }
    const std::string& holder() const noexcept { return m_holder; }

private:
    struct subject_state {
        subject_state(const std::string& holder, milliseconds lease_time)
            : authority{holder, lease_time}
        {
        }

        duties::subject_authority authority;
        std::uint32_t partition = 0;
        std::optional<duty_request> request;
        completion on_done;
        bool is_calling = false;
        // The last call was sent and not answered.
        bool is_unanswered = false;
        std::uint64_t last_token = 0;
        std::optional<std::uint64_t> last_record;
        transport::timer_queue::handle timer;
    };

    subject_state& state_of(const std::string& subject);
    // Passes a change of the store's history on to the authorities. To be called before they are
    // used.
    void follow_history();
    void begin_history(subject_state& state) const;
    // Returns whether an answer may be used.
    bool is_current(const std::optional<call_response>& answer);
    // Does what is next for a subject.
    void advance(const std::string& subject);
    void read(const std::string& subject, const std::string& after_key, std::uint64_t end);
    void handle_read(const std::string& subject, const std::string& after_key, std::uint64_t end,
                     const std::optional<call_response>& answer);
    void finish_read(const std::string& subject, std::optional<duties::duty_record> newest,
                     std::uint64_t partition_end);
    void append(const std::string& subject, const duties::subject_authority::next_step& step);
    void call(const std::string& subject, const duties::permit& under);
    void end(const std::string& subject, const duty_outcome& outcome, std::string_view reason);
    void advance_at(const std::string& subject, time_point when);

    host_state& m_host;
    http::address m_store;
    std::uint32_t m_partitions;
    duty_settings m_settings;
    std::string m_holder;
    std::function<void(const std::string&, std::uint64_t)> m_on_record;
    // The history that the authorities know, and how often it has changed.
    std::uint64_t m_history_changes = 0;
    std::uint64_t m_generation = 0;
    std::optional<std::uint64_t> m_epoch;
    std::map<std::string, subject_state> m_subjects;
    duty_counts m_counts;
    line_budget m_log_budget;
};

} // namespace cicadaport::serving
