#include "cicadaport/authority/test_switches.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <string>

namespace cicadaport::authority {
namespace {

// Returns the variable's value at the first call.
const std::string& pause_step()
{
    static const char* const value = std::getenv("CICADAPORT_UNSAFE_PAUSE_AT");
    static const std::string step = value == nullptr ? "" : value;
    return step;
}

const std::string& switched_off()
{
    static const char* const value = std::getenv("CICADAPORT_UNSAFE_SWITCH_OFF");
    static const std::string names = value == nullptr ? "" : "," + std::string{value} + ",";
    return names;
}

} // namespace

void pause_at_test_step(std::string_view step)
{
    static std::atomic<bool> paused{false};
    if (step == pause_step() && !paused.exchange(true)) {
        std::raise(SIGSTOP);
    }
}

bool is_switched_off(std::string_view safeguard)
{
    return switched_off().find("," + std::string{safeguard} + ",") != std::string::npos;
}

} // namespace cicadaport::authority
