#include "cicadaport/base/digest.h"
#include "cicadaport/control/admin_api.h"
#include "cicadaport/operator_tool/commands.h"
#include "cicadaport/shared_log/tailer.h"
#include "cicadaport/standins/log_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <record.pb.h>
#include <state.pb.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace cicadaport::operator_tool {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;
using testing::HasSubstr;

constexpr char operator_key[] = "key";

// A control process's administration API over a log stand-in, all in this
// process. An edit of a rival can be accepted between an operator's read of
// the configuration and the publishing.
class publish_test : public testing::Test {
protected:
    publish_test()
        : m_log_server{m_pool,
                       "127.0.0.1",
                       0,
                       {},
                       [this](std::size_t, const http::request& message,
                              http::response_writer& writer) {
                           return m_log_service.handle(message, writer);
                       }},
          m_admin_server{m_pool,
                         "127.0.0.1",
                         0,
                         {},
                         [this](std::size_t, const http::request& message,
                                http::response_writer& writer) { return answer(message, writer); }}
    {
        asio::co_spawn(m_pool.context(0), m_tailer.run(), asio::detached);
        m_thread = std::jthread{[this] { m_pool.run(); }};
    }

    ~publish_test() override
    {
        m_pool.stop();
        m_thread.join();
        std::filesystem::remove(m_file);
    }

    asio::awaitable<void> answer(const http::request& message, http::response_writer& writer)
    {
        if (message.method == "POST" && !m_rival_text.empty()) {
            protocol::record record;
            record.set_author("rival");
            record.mutable_edit()->set_schema_version(configuration::schema_version);
            auto& section = *record.mutable_edit()->add_sections();
            section.set_section("models");
            section.set_text(m_rival_text);
            m_rival_text.clear();
            co_await m_proposals.propose(std::move(record));
        }
        co_await m_api.handle(message, writer);
    }

    int publish(const std::string& text)
    {
        std::ofstream{m_file} << text;
        return m_commands.publish(m_file, "lan", seconds{0});
    }

    void set_log_fault(const std::string& faults)
    {
        asio::io_context context;
        http::client sender{context};
        http::request message{"POST", "/v1/faults?" + faults, {}, {}};
        asio::co_spawn(context, sender.exchange(m_log_address, std::move(message)),
                       [](const std::exception_ptr&, const http::response&) {});
        context.run();
    }

    base::io_pool m_pool{1};
    standins::log_service m_log_service{m_pool.context(0)};
    http::server m_log_server;
    http::address m_log_address{"127.0.0.1", m_log_server.port()};
    fold::replica m_replica;
    relay::process_table m_processes;
    shared_log::log_client m_tail_log{m_pool.context(0), m_log_address, "s"};
    shared_log::log_client m_append_log{m_pool.context(0), m_log_address, "s"};
    shared_log::tailer m_tailer{m_tail_log, m_replica};
    shared_log::proposer m_proposals{m_pool.context(0), m_append_log, m_replica, "control"};
    control::admin_api m_api{m_replica, m_processes, m_proposals, base::sha256_hex(operator_key)};
    std::string m_rival_text;
    http::server m_admin_server;
    std::jthread m_thread;
    std::string m_file = (std::filesystem::temp_directory_path() /
                          ("publish_test-" + std::to_string(m_admin_server.port()) + ".yaml"))
                             .string();
    std::ostringstream m_out;
    std::ostringstream m_errors;
    admin_client m_admin{{{"127.0.0.1", m_admin_server.port()}}, operator_key};
    commands m_commands{m_admin, output_format::table, m_out, m_errors};
};

TEST_F(publish_test, of_racing_operators_one_is_accepted_and_the_other_sees_the_difference)
{
    m_rival_text = "models: [{name: m, version: b}]\n";
    EXPECT_EQ(publish("models: [{name: m, version: c}]\n"), exit_refused);
    EXPECT_THAT(m_errors.str(), HasSubstr("section models was changed at offset 1 by rival"));
    EXPECT_THAT(m_errors.str(), HasSubstr("-models: [{name: m, version: b}]\n"
                                          "+models: [{name: m, version: c}]\n"));
    EXPECT_EQ(m_replica.copy().document()->find_model("m")->version, "b");
    EXPECT_EQ(publish("models: [{name: m, version: c}]\n"), exit_done) << "after reading again";
}

TEST_F(publish_test, an_edit_whose_answers_are_all_lost_is_accepted_once)
{
    set_log_fault("lose_answers=1.0");
    EXPECT_EQ(publish("models: [{name: m, version: a}]\n"), exit_done);
    EXPECT_EQ(m_out.str(), "accepted at offset 1\n");
    EXPECT_EQ(m_replica.copy().message().recent_edits_size(), 1);
}

TEST_F(publish_test, an_outage_leaves_the_configuration_as_it_was)
{
    EXPECT_EQ(publish("models: [{name: m, version: a}]\n"), exit_done);
    set_log_fault("outage=true");
    EXPECT_EQ(publish("models: [{name: m, version: b}]\n"), exit_failed);
    EXPECT_EQ(m_commands.show("models"), exit_done);
    EXPECT_THAT(m_out.str(),
                HasSubstr("# models: offset 1 by lan\nmodels: [{name: m, version: a}]"));
}

TEST_F(publish_test, publishing_again_what_is_in_force_appends_nothing)
{
    EXPECT_EQ(publish("models: [{name: m, version: a}]\n"), exit_done);
    EXPECT_EQ(publish("models: [{name: m, version: a}]\n"), exit_done);
    EXPECT_THAT(m_out.str(), HasSubstr("nothing to publish"));
    EXPECT_EQ(m_replica.offset(), 1U);
}

} // namespace
} // namespace cicadaport::operator_tool
