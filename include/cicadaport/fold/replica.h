// The state folded from the shared log, as one process holds it for all its threads.
#pragma once

#include "cicadaport/fold/state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cicadaport::protocol {
class log_entry;
class pull_reply;
} // namespace cicadaport::protocol

namespace cicadaport::fold {

// Folds log entries, buffers the newest ones for processes that follow this
// replica, and notifies its listeners of each change. The offset and the
// configuration offset never decrease.
//
// A record that this build can't interpret halts the replica: it still serves
// the state before that record, gives the cause in `halted()`, and resumes
// only after a state from beyond the record is installed.
//
// Thread safety: all members may be called from any thread. Listeners are
// called one at a time, after the change, on the thread that made it.
class replica {
public:
    using listener = std::function<void(const state&)>;

    replica();
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    // Adds a listener. Must be called before the first entry is applied.
    void add_listener(listener call);

    // Folds consecutive entries. Entries that were folded before have no
    // effect; entries after a gap are not folded and must be read again.
    void apply(std::span<const protocol::log_entry> entries);

    // Replaces the state by a peer's state or a snapshot if its offset is
    // higher and its configuration not older. Returns whether it did. Throws
    // std::invalid_argument, `unknown_record` or `yaml::document_error` if this
    // build can't read `serialized`.
    bool install(std::string_view serialized);

    std::uint64_t offset() const;

    // Returns why the replica can't fold the next record; nothing if it can.
    std::optional<std::string> halted() const;

    // Returns the decision on the record with this append id, if the record is
    // recent. A duplicate never replaces the decision on the first record.
    std::optional<decision> decision_of(const std::string& append_id) const;

    state copy() const;

    // Calls `read` with the state under the lock. `read` must be short and must
    // not call members of this replica.
    void inspect(const std::function<void(const state&)>& read) const;

    // Fills `reply` with the entries after `after_offset`, or with the whole
    // state if those entries are no longer buffered. Snapshot records are
    // forwarded without the state in them, which a follower has already.
    void fill_reply(std::uint64_t after_offset, protocol::pull_reply& reply) const;

private:
    bool fold_all(std::span<const protocol::log_entry> entries);
    void buffer_entry(const protocol::log_entry& entry);
    void notify_listeners();

    // Serializes changes of the state together with their notifications.
    std::mutex m_change_mutex;
    // Protects the members below. A writer locks it after m_change_mutex.
    mutable std::mutex m_mutex;
    state m_state;
    std::optional<std::string> m_halted;
    std::deque<protocol::log_entry> m_recent_entries;
    std::size_t m_recent_bytes = 0;
    // The offset before the oldest entry of `m_recent_entries`.
    std::uint64_t m_offset_before_recent = 0;
    std::vector<listener> m_listeners;
};

} // namespace cicadaport::fold
