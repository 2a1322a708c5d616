#include "cicadaport/base/signal_block.h"

#include <utility>

namespace cicadaport::base {

signal_block::signal_block(std::initializer_list<int> signals) noexcept
{
    ::sigset_t blocked;
    ::sigemptyset(&blocked);
    for (const int each : signals) {
        ::sigaddset(&blocked, each);
    }
    ::pthread_sigmask(SIG_BLOCK, &blocked, &m_before);
}

void signal_block::release() noexcept
{
    if (!std::exchange(m_released, true)) {
        ::pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
    }
}

} // namespace cicadaport::base
