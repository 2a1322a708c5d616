// Account of the memory that requests and answers hold in one host, so that their sum stays
// bounded and not only each one.
//
//   memory_budget::reservation held{budget, holder};
//   held.resize(body.capacity());
//
// When the sum exceeds the limit, the owner of the budget is told once and ends the largest holders
// until the sum fits again. Small holders are never ended.
//
// Performs no I/O. Not thread safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cicadaport::serving {

// Something that holds the bytes of a request or of an answer.
class memory_holder {
public:
    virtual ~memory_holder() = default;
    // Returns who causes the bytes to be held, as fields of a log line.
    virtual std::string memory_fields() const = 0;
    // Frees the bytes and ends the request or the answer. Called from the event loop, never from
    // within resize().
    virtual void release_memory() = 0;
};

class memory_budget {
public:
    // Holders of fewer bytes are never ended: small requests are always served.
    static constexpr std::size_t min_releasable_bytes = 64 * 1024;
    // Memory of a host for which the deployment sets no limit.
    static constexpr std::uint64_t default_max_memory = 260'000'000;
    // Part of a host's memory that may be held. The rest is for copies: a body that is sent, and
    // the old block of a string that grows.
    static constexpr double held_fraction = 0.25;

    // The bytes of one holder. Released on destruction. Both arguments must outlive it.
    class reservation {
    public:
        reservation(memory_budget& budget, memory_holder& holder) noexcept
            : m_budget{budget}, m_holder{holder}
        {
        }
        ~reservation()
        {
            if (m_bytes != 0) {
                resize(0);
            }
        }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        // Sets the number of bytes held.
        void resize(std::size_t bytes);
        std::size_t bytes() const noexcept { return m_bytes; }
        memory_holder& holder() const noexcept { return m_holder; }

    private:
        friend class memory_budget;

        memory_budget& m_budget;
        memory_holder& m_holder;
        std::size_t m_bytes = 0;
        // Index among the releasable reservations, if `m_bytes` is large enough.
        std::size_t m_index = 0;
    };

    // `on_exceeded` is called within resize() when the limit is exceeded, once until restart().
    explicit memory_budget(std::function<void()> on_exceeded)
        : m_on_exceeded{std::move(on_exceeded)}
    {
    }
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    // Sets the memory that the whole process may use.
    void set_max_memory(std::uint64_t bytes) noexcept
    {
        m_limit = static_cast<std::uint64_t>(static_cast<double>(bytes) * held_fraction);
    }

    std::uint64_t limit() const noexcept { return m_limit; }
    // Returns the number of bytes held by all holders.
    std::uint64_t held() const noexcept { return m_held; }
    bool is_exceeded() const noexcept { return m_held > m_limit; }

    // Returns whether `bytes` more may be held by a new holder. Always true for a small one.
    bool admits(std::size_t bytes) const noexcept
    {
        return bytes < min_releasable_bytes || m_held + bytes <= m_limit;
    }

    // Returns whether so much is held that peers should be made to wait rather than to send on.
    bool is_scarce() const noexcept { return m_held > m_limit / 2; }

    // Returns the largest of the holders that may be ended; null if there is none.
    const reservation* largest() const noexcept;

    // Lets `on_exceeded` be called again.
    void restart() noexcept { m_told = false; }

private:
    void add(reservation& each);
    void remove(reservation& each) noexcept;

    std::function<void()> m_on_exceeded;
    std::uint64_t m_limit = static_cast<std::uint64_t>(default_max_memory * held_fraction);
    std::uint64_t m_held = 0;
    bool m_told = false;
    std::vector<reservation*> m_releasable;
};

} // namespace cicadaport::serving
