#include "cicadaport/base/io_pool.h"

#include <algorithm>
#include <thread>

namespace cicadaport::base {

io_pool::io_pool(std::size_t workers)
{
    constexpr int single_threaded = 1;
    for (std::size_t i = 0; i < std::max<std::size_t>(workers, 1); ++i) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(single_threaded));
        m_guards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

std::size_t io_pool::next() noexcept
{
    return m_next.fetch_add(1, std::memory_order_relaxed) % m_contexts.size();
}

void io_pool::run()
{
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < m_contexts.size(); ++i) {
        threads.emplace_back([this, i] { m_contexts[i]->run(); });
    }
    m_contexts.front()->run();
}

void io_pool::stop()
{
    for (const auto& context : m_contexts) {
        context->stop();
    }
}

} // namespace cicadaport::base
