// The running processes of one scenario.
#pragma once

#include "cicadaport/scenario/child_process.h"
#include "cicadaport/scenario/deployment.h"
#include "cicadaport/scenario/runner.h"
#include "cicadaport/scenario/tcp_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>

namespace cicadaport::scenario {

// Holds a range of ports for as long as it lives, so that several scenarios
// can run at once. Waits for a free one; throws std::runtime_error if none comes.
//
// The ranges lie below those from which the kernel takes the ports of outgoing
// connections. CICADAPORT_SCENARIO_FIRST_PORT moves them.
class port_range {
public:
    port_range();

    std::uint16_t base() const noexcept { return m_base; }

private:
    // Holds a free range if there is one.
    bool take_one();

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_held;
    std::uint16_t m_base = 0;
};

// A temporary folder. Removed by the destructor unless it is kept.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::string& path() const noexcept { return m_path; }
    void keep() noexcept { m_kept = true; }

private:
    std::string m_path;
    bool m_kept = false;
};

// Starts, signals and ends the deployment's processes. The destructor ends all
// of them. Not thread safe.
class fleet {
public:
    // Writes the deployment into a folder of its own; starts no process of it.
    fleet(const script& what, const run_options& options);

    // Starts a process that does not run; throws std::invalid_argument.
    void start(const std::string& name);

    // Returns the process's child; throws std::invalid_argument if it was
    // never started.
    child_process& child(const std::string& name);

    // Starts a process again that ended because its port was taken meanwhile.
    void restart_if_port_was_taken(const std::string& name);

    // Returns whether the process was started and has not ended.
    bool is_running(const std::string& name);

    // Throws std::invalid_argument if the process has no such link.
    void set_cut(const std::string& process, bool cut);

    const scenario::deployment& deployment() const noexcept { return m_deployment; }
    temporary_folder& folder() noexcept { return m_folder; }

private:
    run_options m_options;
    port_range m_ports;
    temporary_folder m_folder;
    scenario::deployment m_deployment;
    std::map<std::string, std::unique_ptr<tcp_relay>, std::less<>> m_links;
    std::map<std::string, std::unique_ptr<child_process>, std::less<>> m_children;
    // How often each process found its port taken.
    std::map<std::string, std::size_t, std::less<>> m_taken_ports;
};

} // namespace cicadaport::scenario
