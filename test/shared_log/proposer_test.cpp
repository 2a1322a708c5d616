#include "cicadaport/shared_log/proposer.h"

#include "shared_log/log_fixture.h"

#include <state.pb.h>

namespace cicadaport::shared_log {
namespace {

class proposer_test : public log_fixture {
protected:
    proposer_test() { boost::asio::co_spawn(m_context, m_tailer.run(), boost::asio::detached); }

    static protocol::record claim(const std::string& partition)
    {
        protocol::record out;
        out.mutable_claim_lease()->set_partition(partition);
        return out;
    }

    // Returns what the error of a failed proposal says of its effect.
    base::verdict outcome_of(protocol::record record)
    {
        try {
            await(m_proposals.propose(std::move(record)));
        }
        catch (const log_error& error) {
            return error.outcome();
        }
        return base::verdict::ran;
    }

    bool m_reads = true;
    fold::replica m_replica;
    log_client m_tail_log{m_context, address(), "s"};
    tailer m_tailer{m_tail_log, m_replica, [this] { return m_reads; }};
    proposer m_proposals{m_context, m_log, m_replica, "me"};
};

TEST_F(proposer_test, learns_the_decision_when_every_answer_is_lost)
{
    set_fault("lose_answers=1.0");
    EXPECT_TRUE(await(m_proposals.propose(claim("p"))).accepted);
    EXPECT_FALSE(await(m_proposals.propose(claim("p"))).accepted);
    EXPECT_EQ(entries().size(), 2U) << "read back before a second try";
}

TEST_F(proposer_test, takes_effect_once_when_answers_are_lost_now_and_then)
{
    set_fault("lose_answers=0.3");
    constexpr int proposals = 40;
    for (int i = 0; i < proposals; ++i) {
        EXPECT_TRUE(await(m_proposals.propose(claim(std::to_string(i)))).accepted);
    }
    EXPECT_EQ(m_replica.copy().message().leases_size(), proposals);
}

TEST_F(proposer_test, copies_sent_while_nothing_can_be_read_back_take_effect_once)
{
    m_reads = false;
    // Outlasts a read of the log that began before.
    run_until([until = std::chrono::steady_clock::now() + std::chrono::seconds{3}] {
        return std::chrono::steady_clock::now() > until;
    });
    set_fault("lose_answers=1.0");
    EXPECT_EQ(outcome_of(claim("p")), base::verdict::may_have_run);
    const auto on_log = entries();
    EXPECT_GT(on_log.size(), 1U);
    EXPECT_LE(on_log.size(), 4U) << "tries are bounded";
    m_reads = true;
    EXPECT_TRUE(run_until([&] { return m_replica.offset() == on_log.size(); }));
    EXPECT_EQ(m_replica.copy().message().leases().at("p").fencing_number(), 1U);
}

TEST_F(proposer_test, an_outage_after_a_lost_answer_is_not_called_not_run)
{
    m_reads = false;
    set_fault("lose_answers=1.0");
    std::exception_ptr failure;
    bool ended = false;
    boost::asio::co_spawn(m_context, m_proposals.propose(claim("p")),
                          [&](const std::exception_ptr& error, const fold::decision&) {
                              failure = error;
                              ended = true;
                          });
    run_until([&] { return !entries().empty(); });
    set_fault("outage=true");
    ASSERT_TRUE(run_until([&] { return ended; }));
    // The read that began before may still have seen it, which is an answer too.
    if (failure) {
        try {
            std::rethrow_exception(failure);
        }
        catch (const log_error& error) {
            EXPECT_EQ(error.outcome(), base::verdict::may_have_run);
        }
    }
}

TEST_F(proposer_test, says_not_run_in_an_outage_and_leaves_nothing_on_the_log)
{
    set_fault("outage=true");
    EXPECT_EQ(outcome_of(claim("p")), base::verdict::not_run);
    set_fault("outage=false");
    EXPECT_TRUE(entries().empty());
    EXPECT_TRUE(await(m_proposals.propose(claim("p"))).accepted);
}

TEST_F(proposer_test, waits_out_a_slow_log)
{
    set_fault("delay_ms=300");
    EXPECT_TRUE(await(m_proposals.propose(claim("p"))).accepted);
    set_fault("delay_ms=0");
    EXPECT_EQ(entries().size(), 1U);
}

} // namespace
} // namespace cicadaport::shared_log
