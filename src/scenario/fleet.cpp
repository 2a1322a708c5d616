#include "internal/fleet.h"

#include "cicadaport/yaml/reader.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <thread>

namespace cicadaport::scenario {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int default_first_port = 11'000;
constexpr std::uint16_t ports_per_range = 300;
constexpr std::uint16_t ranges = 16;
// Closed connections hold their ports for a minute.
constexpr std::chrono::seconds port_time{90};
constexpr std::chrono::milliseconds port_pause{500};
constexpr std::chrono::milliseconds make_deployment_time{20'000};

std::uint16_t first_port()
{
    const char* value = std::getenv("CICADAPORT_SCENARIO_FIRST_PORT");
    return static_cast<std::uint16_t>(value == nullptr ? default_first_port : std::atoi(value));
}

// The ports of a deployment's processes and links, from the range's base.
struct port_group {
    std::uint16_t first = 0;
    std::uint16_t count = 0;
};
constexpr port_group used_ports[] = {{1, 3},  {10, 6}, {20, 6},   {30, 6}, {40, 6},
                                     {60, 6}, {70, 6}, {100, 18}, {200, 4}};

bool is_free(asio::io_context& context, std::uint16_t port)
{
    const tcp::endpoint place{asio::ip::address_v4::loopback(), port};
    tcp::acceptor probe{context, place.protocol()};
    probe.set_option(tcp::acceptor::reuse_address{true});
    boost::system::error_code error;
    probe.bind(place, error);
    return !error;
}

// Returns whether every port that a deployment uses can be listened on.
bool are_free(asio::io_context& context, std::uint16_t base)
{
    for (const auto& group : used_ports) {
        for (std::uint16_t i = 0; i < group.count; ++i) {
            if (!is_free(context, static_cast<std::uint16_t>(base + group.first + i))) {
                return false;
            }
        }
    }
    return true;
}

std::size_t count_of(std::string_view text, std::string_view in)
{
    std::size_t out = 0;
    for (auto at = in.find(text); at != std::string_view::npos; at = in.find(text, at + 1)) {
        ++out;
    }
    return out;
}

// Runs scripts/make_deployment to its end.
void make_deployment(const script& what, const run_options& options, const std::string& folder,
                     std::uint16_t base_port)
{
    std::vector<std::string> arguments{what.deployment, folder, "--links", "--base-port",
                                       std::to_string(base_port)};
    if (what.engines > 0) {
        arguments.insert(arguments.end(), {"--engines", std::to_string(what.engines)});
    }
    for (const auto& each : what.engine_arguments) {
        arguments.push_back("--engine-argument=" + each);
    }
    child_process child{options.root + "/scripts/make_deployment", arguments,
                        folder + "/make_deployment.log"};
    if (child.wait(make_deployment_time) != 0) {
        throw std::runtime_error{"scripts/make_deployment failed"};
    }
}

} // namespace

port_range::port_range() : m_held{m_context}
{
    const auto until = std::chrono::steady_clock::now() + port_time;
    while (!take_one()) {
        if (std::chrono::steady_clock::now() >= until) {
            throw std::runtime_error{"all port ranges of scenarios are taken"};
        }
        std::this_thread::sleep_for(port_pause);
    }
}

bool port_range::take_one()
{
    const auto start = static_cast<std::uint16_t>(getpid() % ranges);
    for (std::uint16_t i = 0; i < ranges; ++i) {
        const auto range = static_cast<std::uint16_t>((start + i) % ranges);
        m_base = static_cast<std::uint16_t>(first_port() + range * ports_per_range);
        try {
            m_held = tcp::acceptor{m_context, {asio::ip::address_v4::loopback(), m_base}};
        }
        catch (const boost::system::system_error&) {
            continue;
        }
        if (are_free(m_context, m_base)) {
            return true;
        }
        m_held.close();
    }
    return false;
}

temporary_folder::temporary_folder()
    : m_path{(std::filesystem::temp_directory_path() / "cicadaport-scenario-XXXXXX").string()}
{
    if (mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error{m_path + ": cannot be made"};
    }
}

temporary_folder::~temporary_folder()
{
    if (!m_kept) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

fleet::fleet(const script& what, const run_options& options) : m_options{options}
{
    make_deployment(what, options, m_folder.path(), m_ports.base());
    m_deployment = read_deployment(m_folder.path());
    for (const auto& each : m_deployment.links) {
        m_links[each.name] = std::make_unique<tcp_relay>(each.listen, each.to);
    }
}

void fleet::start(const std::string& name)
{
    const auto& entry = m_deployment.find(name);
    if (is_running(name)) {
        throw std::invalid_argument{name + " runs already"};
    }
    m_children[name] =
        std::make_unique<child_process>(m_options.bin + "/" + entry.program, entry.arguments,
                                        m_folder.path() + "/" + name + ".log");
}

child_process& fleet::child(const std::string& name)
{
    const auto found = m_children.find(name);
    if (found == m_children.end()) {
        throw std::invalid_argument{name + " was not started"};
    }
    return *found->second;
}

void fleet::restart_if_port_was_taken(const std::string& name)
{
    const auto found = m_children.find(name);
    if (found == m_children.end() || !found->second->poll()) {
        return;
    }
    const auto output = yaml::read_file(m_folder.path() + "/" + name + ".log");
    const auto taken = count_of("Address already in use", output);
    if (taken > m_taken_ports[name]) {
        m_taken_ports[name] = taken;
        start(name);
    }
}

bool fleet::is_running(const std::string& name)
{
    const auto found = m_children.find(name);
    return found != m_children.end() && !found->second->poll();
}

void fleet::set_cut(const std::string& process, bool cut)
{
    const auto found = m_links.find(process);
    if (found == m_links.end()) {
        throw std::invalid_argument{process + " has no link that can be cut"};
    }
    found->second->set_cut(cut);
}

} // namespace cicadaport::scenario
