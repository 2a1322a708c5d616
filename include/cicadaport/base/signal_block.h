// Delays signals while the process can't handle them yet.
#pragma once

#include <initializer_list>

#include <signal.h>

namespace cicadaport::base {

// Holds back signals to the calling thread, and to threads that it starts meanwhile. They are
// delivered once the object is released or destroyed, so that none has its default action
// before a handler is installed, and none is lost.
//
// Not thread safe.
class signal_block {
public:
    explicit signal_block(std::initializer_list<int> signals) noexcept;
    ~signal_block() { release(); }
    signal_block(const signal_block&) = delete;
    signal_block& operator=(const signal_block&) = delete;

    void release() noexcept;

private:
    ::sigset_t m_before;
    bool m_released = false;
};

} // namespace cicadaport::base
