#include "cicadaport/claims/claim_index.h"

#include <claims.pb.h>
#include <gtest/gtest.h>

namespace cicadaport::claims {
namespace {

constexpr std::chrono::milliseconds retention{1'000};

protocol::claim_record made(const std::string& id, std::int64_t at_ms,
                            const std::string& request = "r")
{
    protocol::claim_record out;
    out.set_claim_id(id);
    out.set_key("key");
    out.set_at_ms(at_ms);
    out.mutable_made()->set_request(request);
    return out;
}

protocol::claim_record ended(const std::string& id, const std::string& body)
{
    protocol::claim_record out;
    out.set_claim_id(id);
    out.set_key("key");
    out.mutable_ended()->set_body(body);
    return out;
}

protocol::claim_record released(const std::string& id)
{
    protocol::claim_record out;
    out.set_claim_id(id);
    out.set_key("key");
    out.mutable_released();
    return out;
}

class claim_index_test : public testing::Test {
protected:
    claim_index m_index{retention};
    std::string holder() const
    {
        const auto* found = m_index.find("key");
        return found == nullptr ? "" : found->claim_id;
    }
};

TEST_F(claim_index_test, the_first_claim_in_log_order_wins_regardless_of_its_time)
{
    m_index.apply(made("a", 200));
    m_index.apply(made("b", 100));
    EXPECT_EQ(holder(), "a");
}

TEST_F(claim_index_test, a_claim_holds_its_key_for_the_retention_time_and_no_longer)
{
    m_index.apply(made("a", 100));
    m_index.apply(made("b", 1'100));
    EXPECT_EQ(holder(), "a") << "the end is inclusive";
    m_index.apply(made("c", 1'101));
    EXPECT_EQ(holder(), "c");
}

TEST_F(claim_index_test, only_the_holder_can_record_an_answer)
{
    m_index.apply(made("a", 100));
    m_index.apply(ended("b", "late"));
    EXPECT_FALSE(m_index.find("key")->answer);
    m_index.apply(ended("a", "mine"));
    EXPECT_EQ(m_index.find("key")->answer->body, "mine");
}

TEST_F(claim_index_test, a_released_key_can_be_claimed_again)
{
    m_index.apply(made("a", 100));
    m_index.apply(released("b"));
    EXPECT_EQ(holder(), "a") << "a release by another claim has no effect";
    m_index.apply(released("a"));
    m_index.apply(made("b", 101));
    EXPECT_EQ(holder(), "b");
}

TEST_F(claim_index_test, a_claim_that_ended_is_not_released)
{
    m_index.apply(made("a", 100));
    m_index.apply(ended("a", "mine"));
    m_index.apply(released("a"));
    EXPECT_EQ(holder(), "a");
}

TEST_F(claim_index_test, a_record_seen_twice_changes_nothing)
{
    m_index.apply(made("a", 100));
    m_index.apply(ended("a", "mine"));
    m_index.apply(made("a", 100));
    EXPECT_EQ(m_index.find("key")->answer->body, "mine");
}

TEST_F(claim_index_test, removes_claims_long_after_their_retention)
{
    m_index.apply(made("a", 100));
    auto other = made("b", 100 + 3 * retention.count());
    other.set_key("other");
    m_index.apply(other);
    EXPECT_EQ(m_index.size(), 1U);
}

} // namespace
} // namespace cicadaport::claims
