#include "cicadaport/operator_tool/commands.h"

#include "cicadaport/http/server.h"
#include "cicadaport/operator_tool/table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace cicadaport::operator_tool {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using testing::HasSubstr;

// An administration API that answers what the test set.
class commands_test : public testing::Test {
public:
    ~commands_test() override
    {
        m_pool.stop();
        m_thread.join();
        std::filesystem::remove(m_file);
    }

protected:
    commands_test()
        : m_server{m_pool,
                   "127.0.0.1",
                   0,
                   {},
                   [this](std::size_t, const http::request& message,
                          http::response_writer& writer) { return answer(message, writer); }},
          m_thread{[this] { m_pool.run(); }}
    {
    }

    asio::awaitable<void> answer(const http::request& message, http::response_writer& writer)
    {
        const auto found = m_answers.find(message.method + " " + message.target);
        http::response reply{404, {}, "{}"};
        if (found != m_answers.end()) {
            reply = found->second;
        }
        co_await writer.send(std::move(reply));
    }

    void set_answer(const std::string& request, unsigned status, const json& body)
    {
        m_answers.insert_or_assign(request, http::response{status, {}, body.dump()});
    }

    std::string write_document(const std::string& text)
    {
        std::ofstream{m_file} << text;
        return m_file;
    }

    http::address address() const { return {"127.0.0.1", m_server.port()}; }

    std::map<std::string, http::response> m_answers;
    base::io_pool m_pool{1};
    http::server m_server;
    std::jthread m_thread;
    std::string m_file = (std::filesystem::temp_directory_path() /
                          ("commands_test-" + std::to_string(m_server.port()) + ".yaml"))
                             .string();
    admin_client m_admin{{{"127.0.0.1", 1}, address()}, "key"};
    std::ostringstream m_out;
    std::ostringstream m_errors;
    commands m_commands{m_admin, output_format::table, m_out, m_errors};
};

const json no_sections{{"offset", 0}, {"sections", json::array()}};

TEST_F(commands_test, a_refused_edit_shows_how_the_winner_differs)
{
    set_answer("GET /v1/admin/configuration", 200, no_sections);
    set_answer("POST /v1/admin/configuration", 409,
               {{"detail", "section models was changed at offset 7 by lan"},
                {"winner",
                 {{"section", "models"},
                  {"offset", 7},
                  {"author", "lan"},
                  {"text", "models: [{name: m, version: b}]\n"}}}});
    const auto file = write_document("models: [{name: m, version: c}]\n");
    EXPECT_EQ(m_commands.publish(file, "minh", std::chrono::seconds{0}), exit_refused);
    EXPECT_THAT(m_errors.str(),
                HasSubstr("refused: section models was changed at offset 7 by lan"));
    EXPECT_THAT(m_errors.str(), HasSubstr("--- models at offset 7 by lan"));
    EXPECT_THAT(m_errors.str(),
                HasSubstr("-models: [{name: m, version: b}]\n+models: [{name: m, version: c}]"));
}

TEST_F(commands_test, waiting_names_the_live_processes_that_lag)
{
    const auto process = [](const std::string& id, int offset, int age) {
        return json{{"id", id}, {"configuration_offset", offset}, {"age_ms", age}};
    };
    set_answer("GET /v1/admin/processes", 200,
               {{"offset", 9},
                {"processes", json::array({process("done", 9, 0), process("late", 8, 0),
                                           process("gone", 1, 9000)})}});
    EXPECT_EQ(m_commands.wait(9, std::chrono::seconds{0}), exit_not_in_force);
    EXPECT_EQ(m_errors.str(), "offset 9 is not in force at: late\n");
    EXPECT_EQ(m_commands.wait(8, std::chrono::seconds{0}), exit_done);
}

TEST_F(commands_test, a_difference_has_an_exit_code_of_its_own)
{
    const std::string text = "models: [{name: m, version: a}]\n";
    set_answer("GET /v1/admin/configuration", 200,
               {{"offset", 3},
                {"sections",
                 json::array(
                     {json{{"name", "models"}, {"offset", 3}, {"author", "a"}, {"text", text}}})}});
    EXPECT_EQ(m_commands.diff(write_document(text)), exit_done);
    EXPECT_EQ(m_commands.diff(write_document("models: [{name: m, version: b}]\n")), exit_refused);
    EXPECT_THAT(m_out.str(), HasSubstr("+models: [{name: m, version: b}]"));
}

TEST_F(commands_test, roles_are_shown_as_the_holder_of_each_partition_tells_them)
{
    const json change{{"engine", "d1"},      {"from", "decode"},      {"to", "prefill"},
                      {"age_s", 3},          {"lost_requests", 21.0}, {"price_requests", 20.0},
                      {"predicted_gain", 2}, {"outcome", "applied"},  {"gained_requests", 6.0},
                      {"watched_s", 3.0}};
    const json known{{"partition", "m/default"},
                     {"policy", "rent_or_buy"},
                     {"holder", "control-2#1"},
                     {"decided_here", true},
                     {"price_requests", 20.0},
                     {"offered", {{"requests_per_second", 40}, {"prefill", 3}, {"decode", 1}}},
                     {"serving", {{"mixed", 0}, {"prefill", 3}, {"decode", 1}}},
                     {"lost_to_prefill", 4.5},
                     {"lost_to_decode", 0},
                     {"held_back", "the floor of decode engines is reached"},
                     {"changes", json::array({change})}};
    const json unknown{{"partition", "n/default"},
                       {"policy", "rent_or_buy"},
                       {"holder", "control-3#1"},
                       {"decided_here", false}};
    const json wish{{"engine", "d2"}, {"wish", "mixed"}, {"waits_for", "a spare engine"}};
    set_answer("GET /v1/admin/roles", 200,
               {{"roles", json::array({known, unknown})}, {"wishes", json::array({wish})}});
    EXPECT_EQ(m_commands.roles(), exit_done);
    EXPECT_THAT(m_out.str(), HasSubstr("the floor of decode engines is reached"));
    EXPECT_THAT(m_out.str(), HasSubstr("unknown: ask the holder's process"));
    EXPECT_THAT(m_out.str(), HasSubstr("applied"));
    EXPECT_THAT(m_out.str(), HasSubstr("a spare engine"));
}

TEST_F(commands_test, no_answer_from_any_address_names_them_all)
{
    admin_client nobody{{{"127.0.0.1", 1}, {"127.0.0.2", 1}}, "key"};
    try {
        nobody.call("GET", "processes");
        ADD_FAILURE() << "somebody answered";
    }
    catch (const http::exchange_error& error) {
        EXPECT_THAT(error.what(), HasSubstr("127.0.0.1:1: "));
        EXPECT_THAT(error.what(), HasSubstr("127.0.0.2:1: "));
    }
}

TEST(table_test, aligns_its_columns)
{
    const json list{{{"id", "a"}, {"offset", 7}}, {{"id", "control-1"}, {"offset", 12}}};
    EXPECT_EQ(format_table(list), "id         offset\na               7\ncontrol-1      12\n");
}

} // namespace
} // namespace cicadaport::operator_tool
