#include "cicadaport/roles/offered_message.h"

#include <gtest/gtest.h>
#include <peer.pb.h>

namespace cicadaport::roles {
namespace {

constexpr std::uint32_t live_age_ms = 4'000;

protocol::process_status make_entry(const std::string& id, const std::vector<model_offer>& offers)
{
    protocol::process_status out;
    out.set_id(id);
    out.set_kind("entry");
    write_offers(offers, out);
    return out;
}

TEST(offered_message_test, offers_survive_serialization)
{
    const auto sent = make_entry("e", {{"a", {12.5, 8'000, 900}}, {"b", {1, 70, 30}}});
    protocol::process_status read;
    ASSERT_TRUE(read.ParseFromString(sent.SerializeAsString()));
    const auto offers = read_offers(read);
    ASSERT_EQ(offers.size(), 2U);
    EXPECT_EQ(offers[0].model, "a");
    EXPECT_DOUBLE_EQ(offers[0].rates.requests, 12.5);
    EXPECT_DOUBLE_EQ(offers[0].rates.prefill, 8'000);
    EXPECT_DOUBLE_EQ(offers[0].rates.output, 900);
    EXPECT_EQ(offers[1].model, "b");
}

TEST(offered_message_test, adds_few_bytes_to_a_status_message)
{
    constexpr std::size_t max_bytes = 32;
    const std::string model = "a";
    const auto without = make_entry("e", {}).ByteSizeLong();
    const auto with = make_entry("e", {{model, {9'999, 5e6, 5e6}}}).ByteSizeLong();
    EXPECT_LE(with - without, max_bytes + model.size());
}

TEST(offered_message_test, sums_live_entry_processes_and_no_others)
{
    std::vector<protocol::process_status> all{
        make_entry("one", {{"a", {10, 100, 10}}}), make_entry("two", {{"a", {5, 50, 5}}}),
        make_entry("silent", {{"a", {7, 70, 7}}}), make_entry("control", {{"a", {3, 30, 3}}})};
    all[2].set_age_ms(live_age_ms + 1);
    all[3].set_kind("control");
    const auto sums = sum_offers(all, live_age_ms);
    EXPECT_DOUBLE_EQ(sums.at("a").requests, 15);
    EXPECT_DOUBLE_EQ(sums.at("a").prefill, 150);
    EXPECT_DOUBLE_EQ(sums.at("a").output, 15);
}

} // namespace
} // namespace cicadaport::roles
