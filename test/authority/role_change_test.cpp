// Tests role control with running processes: a stand-in for an entry process
// reports the offered work, and the tests read the resulting orders from the
// engines' records.
#include "authority/control_fixture.h"
#include "authority/order_record.h"

#include "cicadaport/fold/replica.h"
#include "cicadaport/relay/follower.h"
#include "cicadaport/roles/offered_message.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

#include <csignal>
#include <map>
#include <mutex>

namespace cicadaport::authority::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double price = 20;
// Two engines of each role serve two thirds of this work; three engines of the
// role in demand and one of the other serve all of it.
const roles::offered_work long_prompts{40, 3.0, 0.5};
const roles::offered_work long_answers{40, 0.5, 3.0};
// Much longer than the losses under `long_prompts` take to reach `price`.
constexpr seconds settling_time{5};

roles::token_rates rates_of(const roles::offered_work& work)
{
    const auto unit = roles::to_offered_work({1, 1, 1}, routing::engine_speed{});
    return {work.requests_per_second, work.prefill / unit.prefill, work.decode / unit.decode};
}

// An entry process that follows the control processes and reports offered work.
class simulated_entry {
public:
    simulated_entry(std::vector<http::address> relays, std::string id)
        : m_id{std::move(id)}, m_follower{std::move(relays), m_log, m_processes,
                                          [this] { return status(); }}
    {
    }

    void offer(const roles::offered_work& work)
    {
        const std::scoped_lock lock{m_mutex};
        m_offers = {{"m", rates_of(work)}};
    }

private:
    protocol::process_status status()
    {
        protocol::process_status out;
        out.set_id(m_id);
        out.set_kind("entry");
        out.set_offset_in_force(m_log.offset());
        const std::scoped_lock lock{m_mutex};
        roles::write_offers(m_offers, out);
        return out;
    }

    std::string m_id;
    std::mutex m_mutex;
    std::vector<roles::model_offer> m_offers;
    fold::replica m_log;
    relay::process_table m_processes;
    relay::follower m_follower;
};

// Has two prefill and two decode engines.
class role_change_test : public control_fixture {
protected:
    struct test_engine {
        std::string role;
        std::uint16_t port = free_port();
        std::unique_ptr<child_process> process;
    };

    role_change_test()
    {
        for (const auto* name : {"d1", "d2", "p1", "p2"}) {
            m_engines[name].role = name[0] == 'd' ? "decode" : "prefill";
            start_engine(name);
        }
    }

    void start_engine(const std::string& name)
    {
        auto& one = m_engines.at(name);
        one.process = start("cicadaport-standin-engine",
                            {"--listen", address(one.port), "--model", "m", "--role", one.role,
                             "--change-ms", "100"},
                            {}, name);
        EXPECT_TRUE(eventually([&] { return call(one.port, "GET", "/v1/load").status == 200; }));
    }

    void publish(const std::string& policy, unsigned least_replicas = 0) const
    {
        std::ostringstream engine_roles;
        engine_roles << "engine_roles: {policy: " << policy << ", change_price_requests: " << price
                     << ", change_time_ms: 500}\n";
        std::ostringstream models;
        models << "models: [{name: m, version: \"1\", least_replicas: " << least_replicas << "}]\n";
        std::string endpoints = "endpoints:\n";
        for (const auto& [name, one] : m_engines) {
            endpoints += "  - {name: " + name + ", kind: engine, serves: m, address: \"" +
                         address(one.port) + "\", availability_zone: z, role: " + one.role + "}\n";
        }
        auto sections = json::array();
        const auto add = [&](const std::string& name, const std::string& text) {
            sections.push_back({{"name", name}, {"based_on_offset", 0}, {"text", text}});
        };
        add("models", models.str());
        add("engine_roles", engine_roles.str());
        add("endpoints", endpoints);
        const json body{{"author", "test"}, {"sections", sections}};
        const auto reply = call(m_first.admin, "POST", "/v1/admin/configuration", body.dump());
        EXPECT_EQ(reply.status, 200U) << reply.body;
    }

    // Starts both control processes, the first one as the holder.
    void start_both(const std::string& policy, std::vector<std::string> environment = {},
                    unsigned least_replicas = 0)
    {
        start_control(m_first, m_second, "first", std::move(environment));
        publish(policy, least_replicas);
        EXPECT_TRUE(eventually([&] { return holds("first", m_first); }));
        start_control(m_second, m_first, "second", {});
        m_entry = std::make_unique<simulated_entry>(
            std::vector<http::address>{{"127.0.0.1", m_first.relay}, {"127.0.0.1", m_second.relay}},
            "entry-1");
    }

    static void wish_role(const control& through, const std::string& engine,
                          const std::string& role)
    {
        const auto target = "/v1/admin/endpoints/" + engine + "/role?role=" + role;
        EXPECT_TRUE(eventually([&] { return call(through.admin, "POST", target).status == 200; }));
    }

    json record_of(const std::string& engine) const
    {
        const auto reply = call(m_engines.at(engine).port, "GET", "/v1/orders");
        return reply.status == 200 ? json::parse(reply.body) : json{{"orders", json::array()}};
    }

    bool has_role(const std::string& engine, const std::string& role) const
    {
        const auto record = record_of(engine);
        return record.value("role", "") == role && !record.value("changing", true);
    }

    // Returns the number of engines that report `role` and are not changing.
    std::size_t count_in(const std::string& role) const
    {
        std::size_t out = 0;
        for (const auto& [name, one] : m_engines) {
            out += has_role(name, role) ? 1 : 0;
        }
        return out;
    }

    // Returns the number of accepted orders in the records of all engines.
    std::size_t count_orders() const
    {
        std::size_t out = 0;
        for (const auto& [name, one] : m_engines) {
            const auto record = record_of(name);
            for (const auto& each : record.at("orders")) {
                out += each.at("accepted").get<bool>() ? 1 : 0;
            }
        }
        return out;
    }

    void expect_no_conflict() const
    {
        for (const auto& [name, one] : m_engines) {
            EXPECT_TRUE(conflicting_orders(record_of(name)).empty()) << record_of(name);
        }
    }

    // Returns the process's report on the partition; empty if it has none.
    static json roles_at(const control& process)
    {
        const auto reply = call(process.admin, "GET", "/v1/admin/roles");
        const auto body = json::parse(reply.body, nullptr, false);
        return body.is_object() && !body.at("roles").empty() ? body.at("roles")[0] : json::object();
    }

    // Returns whether the process reports its newest change as applied.
    static bool has_applied_change(const control& process)
    {
        const auto changes = roles_at(process).value("changes", json::array());
        return !changes.empty() && changes[0].at("outcome") == "applied";
    }

    bool has_received_offer(const control& process, const roles::offered_work& work) const
    {
        const auto seen = roles_at(process);
        return seen.contains("offered") &&
               seen.at("offered").at("prefill").get<double>() > work.prefill / 2 &&
               seen.at("offered").at("decode").get<double>() > work.decode / 2;
    }

    std::map<std::string, test_engine> m_engines;
    std::unique_ptr<simulated_entry> m_entry;
};

TEST_F(role_change_test, a_shift_of_the_offered_work_changes_an_engine_to_the_role_in_demand)
{
    start_both("rent_or_buy");
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] { return count_in("prefill") == 3; })) << m_first.process->log();
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(count_orders(), 1U) << "one decode engine has to stay";
    const auto change = roles_at(m_first).at("changes").at(0);
    EXPECT_EQ(change.at("outcome"), "applied");
    EXPECT_GE(change.at("lost_requests").get<double>(), price);
    EXPECT_GT(change.at("gained_requests").get<double>(), 0);
    m_entry->offer(long_answers);
    EXPECT_TRUE(eventually([&] { return count_in("decode") == 3; })) << m_first.process->log();
    EXPECT_EQ(count_orders(), 3U);
    expect_no_conflict();
}

TEST_F(role_change_test, the_never_policy_changes_no_role)
{
    start_both("never");
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] { return has_received_offer(m_first, long_prompts); }));
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(count_orders(), 0U);
}

TEST_F(role_change_test, a_holder_frozen_with_a_proposal_adds_no_change)
{
    start_both("rent_or_buy", {"CICADAPORT_UNSAFE_PAUSE_AT=before_announcement"});
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] { return m_first.process->is_stopped(); }));
    EXPECT_TRUE(eventually([&] { return has_applied_change(m_second); }))
        << m_second.process->log();
    m_first.process->signal(SIGCONT);
    EXPECT_TRUE(eventually([&] {
        return m_first.process->log().find("proposal_refused") != std::string::npos;
    })) << "ended: "
        << m_first.process->has_ended() << "\n"
        << m_first.process->log();
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(count_orders(), 1U);
    EXPECT_GE(roles_at(m_second).at("changes").at(0).at("lost_requests").get<double>(), price)
        << "the new holder counts only losses that it observed itself";
    expect_no_conflict();
}

TEST_F(role_change_test, a_successor_settles_the_change_of_a_holder_frozen_before_the_order)
{
    start_both("rent_or_buy", {"CICADAPORT_UNSAFE_PAUSE_AT=after_check"});
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] { return m_first.process->is_stopped(); }));
    EXPECT_TRUE(eventually([&] { return count_in("prefill") == 3; })) << m_second.process->log();
    m_first.process->signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return m_first.process->has_ended(); }));
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(count_orders(), 1U);
    expect_no_conflict();
}

TEST_F(role_change_test, an_engine_that_crashes_in_its_change_ends_in_the_ordered_role)
{
    for (const auto* name : {"d1", "d2"}) {
        call(m_engines.at(name).port, "POST", "/v1/faults?crash_in_change=true");
    }
    start_both("rent_or_buy");
    m_entry->offer(long_prompts);
    std::string crashed;
    EXPECT_TRUE(eventually([&] {
        for (auto& [name, one] : m_engines) {
            crashed = one.process->has_ended() ? name : crashed;
        }
        return !crashed.empty();
    })) << m_first.process->log();
    EXPECT_TRUE(eventually([&] {
        return roles_at(m_first).at("changes").at(0).at("outcome") == "engine_lost";
    })) << roles_at(m_first);
    ASSERT_FALSE(crashed.empty());
    start_engine(crashed);
    EXPECT_TRUE(eventually([&] { return has_role(crashed, "prefill"); }));
    EXPECT_EQ(count_in("decode"), 1U) << "the last decode engine has to stay";
    expect_no_conflict();
}

TEST_F(role_change_test, an_engine_with_a_role_set_by_an_operator_is_not_changed)
{
    start_both("rent_or_buy");
    wish_role(m_second, "d1", "decode");
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] { return has_role("d2", "prefill"); })) << m_first.process->log();
    EXPECT_TRUE(record_of("d1").at("orders").empty());
}

TEST_F(role_change_test, an_operators_role_wins_over_a_concurrent_proposal)
{
    start_both("rent_or_buy");
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually(
        [&] { return m_first.process->log().find("role_change ") != std::string::npos; }));
    for (const auto* name : {"d1", "d2"}) {
        wish_role(m_second, name, "decode");
    }
    std::this_thread::sleep_for(settling_time);
    EXPECT_TRUE(eventually([&] { return count_in("decode") == 2; })) << m_first.process->log();
    const auto orders = count_orders();
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(count_orders(), orders) << "the controller must not change the roles again";
    expect_no_conflict();
}

TEST_F(role_change_test, a_change_without_a_spare_engine_is_held_back_and_shown)
{
    start_both("rent_or_buy", {}, 4);
    m_entry->offer(long_prompts);
    EXPECT_TRUE(eventually([&] {
        return roles_at(m_first).value("held_back", "").find("spare") != std::string::npos;
    })) << roles_at(m_first);
    wish_role(m_first, "d1", "mixed");
    EXPECT_TRUE(eventually([&] {
        const auto reply = call(m_second.admin, "GET", "/v1/admin/roles");
        const auto wishes = json::parse(reply.body).at("wishes");
        return !wishes.empty() && wishes[0].at("engine") == "d1" &&
               wishes[0].at("waits_for").get<std::string>().find("spare") != std::string::npos;
    }));
    EXPECT_EQ(count_orders(), 0U);
}

} // namespace
} // namespace cicadaport::authority::testing
