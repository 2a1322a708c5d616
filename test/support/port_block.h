// Ports of 127.0.0.1 for tests that must know a port before a program listens on it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <filesystem>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace cicadaport::testing {

// A range of ports that no other test process draws from while the object exists, guarded by a lock
// on a file in the system's temporary folder. The ports lie below the system's range of ephemeral
// ports, because an outgoing connection could take one of that range before a program listens on
// it.
class port_block {
public:
    static constexpr unsigned first_port = 20'000;
    static constexpr unsigned blocks = 24;
    static constexpr unsigned block_size = 500;

    // Throws std::runtime_error if other processes hold all ranges.
    port_block()
    {
        const auto begin = static_cast<unsigned>(::getpid());
        for (unsigned tries = 0; tries < blocks && m_lock < 0; ++tries) {
            m_number = (begin + tries) % blocks;
            m_lock = try_lock(m_number);
        }
        if (m_lock < 0) {
            throw std::runtime_error{"other processes hold all ranges of ports"};
        }
    }

    ~port_block() { ::close(m_lock); }
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    // The first port of the range.
    unsigned first() const noexcept { return first_port + m_number * block_size; }

    // Returns a port of the range on which nobody listens, in turn. Throws std::runtime_error if
    // there is none. Thread safe.
    std::uint16_t next()
    {
        for (unsigned tries = 0; tries < block_size; ++tries) {
            const auto port = static_cast<std::uint16_t>(first() + m_drawn++ % block_size);
            if (is_free(port)) {
                return port;
            }
        }
        throw std::runtime_error{"no port is free from " + std::to_string(first()) + " on"};
    }

private:
    // Returns the descriptor that holds the lock, or -1.
    static int try_lock(unsigned number)
    {
        constexpr int mode = 0666;
        const auto file = std::filesystem::temp_directory_path() /
                          ("cicadaport-ports-" + std::to_string(number) + ".lock");
        const int out = ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, mode);
        if (out >= 0 && ::flock(out, LOCK_EX | LOCK_NB) != 0) {
            ::close(out);
            return -1;
        }
        return out;
    }

    static bool is_free(std::uint16_t port)
    {
        boost::asio::io_context context;
        boost::system::error_code error;
        boost::asio::ip::tcp::acceptor probe{context, boost::asio::ip::tcp::v4()};
        probe.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        return !error;
    }

    unsigned m_number = 0;
    int m_lock = -1;
    std::atomic<unsigned> m_drawn{0};
};

// Returns a free port of the range that this process holds until it ends.
inline std::uint16_t free_port()
{
    static port_block ports;
    return ports.next();
}

} // namespace cicadaport::testing
