// Threads that each run one event loop of their own.
//
// A connection lives on one loop for all its life, so nothing on its path
// needs a lock. Thread safety: `next()` may be called from any thread;
// construction, `run()` and destruction belong to one.
//
//   io_pool pool{4};
//   pool.run();          // returns once stop() was called
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace cicadaport::base {

class io_pool {
public:
    // Makes `workers` event loops; at least one.
    explicit io_pool(std::size_t workers);

    // Returns how many event loops there are.
    std::size_t size() const noexcept { return m_contexts.size(); }

    // Returns the event loop of worker `index`.
    boost::asio::io_context& context(std::size_t index) { return *m_contexts.at(index); }

    // Returns the index of the next worker in turn.
    std::size_t next() noexcept;

    // Runs all event loops, each on its own thread, until `stop()`.
    void run();

    // Ends all event loops. May be called from any thread.
    void stop();

private:
    using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<work_guard> m_guards;
    std::atomic<std::size_t> m_next{0};
};

} // namespace cicadaport::base
