#include "cicadaport/serving/duty_news.h"

#include "news.pb.h"

#include <gmock/gmock.h>

namespace cicadaport::serving {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Pair;

duty_news make_news()
{
    duty_news out;
    out.time_of_day = duties::time_of_day{1'796'545'789'123ms};
    out.reported = reported_usage{353'445'120, 17, true};
    out.usage.emplace_back(353'445'121, duties::account_counts{{"a", 3}, {"b", 400}});
    out.receipts.push_back({353'445'119, 12});
    return out;
}

TEST(duty_news_test, what_is_encoded_is_read_again)
{
    const auto read = decode_duty_news(encode(make_news()));
    EXPECT_EQ(read.time_of_day, make_news().time_of_day);
    ASSERT_TRUE(read.reported);
    EXPECT_EQ(read.reported->window, 353'445'120U);
    EXPECT_EQ(read.reported->record, 17U);
    EXPECT_TRUE(read.reported->delivered);
    ASSERT_EQ(read.usage.size(), 1U);
    EXPECT_EQ(read.usage[0].first, 353'445'121U);
    EXPECT_THAT(read.usage[0].second, ElementsAre(Pair("a", 3), Pair("b", 400)));
    ASSERT_EQ(read.receipts.size(), 1U);
    EXPECT_EQ(read.receipts[0].runs, 12U);
}

TEST(duty_news_test, a_report_is_read_with_its_epoch_or_without_a_record)
{
    duty_news news;
    news.reported = reported_usage{5, 17, true, 3};
    EXPECT_EQ(decode_duty_news(encode(news)).reported->epoch, 3U);
    news.reported = reported_usage{5, std::nullopt, true};
    const auto read = decode_duty_news(encode(news));
    EXPECT_EQ(read.reported->window, 5U);
    EXPECT_FALSE(read.reported->record);
    EXPECT_FALSE(read.reported->epoch);
    const auto record = decode_duty_record(encode_duty_record({"a", "x", 0, 4}), 5);
    EXPECT_EQ(record->epoch, 4U);
}

// Guards against hosts that do not know the fields and drop them when they pass a message on.
TEST(duty_news_test, a_host_that_does_not_know_the_fields_reads_and_passes_on_the_message)
{
    protocol::host_news sent;
    sent.set_sender(7);
    sent.set_zone(9);
    ASSERT_TRUE(sent.MergeFromString(encode(make_news())));
    protocol::host_news received;
    ASSERT_TRUE(received.ParseFromString(sent.SerializeAsString()));
    EXPECT_EQ(received.sender(), 7U);
    EXPECT_EQ(received.zone(), 9U);
    const auto read = decode_duty_news(received.SerializeAsString());
    EXPECT_EQ(read.time_of_day, make_news().time_of_day);
    EXPECT_EQ(read.usage.size(), 1U);
}

TEST(duty_news_test, a_message_that_is_cut_short_states_nothing)
{
    const auto whole = encode(make_news());
    for (std::size_t size = 1; size < whole.size(); ++size) {
        const auto read = decode_duty_news(std::string_view{whole}.substr(0, size));
        EXPECT_TRUE(read.receipts.empty());
    }
    EXPECT_THAT(decode_duty_news("\xff\xff\xff").usage, IsEmpty());
}

TEST(duty_news_test, a_record_holds_the_holder_and_any_bytes)
{
    const std::string content{"{\"x\":\"\0\xff\"}", 10};
    const auto record = decode_duty_record(encode_duty_record({"host-1", content}), 5);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->holder, "host-1");
    EXPECT_EQ(record->content, content);
    EXPECT_EQ(record->offset, 5U);
    EXPECT_FALSE(decode_duty_record("\x0a\x7f", 5));
}

} // namespace
} // namespace cicadaport::serving
