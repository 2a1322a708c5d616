// A relay of bytes between two processes that can be cut.
#pragma once

#include "cicadaport/http/client.h"

#include <memory>

namespace cicadaport::scenario {

// Accepts connections and passes bytes both ways. While cut, it closes what is
// open and closes each new connection at once.
//
// Runs on a thread of its own until destroyed. Thread safety: all members from
// any thread.
class tcp_relay {
public:
    // Listens at once; throws boost::system::system_error if it can't.
    tcp_relay(const http::address& listen, const http::address& to);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    void set_cut(bool cut);

    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace cicadaport::scenario
