#include "internal/port_block.h"

#include "cicadaport/faults/run.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace cicadaport::faults {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// As many as a deployment of scripts/make_deployment spreads over.
constexpr std::uint16_t ports_per_run = 300;
constexpr std::chrono::seconds longest_wait{120};
constexpr std::chrono::milliseconds poll_time{200};

// Throws boost::system::system_error if the port is taken.
tcp::acceptor listen_on(asio::io_context& context, std::uint16_t port)
{
    return tcp::acceptor{context, {asio::ip::address_v4::loopback(), port}};
}

} // namespace

port_block::port_block(std::uint16_t first_port) : m_held{m_context}
{
    const auto until = std::chrono::steady_clock::now() + longest_wait;
    while (!take_one(first_port)) {
        if (std::chrono::steady_clock::now() >= until) {
            throw std::runtime_error{"all port blocks are taken"};
        }
        std::this_thread::sleep_for(poll_time);
    }
}

bool port_block::take_one(std::uint16_t first_port)
{
    for (std::uint16_t i = 0; i < most_runs; ++i) {
        m_first = static_cast<std::uint16_t>(first_port + i * ports_per_run);
        try {
            m_held = listen_on(m_context, m_first);
            // The log's port: taken where an earlier run left its processes.
            listen_on(m_context, static_cast<std::uint16_t>(m_first + 1));
            return true;
        }
        catch (const boost::system::system_error&) {
            m_held.close();
        }
    }
    return false;
}

} // namespace cicadaport::faults
