// One process's copy of the folded log, shared by its threads.
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

// Folds entries, keeps the newest for other processes that follow this one,
// and tells its listeners of each change. Its offset and its configuration
// never go back.
//
// A record that this build can't judge halts the replica: it goes on serving
// the state before that record, says why in `halted()`, and folds on only once
// a state from beyond the record can be taken over.
//
// Thread safety: all members from any thread. Listeners are called one at a
// time, after the change, on the thread that brought it.
class replica {
public:
    using listener = std::function<void(const state&)>;

    // Adds a listener; do so before the first entry arrives.
    void add_listener(listener call);

    // Folds entries that follow one another; older ones have no effect, and
    // what comes after a gap is left for a later read.
    void apply(std::span<const protocol::log_entry> entries);

    // Takes over a peer's state or a snapshot if it is newer than this one.
    // Returns whether it was. Throws std::invalid_argument, `unknown_record`
    // or `yaml::document_error` if this build can't read it.
    bool install(std::string_view serialized);

    std::uint64_t offset() const;

    // Returns why the replica can't fold the next record, if it can't.
    std::optional<std::string> halted() const;

    // Returns what became of the record with this append id, if it was folded
    // lately. A copy never replaces the decision on the first.
    std::optional<decision> decision_of(const std::string& append_id) const;

    // Returns a copy of the folded state.
    state copy() const;

    // Calls `read` with the state; `read` must be short and must not call back.
    void inspect(const std::function<void(const state&)>& read) const;

    // Fills `reply` with the entries after `after_offset`, or with the whole
    // state when they are no longer kept. Snapshots are passed on without the
    // state in them, which a follower has already.
    void answer(std::uint64_t after_offset, protocol::pull_reply& reply) const;

private:
    bool fold_all(std::span<const protocol::log_entry> entries);
    void keep(const protocol::log_entry& entry);
    void notify();

    // Held by whoever changes the state, until the listeners were told.
    std::mutex m_order;
    // Held, after m_order, while the state is changed, and by readers.
    mutable std::mutex m_mutex;
    state m_state;
    std::optional<std::string> m_halted;
    std::deque<protocol::log_entry> m_recent;
    std::size_t m_recent_bytes = 0;
    // The offset just before the oldest entry of `m_recent`.
    std::uint64_t m_recent_after = 0;
    std::vector<listener> m_listeners;
};

} // namespace cicadaport::fold
