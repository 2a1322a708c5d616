#include "internal/fleet.h"

#include <csignal>
#include <stdexcept>

namespace cicadaport::faults {
namespace {

constexpr std::chrono::milliseconds make_deployment_time{20'000};
constexpr char pause_variable[] = "CICADAPORT_UNSAFE_PAUSE_AT=";

void make_deployment(const schedule& what, const run_options& options, std::uint16_t base_port,
                     const std::string& folder)
{
    std::vector<std::string> arguments{"nguyen_phat",
                                       folder,
                                       "--links",
                                       "--peer-links",
                                       "--base-port",
                                       std::to_string(base_port),
                                       "--engines",
                                       std::to_string(what.engines),
                                       "--hosts",
                                       std::to_string(what.hosts),
                                       "--zones",
                                       std::to_string(what.zones),
                                       "--lease-time-ms",
                                       std::to_string(what.lease_time.count()),
                                       "--engine-argument=--change-ms",
                                       "--engine-argument=" +
                                           std::to_string(what.change_time.count())};
    if (!what.some_check_fencing) {
        arguments.emplace_back("--no-fencing-checks");
    }
    scenario::child_process child{options.root + "/scripts/make_deployment", arguments,
                                  folder + "/make_deployment.log"};
    if (child.wait(make_deployment_time) != 0) {
        throw std::runtime_error{"scripts/make_deployment failed"};
    }
}

} // namespace

fleet::fleet(const schedule& what, const run_options& options, std::uint16_t base_port,
             std::string folder)
    : m_options{options}, m_folder{std::move(folder)}
{
    make_deployment(what, options, base_port, m_folder);
    m_deployment = scenario::read_deployment(m_folder);
    std::erase_if(m_deployment.processes, [&](const scenario::process_entry& each) {
        return each.name.starts_with("entry-") && each.name > entry_name(what.entries);
    });
    for (const auto& each : what.faults) {
        if (each.kind == fault_kind::freeze_at_step) {
            m_pause_steps[each.target] = each.step;
        }
    }
    for (const auto& each : m_deployment.links) {
        m_links[each.name] = std::make_unique<scenario::tcp_relay>(each.listen, each.to);
    }
    for (const auto& each : m_deployment.processes) {
        start(each.name);
    }
}

// A process that is to stop itself does so in its first life only.
void fleet::start(const std::string& name)
{
    const auto& entry = m_deployment.find(name);
    auto program = m_options.bin + "/" + entry.program;
    auto arguments = entry.arguments;
    if (const auto step = m_pause_steps.find(name); step != m_pause_steps.end()) {
        arguments.insert(arguments.begin(), {pause_variable + step->second, program});
        program = "/usr/bin/env";
        m_pause_steps.erase(step);
    }
    ++m_lives[name];
    m_children[name] =
        std::make_unique<scenario::child_process>(program, arguments, output_of(name));
}

void fleet::kill(const std::string& name)
{
    ++m_down[name];
    m_children.at(name)->signal(SIGKILL);
}

void fleet::allow_restart(const std::string& name)
{
    --m_down[name];
}

void fleet::freeze(const std::string& name)
{
    ++m_frozen[name];
    m_children.at(name)->signal(SIGSTOP);
}

void fleet::thaw(const std::string& name)
{
    --m_frozen[name];
    wake(name);
}

void fleet::wake(const std::string& name)
{
    if (m_frozen[name] == 0) {
        m_children.at(name)->signal(SIGCONT);
    }
}

void fleet::set_cut_from_log(const std::string& name, bool cut)
{
    set_cut(name, cut);
}

void fleet::set_cut_from_peers(const std::string& name, bool cut)
{
    for (const auto& [link, relay] : m_links) {
        if (link.starts_with(name + ">") || link.ends_with(">" + name)) {
            set_cut(link, cut);
        }
    }
}

void fleet::set_cut(const std::string& link, bool cut)
{
    auto& count = m_cut[link];
    count += cut ? 1 : -1;
    m_links.at(link)->set_cut(count > 0);
}

void fleet::restart_ended()
{
    for (const auto& each : m_deployment.processes) {
        if (m_down[each.name] == 0 && m_children.at(each.name)->poll()) {
            start(each.name);
        }
    }
}

} // namespace cicadaport::faults
