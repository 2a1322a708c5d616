#include "cicadaport/control/metrics.h"

#include "cicadaport/relay/log_readers.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <peer.pb.h>
#include <platform.pb.h>
#include <record.pb.h>

namespace cicadaport::control {
namespace {

using testing::HasSubstr;
using testing::Not;
using std::chrono_literals::operator""ms;

class metrics_test : public testing::Test {
protected:
    void append(protocol::record record)
    {
        record.set_append_id("append-" + std::to_string(++m_offset));
        record.set_author("test");
        std::vector<protocol::log_entry> entries(1);
        entries[0].set_offset(m_offset);
        entries[0].set_payload(record.SerializeAsString());
        m_replica.apply(entries);
    }

    void publish_two_engines()
    {
        protocol::record record;
        auto& edit = *record.mutable_edit();
        edit.set_schema_version(configuration::schema_version);
        auto& models = *edit.add_sections();
        models.set_section("models");
        models.set_text("models: [{name: m, version: \"1\"}]\n");
        auto& endpoints = *edit.add_sections();
        endpoints.set_section("endpoints");
        endpoints.set_text("endpoints:\n"
                           "  - {name: a, kind: engine, serves: m, address: \"127.0.0.1:1\", "
                           "availability_zone: z}\n"
                           "  - {name: b, kind: engine, serves: m, address: \"127.0.0.1:2\", "
                           "availability_zone: z}\n");
        append(record);
    }

    void drain(bool drained)
    {
        protocol::record record;
        record.mutable_endpoint_wish()->set_endpoint("a");
        record.mutable_endpoint_wish()->set_drain(drained);
        append(record);
    }

    std::uint64_t m_offset = 0;
    fold::replica m_replica;
    relay::process_table m_processes;
    metrics m_metrics{m_replica, m_processes};
};

TEST_F(metrics_test, endpoints_are_counted_by_condition_and_none_is_counted_twice)
{
    publish_two_engines();
    EXPECT_THAT(m_metrics.expose(0ms),
                HasSubstr("cicadaport_endpoints{condition=\"serving\",serves=\"m\"} 2"));
    drain(true);
    const auto drained = m_metrics.expose(0ms);
    EXPECT_THAT(drained, HasSubstr("cicadaport_endpoints{condition=\"drained\",serves=\"m\"} 1"));
    EXPECT_THAT(drained, HasSubstr("cicadaport_endpoints{condition=\"serving\",serves=\"m\"} 1"));
    drain(false);
    EXPECT_THAT(m_metrics.expose(0ms),
                HasSubstr("cicadaport_endpoints{condition=\"drained\",serves=\"m\"} 0"));
}

TEST_F(metrics_test, progress_is_that_of_the_fold)
{
    publish_two_engines();
    drain(true);
    const auto text = m_metrics.expose(1'500ms);
    EXPECT_THAT(text, HasSubstr("cicadaport_fold_offset 2\n"));
    EXPECT_THAT(text, HasSubstr("cicadaport_configuration_offset 1\n"));
    EXPECT_THAT(text, HasSubstr("cicadaport_log_contact_age_seconds 1.5\n"));
}

TEST_F(metrics_test, a_process_that_falls_silent_is_counted_as_silent)
{
    protocol::process_status status;
    status.set_id("entry-1");
    status.set_kind("entry");
    m_processes.note(status, relay::process_table::clock::now());
    EXPECT_THAT(m_metrics.expose(0ms),
                HasSubstr("cicadaport_processes{kind=\"entry\",state=\"live\"} 1"));
    status.set_id("entry-2");
    const auto silent_for = relay::live_age + 1'000ms;
    m_processes.note(status, relay::process_table::clock::now() - silent_for);
    EXPECT_THAT(m_metrics.expose(0ms),
                HasSubstr("cicadaport_processes{kind=\"entry\",state=\"silent\"} 1"));
}

} // namespace
} // namespace cicadaport::control
