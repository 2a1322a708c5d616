#include "cicadaport/relay/process_table.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

namespace cicadaport::relay {
namespace {

using std::chrono_literals::operator""s;

protocol::process_status status(std::uint64_t offset, std::uint32_t age_ms)
{
    protocol::process_status out;
    out.set_id("entry-1");
    out.set_offset_in_force(offset);
    out.set_age_ms(age_ms);
    return out;
}

class process_table_test : public testing::Test {
protected:
    std::uint64_t shown_offset() const { return m_table.list(m_now).at(0).offset_in_force(); }

    process_table::clock::time_point m_now = process_table::clock::now();
    process_table m_table;
};

TEST_F(process_table_test, keeps_the_younger_of_two_words)
{
    m_table.note(status(2, 100), m_now);
    m_table.note(status(3, 50), m_now);
    EXPECT_EQ(shown_offset(), 3);
}

TEST_F(process_table_test, a_message_that_waited_through_a_pause_takes_nothing_back)
{
    m_table.note(status(2, 100), m_now);
    m_table.note(status(1, 0), m_now);
    EXPECT_EQ(shown_offset(), 2);
}

TEST_F(process_table_test, a_process_that_has_just_started_is_believed)
{
    m_table.note(status(2, 100), m_now);
    m_table.note(status(0, 0), m_now);
    EXPECT_EQ(shown_offset(), 0);
}

TEST_F(process_table_test, a_silent_process_is_forgotten)
{
    m_table.note(status(2, 0), m_now - process_table::forget_after - 1s);
    EXPECT_TRUE(m_table.list(m_now).empty());
}

TEST_F(process_table_test, passes_on_fields_that_it_does_not_know)
{
    constexpr int unknown_field = 900;
    protocol::process_status status;
    status.set_id("newer");
    auto* fields = status.GetReflection()->MutableUnknownFields(&status);
    fields->AddVarint(unknown_field, 7);
    process_table table;
    const auto now = process_table::clock::now();
    table.note(status, now);
    const auto passed_on = table.list(now).front();
    const auto& kept = passed_on.GetReflection()->GetUnknownFields(passed_on);
    ASSERT_EQ(kept.field_count(), 1);
    EXPECT_EQ(kept.field(0).varint(), 7U);
}

} // namespace
} // namespace cicadaport::relay
