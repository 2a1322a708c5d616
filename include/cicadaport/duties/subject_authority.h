// Decides when this host may make calls to the platform for one subject of a duty.
//
// The newest record of a subject in the platform's store names its holder and the content that the
// holder is going to send. A host makes calls only under a permit, and only the direct
// acknowledgement of its own append grants one: the append carries the end of the partition as its
// condition, so that of several racing hosts one succeeds. A permit ends half a lease after its
// append was sent. A host replaces the record of another host only after it has known that record
// as the newest for a lease and a margin. Calls of two hosts are therefore at least half a lease
// and the margin apart, even if a host is frozen, partitioned or killed at any point, or if the
// store carries out an append late.
//
// Offsets and acknowledged records hold within one history of the store. When a new one begins, the
// permit ends, the partition is read anew, and nothing is appended for a lease and the margin: the
// record under which another host makes calls may be lost. The same holds when the newest record
// was sent in another history: the store may have carried it out late, on top of newer ones.
//
// Performs no I/O; answers and times are passed in. Not thread safe.
#pragma once

#include "cicadaport/base/boot_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaport::duties {

using std::chrono::milliseconds;
using time_point = base::boot_clock::time_point;

// The record of a subject in the store.
struct duty_record {
    std::string holder;
    std::string content;
    std::uint64_t offset = 0;
    // The epoch of the store that the holder knew when it sent the record; empty if it knew none.
    std::optional<std::uint64_t> epoch{};
};

// The right to make calls for a subject until a time.
struct permit {
    std::uint64_t fencing_token = 0;
    time_point expires{};
    // Offset of the record that grants it.
    std::uint64_t record = 0;
};

class subject_authority {
public:
    // Added to the lease before a record of another host is replaced: covers calls that are on
    // their way when their permit ends, and the difference in rate of two clocks.
    static constexpr milliseconds margin{500};
    // Pause after a call to the store that got no answer.
    static constexpr milliseconds failure_backoff{250};

    enum class step {
        // Nothing until the next request or answer.
        none,
        // Ask again at the given time.
        wait,
        // Read the subject's newest record and the end of its partition.
        read,
        // Append a record with the given content, if the partition ends at the given offset.
        append,
    };

    struct next_step {
        step what = step::none;
        time_point at{};
        std::uint64_t offset = 0;
        std::string content;
    };

    subject_authority(std::string holder, milliseconds lease_time)
        : m_holder{std::move(holder)}, m_lease_time{lease_time}
    {
    }

    // Asks for a permit to send `content`. A valid permit for the same content is kept; another one
    // ends. When a permit has been granted, a later one needs a new request.
    void request(std::string content, time_point now);
    // Ends the request and the permit.
    void withdraw();
    // Ends the request; a permit is kept for further calls with the same content.
    void end_request() { m_requested.reset(); }
    // Asks for the newest record to be read, if it is not known.
    void request_newest() { m_wants_newest = true; }

    // Records that another history of the store has begun, or that the store has stated its epoch
    // for the first time. `epoch` is empty if the store states none; `known_since` is when this
    // host learned of it. An append in progress grants nothing, and a read in progress is repeated.
    void begin_history(std::optional<std::uint64_t> epoch, time_point known_since);

    // Returns what the owner has to do next. The owner reports that it starts a read or an append
    // with `begin()`, and calls exactly one of the handlers when that call ends.
    next_step next(time_point now) const;
    void begin(const next_step& started, time_point now);

    // Returns what shows that the answer to the read in progress does not continue what is known,
    // so that the store has returned from an older copy; empty if nothing does.
    std::string_view find_discontinuity(const std::optional<duty_record>& newest,
                                        std::uint64_t partition_end) const;
    // `newest` is empty if the subject has no record.
    void handle_read_result(std::optional<duty_record> newest, std::uint64_t partition_end,
                            time_point now);
    // The append was acknowledged: its record is at `offset`.
    void handle_append_result(std::uint64_t offset, time_point now);
    // The store refused the append since the partition ends elsewhere.
    void handle_append_refusal(time_point now);
    // A read or an append failed, or was not answered. An append may still be carried out.
    void handle_no_answer(time_point now);

    // Records that another host has announced that the subject has a record at `offset`.
    void handle_announced_record(std::uint64_t offset, time_point now);
    // Records that this host has appended a record of another subject of the same partition.
    void handle_other_append(std::uint64_t offset);

    // Returns the permit for the requested content, unless it has expired.
    std::optional<permit> current_permit(time_point now) const;
    // The newest known record; empty if none is known.
    const std::optional<duty_record>& newest() const noexcept { return m_newest; }
    // Whether the newest record was read or appended, and no newer one is known of.
    bool knows_newest() const noexcept { return m_partition_end.has_value(); }
    bool is_requested() const noexcept { return m_requested.has_value(); }
    // Returns since when no record can have been made that the newest one does not continue; empty
    // if there never was one: the store states no epoch and has not returned.
    std::optional<time_point> complete_since() const noexcept { return m_complete_since; }

private:
    bool is_own(const duty_record& record) const;
    // Ends the call in progress. Returns whether it was begun in the present history.
    bool end_call();
    void record_token_of(std::uint64_t offset);
    void record_end(std::uint64_t end);
    // Returns when this host may replace the newest record.
    time_point earliest_append() const;
    void set_newest(std::optional<duty_record> newest, time_point now);

    std::string m_holder;
    milliseconds m_lease_time;
    std::optional<std::string> m_requested;
    bool m_wants_newest = false;

    std::optional<duty_record> m_newest;
    // Since when the newest record has been known.
    time_point m_newest_since{};
    // Empty if the partition must be read before the next append.
    std::optional<std::uint64_t> m_partition_end;
    // The last record that another host announced.
    std::optional<std::uint64_t> m_announced_offset;
    time_point m_announced_at{};
    // Tokens up to this one have been used or may be used by a holder.
    std::uint64_t m_max_token = 0;

    std::optional<std::uint64_t> m_epoch;
    std::optional<time_point> m_complete_since;
    // The largest known end of the partition in the present history.
    std::uint64_t m_known_end = 0;

    step m_running = step::none;
    // Whether the call in progress was begun before the present history was known.
    bool m_is_running_outdated = false;
    // What was known when the read in progress began.
    std::uint64_t m_end_at_read = 0;
    std::optional<std::uint64_t> m_announced_at_read;
    time_point m_append_sent{};
    std::string m_append_content;
    // Whether this process has sent an append. An earlier process of the same name may hold a
    // permit under a record that this one has not appended.
    bool m_has_appended = false;
    time_point m_backoff_until{};

    std::optional<permit> m_permit;
    std::string m_permit_content;
};

} // namespace cicadaport::duties
