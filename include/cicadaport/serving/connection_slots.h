// The connections that peers may hold at once.
//
// A host has a limited number of descriptors. Callers, and other hosts that relay requests, get
// a fixed share each; the rest is left for what the host itself opens: connections to replicas, to
// the store and to other hosts, and for readiness checks.
//
// At the limit a connection without a whole request ends to make room for a new one. In this
// order:
//
//   1. one that is closing and only waits for its peer to close, too;
//   2. one that has not sent a whole request yet, if these hold more than their share;
//   3. one that has sent whole requests and waits for the next;
//   4. one that has not sent a whole request yet.
//
// Of each kind the one that has waited longest ends first. The share in 2 lets peers that send no
// whole requests displace one another rather than connections in use, while a caller that connects
// has time to send its request although all other connections are kept open. A connection whose
// request is being answered is never ended.
//
// Performs no I/O. Not thread safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

namespace cicadaport::serving {

// The largest number of connections that a host accepts, by who opens them.
struct connection_shares {
    std::size_t callers = 0;
    std::size_t hosts = 0;

    // Returns the shares of a process that may have `max_descriptors` descriptors.
    static connection_shares of(std::uint64_t max_descriptors) noexcept;
};

// A connection that holds a slot.
class slot_holder {
public:
    virtual ~slot_holder() = default;
    // Ends the connection and frees its descriptor before the call returns.
    virtual void end_for_room() = 0;
};

class connection_slots {
public:
    enum class phase {
        // Waits for its first whole request.
        fresh,
        // Waits for the end of its next request after the first.
        kept,
        // A request is being answered, or its answer is being sent.
        answering,
        // All was sent; waits for the peer to close the connection.
        closing,
    };

    struct entry {
        slot_holder* holder = nullptr;
        phase in = phase::fresh;
    };
    using slot = std::list<entry>::iterator;

    // Fresh connections that hold more than this fraction of the slots end before kept ones.
    static constexpr std::size_t fresh_share_divisor = 4;

    // At least one connection is always allowed.
    explicit connection_slots(std::size_t limit) noexcept : m_limit{limit > 0 ? limit : 1} {}

    // Adds a connection, which is fresh. `holder` must live until `remove()` is called.
    slot add(slot_holder& holder);
    // Makes the connection the last of its phase, unless it is in this phase already.
    void set_phase(slot of, phase next) noexcept;
    void remove(slot of) noexcept;

    std::size_t count() const noexcept { return m_count; }
    std::size_t limit() const noexcept { return m_limit; }
    bool is_full() const noexcept { return m_count >= m_limit; }

    // Returns the connection to end when a new one needs room; null if all are being answered.
    slot_holder* next_to_end() const noexcept;

private:
    static constexpr std::size_t phase_count = 4;

    std::list<entry>& members(phase of) noexcept { return m_members[static_cast<std::size_t>(of)]; }
    const std::list<entry>& members(phase of) const noexcept
    {
        return m_members[static_cast<std::size_t>(of)];
    }

    std::size_t m_limit;
    std::size_t m_count = 0;
    // By phase; in each, the one that has been in the phase longest is first.
    std::array<std::list<entry>, phase_count> m_members;
};

} // namespace cicadaport::serving
