// Test fixture with a shared log and up to two control processes.
#pragma once

#include "authority/process_fixture.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>

namespace cicadaport::authority::testing {

class control_fixture : public ::testing::Test {
protected:
    struct control {
        std::uint16_t admin = free_port();
        std::uint16_t relay = free_port();
        std::unique_ptr<child_process> process;
    };

    control_fixture()
    {
        const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
        m_folder =
            ::testing::TempDir() + "cicadaport-" + test->name() + "-" + std::to_string(::getpid());
        std::filesystem::create_directories(m_folder);
        m_log = start("cicadaport-standin-log", {"--listen", address(m_log_port)}, {}, "log");
        EXPECT_TRUE(
            eventually([&] { return call(m_log_port, "GET", "/v1/statistics").status == 200; }));
    }

    ~control_fixture() override
    {
        m_first.process.reset();
        m_second.process.reset();
        std::filesystem::remove_all(m_folder);
    }

    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::unique_ptr<child_process> start(const std::string& program,
                                         std::vector<std::string> arguments,
                                         std::vector<std::string> environment,
                                         const std::string& name)
    {
        return std::make_unique<child_process>(program, std::move(arguments),
                                               std::move(environment), m_folder + "/" + name);
    }

    void start_control(control& which, const control& other, const std::string& name,
                       std::vector<std::string> environment)
    {
        const auto file = m_folder + "/" + name + ".yaml";
        std::ofstream{file} << "id: " << name
                            << "\navailability_zone: " << (m_same_zone ? "z" : name)
                            << "\nrelay_address: " << address(which.relay)
                            << "\nadmin_address: " << address(which.admin) << "\npeers: ["
                            << address(other.relay)
                            << "]\noperator_key_sha256: " << operator_key_sha256
                            << "\nlease_time_ms: " << m_lease_time.count()
                            << "\nplatform:\n  log: " << address(m_log_port)
                            << "\n  host_list: 127.0.0.1:1\n  weight_store: 127.0.0.1:1\n";
        which.process = start("cicadaport-control", {"--settings", file}, std::move(environment),
                              name + ".log");
        EXPECT_TRUE(becomes_ready(*which.process, which.admin)) << which.process->log();
    }

    static std::string holder(const control& as_seen_by)
    {
        const auto reply = call(as_seen_by.admin, "GET", "/v1/admin/leases");
        if (reply.status != 200) {
            return {};
        }
        const auto leases = nlohmann::json::parse(reply.body).at("leases");
        return leases.empty() ? "" : leases[0].at("holder").get<std::string>();
    }

    static bool holds(const std::string& name, const control& as_seen_by)
    {
        return holder(as_seen_by).starts_with(name + "#");
    }

    std::string m_folder;
    std::chrono::milliseconds m_lease_time{1'000};
    // Whether both control processes are in one availability zone: only one
    // control process of each zone reads the log.
    bool m_same_zone = false;
    std::uint16_t m_log_port = free_port();
    std::unique_ptr<child_process> m_log;
    control m_first;
    control m_second;
};

} // namespace cicadaport::authority::testing
