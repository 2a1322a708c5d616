// The running processes of one schedule.
#pragma once

#include "cicadaport/faults/run.h"
#include "cicadaport/scenario/child_process.h"
#include "cicadaport/scenario/deployment.h"
#include "cicadaport/scenario/tcp_relay.h"

#include <map>
#include <memory>
#include <string>

namespace cicadaport::faults {

// Starts, stops and cuts off the processes of a deployment. Faults of one kind
// may overlap at one process: the last to end counts. The destructor ends all
// processes. Not thread safe.
class fleet {
public:
    // Writes the deployment into `folder` and starts its processes.
    fleet(const schedule& what, const run_options& options, std::uint16_t base_port,
          std::string folder);

    void kill(const std::string& name);
    void allow_restart(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    // Lets a process that stopped itself go on, unless a fault holds it.
    void wake(const std::string& name);

    // Cuts or mends all links whose name begins or ends as given.
    void set_cut_from_log(const std::string& name, bool cut);
    void set_cut_from_peers(const std::string& name, bool cut);

    // Starts again what has ended and is not to stay down.
    void restart_ended();

    // How often the process was started.
    std::uint32_t life(const std::string& name) const { return m_lives.at(name); }
    std::string output_of(const std::string& name) const { return m_folder + "/" + name + ".log"; }
    const scenario::deployment& deployment() const noexcept { return m_deployment; }

private:
    void start(const std::string& name);
    void set_cut(const std::string& link, bool cut);

    run_options m_options;
    std::string m_folder;
    scenario::deployment m_deployment;
    // The step at which each process is to stop itself.
    std::map<std::string, std::string> m_pause_steps;
    std::map<std::string, std::unique_ptr<scenario::tcp_relay>> m_links;
    std::map<std::string, std::unique_ptr<scenario::child_process>> m_children;
    std::map<std::string, std::uint32_t> m_lives;
    // How many faults keep a process down or stopped, or a link cut.
    std::map<std::string, int> m_down;
    std::map<std::string, int> m_frozen;
    std::map<std::string, int> m_cut;
};

} // namespace cicadaport::faults
