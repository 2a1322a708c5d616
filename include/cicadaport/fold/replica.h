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
#include <unordered_map>
#include <vector>

namespace cicadaport::protocol {
class log_entry;
class pull_reply;
} // namespace cicadaport::protocol

namespace cicadaport::fold {

// Folds entries, keeps the newest for other processes that follow this one,
// and tells its listeners of each change. Its offset never goes back.
//
// Thread safety: all members from any thread. Listeners are called one at a
// time, after the change, on the thread that brought it.
class replica {
public:
    using listener = std::function<void(const state&)>;

    // Adds a listener; do so before the first entry arrives.
    void add_listener(listener call);

    // Folds entries that follow one another; older ones have no effect.
    // Throws `unknown_record`; the entries before it stay folded.
    void apply(std::span<const protocol::log_entry> entries);

    // Takes over a peer's state if it is newer than this one. Returns whether
    // it was. Throws std::invalid_argument.
    bool install(std::string_view serialized);

    std::uint64_t offset() const;

    // Returns what became of the record with this append id, if it was folded
    // here lately. A copy never replaces the decision on the first.
    std::optional<decision> decision_of(const std::string& append_id) const;

    // Returns a copy of the folded state.
    state copy() const;

    // Calls `read` with the state; `read` must be short and must not call back.
    void inspect(const std::function<void(const state&)>& read) const;

    // Fills `reply` with the entries after `after_offset`, or with the whole
    // state when they are no longer kept.
    void answer(std::uint64_t after_offset, protocol::pull_reply& reply) const;

private:
    void notify();
    void remember(const protocol::log_entry& entry, decision made);

    // Held by whoever changes the state, until the listeners were told.
    std::mutex m_order;
    // Held, after m_order, while the state is changed, and by readers.
    mutable std::mutex m_mutex;
    state m_state;
    std::deque<protocol::log_entry> m_recent;
    // The offset just before the oldest entry of `m_recent`.
    std::uint64_t m_recent_after = 0;
    std::unordered_map<std::string, decision> m_decisions;
    std::deque<std::string> m_decided;
    std::vector<listener> m_listeners;
};

} // namespace cicadaport::fold
