#include "authority/process_fixture.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace cicadaport::control {
namespace {

using namespace authority::testing;

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

TEST(readiness_test, a_control_process_is_ready_once_the_log_has_told_it_the_state)
{
    const auto folder = ::testing::TempDir() + "cicadaport-ready-" + std::to_string(::getpid());
    std::filesystem::create_directories(folder);
    const auto file = folder + "/control.yaml";
    const auto log_port = free_port();
    const auto admin = free_port();
    std::ofstream{file} << "id: control\navailability_zone: z\nrelay_address: "
                        << address(free_port()) << "\nadmin_address: " << address(admin)
                        << "\npeers: []\noperator_key_sha256: " << operator_key_sha256
                        << "\nplatform:\n  log: " << address(log_port)
                        << "\n  host_list: 127.0.0.1:1\n  weight_store: 127.0.0.1:1\n";
    child_process process{"cicadaport-control", {"--settings", file}, {}, folder + "/log"};
    EXPECT_TRUE(eventually([&] { return call(admin, "GET", "/healthz").status == 200; }))
        << process.log();
    EXPECT_EQ(call(admin, "GET", "/readyz").status, 503U);
    const child_process log{
        "cicadaport-standin-log", {"--listen", address(log_port)}, {}, folder + "/standin"};
    EXPECT_TRUE(becomes_ready(process, admin)) << process.log();
    const auto metrics = call(admin, "GET", "/metrics");
    EXPECT_NE(metrics.body.find("cicadaport_fold_offset"), std::string::npos) << metrics.body;
    std::filesystem::remove_all(folder);
}

} // namespace
} // namespace cicadaport::control
