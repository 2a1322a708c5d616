#include "cicadaport/membership/endpoint_monitor.h"

#include <gtest/gtest.h>

namespace cicadaport::membership {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Probes one endpoint every 500 ms on a simulated clock.
class endpoint_monitor_test : public testing::Test {
protected:
    void probe(bool answered, milliseconds during)
    {
        constexpr auto interval = 500ms;
        for (auto passed = 0ms; passed < during; passed += interval) {
            m_now += interval;
            m_monitor.note_probe(answered, m_now);
        }
    }

    endpoint_monitor m_monitor;
    endpoint_monitor::time_point m_now{1h};
};

TEST_F(endpoint_monitor_test, a_silent_endpoint_is_suspect_before_it_is_down)
{
    probe(false, 1'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::suspect);
    EXPECT_EQ(to_string(m_monitor.standing()), "serving") << "it still gets work";
    probe(false, 3'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::down);
}

TEST_F(endpoint_monitor_test, one_answer_does_not_bring_a_down_endpoint_back)
{
    probe(false, 4'000ms);
    probe(true, 500ms);
    EXPECT_EQ(m_monitor.standing(), condition::down);
    probe(true, 2'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::serving);
}

TEST_F(endpoint_monitor_test, an_endpoint_that_keeps_failing_must_answer_for_longer_each_time)
{
    probe(false, 4'000ms);
    probe(true, 3'000ms);
    probe(false, 4'000ms);
    probe(true, 3'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::down);
    probe(true, 2'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::serving);
}

TEST_F(endpoint_monitor_test, a_leaving_host_is_leaving_at_once_though_it_answers)
{
    probe(true, 500ms);
    m_monitor.note_listed(listed_state::leaving);
    EXPECT_EQ(m_monitor.standing(), condition::leaving);
    m_monitor.note_listed(listed_state::live);
    EXPECT_EQ(m_monitor.standing(), condition::serving);
}

TEST_F(endpoint_monitor_test, a_list_that_does_not_name_the_host_says_nothing)
{
    m_monitor.note_listed(listed_state::unknown);
    EXPECT_EQ(m_monitor.standing(), condition::serving);
    m_monitor.note_listed(listed_state::leaving);
    m_monitor.note_listed(listed_state::unknown);
    EXPECT_EQ(m_monitor.standing(), condition::leaving);
}

TEST_F(endpoint_monitor_test, a_new_watcher_starts_from_what_was_reported)
{
    m_monitor = endpoint_monitor{condition::down};
    EXPECT_EQ(m_monitor.standing(), condition::down);
    probe(true, 3'000ms);
    EXPECT_EQ(m_monitor.standing(), condition::serving);
}

} // namespace
} // namespace cicadaport::membership
