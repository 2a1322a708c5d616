// An endpoint that sends raw bytes, for behaviour that violates HTTP.
#pragma once

#include "cicadaport/http/address.h"

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cicadaport::entry {

// Runs `script` for each connection on a separate thread. A script ends when its
// connection fails, at the latest when the endpoint is destroyed.
class raw_endpoint {
public:
    using socket = boost::asio::ip::tcp::socket;
    using script = std::function<void(socket&)>;

    explicit raw_endpoint(script with_script)
        : m_script{std::move(with_script)}, m_thread{[this] { accept(); }}
    {
    }
    ~raw_endpoint()
    {
        m_stopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        const std::lock_guard lock{m_mutex};
        for (const auto& each : m_sockets) {
            ::shutdown(each->native_handle(), SHUT_RDWR);
        }
    }
    raw_endpoint(const raw_endpoint&) = delete;
    raw_endpoint& operator=(const raw_endpoint&) = delete;

    http::address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    std::size_t connections() const { return m_connections; }

private:
    void accept()
    {
        while (!m_stopping) {
            boost::system::error_code error;
            auto made = std::make_shared<socket>(m_context);
            m_acceptor.accept(*made, error);
            if (error) {
                return;
            }
            ++m_connections;
            const std::lock_guard lock{m_mutex};
            m_sockets.push_back(made);
            m_connection_threads.emplace_back([this, made] { run(*made); });
        }
    }

    void run(socket& with) const
    {
        try {
            m_script(with);
        }
        catch (const boost::system::system_error&) {
            // The peer disconnected, which ends the script.
        }
        boost::system::error_code ignored;
        with.shutdown(socket::shutdown_both, ignored);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor{m_context,
                                              {boost::asio::ip::make_address("127.0.0.1"), 0}};
    script m_script;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<socket>> m_sockets;
    std::vector<std::jthread> m_connection_threads;
    std::thread m_thread;
};

// Reads a request without a body and returns its X-Request-Id. `ahead` keeps bytes
// that were received beyond it.
inline std::string read_request(raw_endpoint::socket& from, std::string& ahead)
{
    constexpr std::string_view name = "X-Request-Id: ";
    const auto size = boost::asio::read_until(from, boost::asio::dynamic_buffer(ahead), "\r\n\r\n");
    const auto head = ahead.substr(0, size);
    ahead.erase(0, size);
    const auto found = head.find(name);
    const auto begin = found + name.size();
    return found == std::string::npos ? "" : head.substr(begin, head.find('\r', begin) - begin);
}

inline std::string response_text(const std::string& body, const std::string& status = "200 OK",
                                 const std::string& fields = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void send_text(raw_endpoint::socket& to, const std::string& text)
{
    boost::asio::write(to, boost::asio::buffer(text));
}

} // namespace cicadaport::entry
