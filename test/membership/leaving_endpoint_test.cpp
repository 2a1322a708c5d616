// Runs a control process, the platform's log and host list, and an engine as real processes.
#include "authority/process_fixture.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

namespace cicadaport::membership {
namespace {

using authority::testing::call;
using authority::testing::child_process;
using authority::testing::eventually;
using authority::testing::free_port;
using authority::testing::operator_key_sha256;
using nlohmann::json;

// Measured from the moment at which a process could know that the endpoint is leaving.
constexpr std::chrono::milliseconds no_new_work_after{3'000};

class leaving_endpoint_test : public ::testing::Test {
protected:
    leaving_endpoint_test()
    {
        std::filesystem::create_directories(m_folder);
        const auto file = m_folder + "/control.yaml";
        std::ofstream{file} << "id: control\navailability_zone: z\nrelay_address: 127.0.0.1:"
                            << free_port() << "\nadmin_address: 127.0.0.1:" << m_admin
                            << "\npeers: []\noperator_key_sha256: " << operator_key_sha256
                            << "\nplatform:\n  log: 127.0.0.1:" << m_log_port
                            << "\n  host_list: 127.0.0.1:" << m_hosts_port
                            << "\n  weight_store: 127.0.0.1:1\n";
        start("cicadaport-standin-log", {"--listen", "127.0.0.1:" + std::to_string(m_log_port)});
        start("cicadaport-standin-hosts",
              {"--listen", "127.0.0.1:" + std::to_string(m_hosts_port)});
        start("cicadaport-standin-engine",
              {"--listen", "127.0.0.2:" + std::to_string(m_engine_port), "--model", "m"});
        start("cicadaport-control", {"--settings", file});
        EXPECT_TRUE(
            eventually([&] { return call(m_hosts_port, "GET", "/v1/hosts").status == 200; }));
        EXPECT_TRUE(authority::testing::becomes_ready(*m_processes.back(), m_admin))
            << m_processes.back()->log();
        EXPECT_TRUE(eventually([&] { return publish(); }));
        EXPECT_TRUE(eventually([&] { return shown_condition() == "serving"; }));
    }

    ~leaving_endpoint_test() override
    {
        m_processes.clear();
        std::filesystem::remove_all(m_folder);
    }

    void start(const std::string& program, const std::vector<std::string>& arguments)
    {
        m_processes.push_back(std::make_unique<child_process>(
            program, arguments, std::vector<std::string>{}, m_folder + "/" + program + ".log"));
    }

    child_process& engine() { return *m_processes[2]; }

    bool publish() const
    {
        const json models{{"name", "models"},
                          {"based_on_offset", 0},
                          {"text", "models: [{name: m, version: \"1\"}]\n"}};
        const json endpoints{{"name", "endpoints"},
                             {"based_on_offset", 0},
                             {"text", "endpoints: [{name: e, kind: engine, serves: m, address: \""
                                      "127.0.0.2:" +
                                          std::to_string(m_engine_port) +
                                          "\", availability_zone: z}]\n"}};
        const json body{{"author", "test"}, {"sections", json::array({models, endpoints})}};
        return call(m_admin, "POST", "/v1/admin/configuration", body.dump()).status == 200;
    }

    std::string shown_condition() const
    {
        const auto reply = call(m_admin, "GET", "/v1/admin/endpoints");
        const auto list =
            reply.status == 200 ? json::parse(reply.body).at("endpoints") : json::array();
        return list.empty() ? "" : list[0].value("condition", "");
    }

    std::string m_folder =
        ::testing::TempDir() + "cicadaport-leaving-" + std::to_string(::getpid());
    std::uint16_t m_log_port = free_port();
    std::uint16_t m_hosts_port = free_port();
    std::uint16_t m_engine_port = free_port();
    std::uint16_t m_admin = free_port();
    std::vector<std::unique_ptr<child_process>> m_processes;
};

TEST_F(leaving_endpoint_test, a_leaving_host_is_folded_as_leaving_in_time_and_stays_so_without_list)
{
    call(m_hosts_port, "PUT", "/v1/hosts/127.0.0.2?state=leaving");
    EXPECT_TRUE(eventually([&] { return shown_condition() == "leaving"; }, no_new_work_after));
    call(m_hosts_port, "POST", "/v1/faults?outage=true");
    engine().signal(SIGSTOP);
    EXPECT_FALSE(eventually([&] { return shown_condition() != "leaving"; }, no_new_work_after));
}

TEST_F(leaving_endpoint_test, a_frozen_engine_goes_down_and_comes_back_without_an_operator)
{
    engine().signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return shown_condition() == "down"; }));
    engine().signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return shown_condition() == "serving"; }));
}

} // namespace
} // namespace cicadaport::membership
