#include "cicadaport/settings/process_settings.h"

#include "cicadaport/yaml/reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace cicadaport::settings {
namespace {

using testing::HasSubstr;

class process_settings_test : public testing::Test {
protected:
    ~process_settings_test() override { std::filesystem::remove(m_file); }

    std::string write(const std::string& text)
    {
        std::ofstream{m_file} << text;
        return m_file;
    }

    std::string problems_of(const std::string& text)
    {
        try {
            read_control_settings(write(text));
        }
        catch (const yaml::document_error& error) {
            return error.what();
        }
        return {};
    }

    std::string m_file = (std::filesystem::temp_directory_path() /
                          ("process_settings_test-" + std::to_string(getpid()) + ".yaml"))
                             .string();
};

const std::string good_settings = R"(id: control-1
availability_zone: a
admin_address: 127.0.0.1:9201
relay_address: 127.0.0.1:9301
peers: [127.0.0.2:9301]
platform: {log: 127.0.0.1:1, host_list: 127.0.0.1:2, weight_store: 127.0.0.1:3}
operator_key_sha256: aa
)";

TEST_F(process_settings_test, reads_the_settings_of_a_control_process)
{
    const auto settings = read_control_settings(write(good_settings));
    EXPECT_EQ(settings.common.id, "control-1");
    EXPECT_EQ(settings.peers.front(), (http::address{"127.0.0.2", 9'301}));
    EXPECT_EQ(settings.platform.weight_store.port, 3);
}

TEST_F(process_settings_test, names_the_place_of_every_problem_at_once)
{
    const auto problems = problems_of(good_settings + "lease_time_ms: 1\nno_such_field: 2\n");
    EXPECT_THAT(problems, HasSubstr(m_file + ":8:"));
    EXPECT_THAT(problems, HasSubstr("lease_time_ms: expected"));
    EXPECT_THAT(problems, HasSubstr(m_file + ":9:"));
    EXPECT_THAT(problems, HasSubstr("no_such_field"));
}

TEST_F(process_settings_test, an_entry_process_needs_a_relay)
{
    const auto file = write("availability_zone: a\nadmin_address: 127.0.0.1:1\n"
                            "caller_address: 127.0.0.1:2\n");
    EXPECT_THROW(read_entry_settings(file), yaml::document_error);
}

} // namespace
} // namespace cicadaport::settings
