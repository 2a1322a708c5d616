// Ports that are one run's alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace cicadaport::faults {

// Holds a block of ports for as long as it lives; the first of them is kept to
// itself as a sign to others.
class port_block {
public:
    // Waits for a free block; throws std::runtime_error if none comes.
    explicit port_block(std::uint16_t first_port);

    std::uint16_t first() const noexcept { return m_first; }

private:
    bool take_one(std::uint16_t first_port);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_held;
    std::uint16_t m_first = 0;
};

} // namespace cicadaport::faults
