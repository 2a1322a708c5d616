// Values that many threads read without a lock while one replaces them.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace cicadaport::base {

// A read-side critical section of read-copy-update.
//
// A value read inside one lives at least until its end. Keep it short and
// never suspend a coroutine within it. Thread safety: one per thread of
// control; sections nest.
class rcu_reader {
public:
    rcu_reader() noexcept;
    ~rcu_reader();
    rcu_reader(const rcu_reader&) = delete;
    rcu_reader& operator=(const rcu_reader&) = delete;
};

// Waits until every reader that began before the call has ended.
void rcu_wait_for_readers();

// A value published by read-copy-update.
//
//   published<view> current{std::make_unique<view>()};
//   { rcu_reader guard; use(current.read(guard)); }
//   current.replace(std::make_unique<view>(next));
//
// Thread safety: any thread may read or replace; readers never wait.
template <typename T>
class published {
public:
    explicit published(std::unique_ptr<const T> value) noexcept : m_value{value.release()} {}
    ~published() { delete m_value.load(std::memory_order_relaxed); }
    published(const published&) = delete;
    published& operator=(const published&) = delete;

    // Returns the present value; valid while `guard` lives.
    const T& read(const rcu_reader& guard) const noexcept
    {
        static_cast<void>(guard);
        return *m_value.load(std::memory_order_acquire);
    }

    // Publishes `value` and destroys the one before it once nobody reads it.
    void replace(std::unique_ptr<const T> value)
    {
        const std::scoped_lock lock{m_writers};
        const std::unique_ptr<const T> old{
            m_value.exchange(value.release(), std::memory_order_acq_rel)};
        rcu_wait_for_readers();
    }

private:
    std::atomic<const T*> m_value;
    std::mutex m_writers;
};

} // namespace cicadaport::base
