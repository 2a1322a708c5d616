#include "cicadaport/fold/replica.h"

#include "fold/random_log.h"

#include <gtest/gtest.h>
#include <peer.pb.h>
#include <rapidcheck.h>
#include <state.pb.h>

#include <span>

namespace cicadaport::fold {
namespace {

using entries = std::vector<protocol::log_entry>;

constexpr std::size_t log_size = 600;

std::string fold_whole(const entries& log)
{
    replica all;
    all.apply(log);
    return all.copy().serialize();
}

// Applies the log in random pieces that repeat, overlap and leave gaps, until
// all entries are folded.
std::string fold_pieces(const entries& log, random_log& random)
{
    replica pieces;
    while (pieces.offset() < log.size()) {
        const auto begin = random.below(log.size());
        const auto reached = std::min<std::size_t>(begin, pieces.offset());
        const auto from = random.below(2) == 0 ? begin : reached;
        const auto size = std::min(log.size() - from, 1 + random.below(50));
        pieces.apply(std::span{log}.subspan(from, size));
    }
    return pieces.copy().serialize();
}

TEST(replica_test, any_split_repetition_or_interleaving_folds_to_the_same_state)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        random_log random{seed};
        const auto log = random.make(log_size);
        RC_ASSERT(fold_pieces(log, random) == fold_whole(log));
    }));
}

TEST(replica_test, a_snapshot_and_the_log_after_it_give_the_same_state_as_the_whole_log)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        random_log random{seed};
        const auto log = random.make(log_size);
        const auto cut = random.below(log.size());
        replica head;
        head.apply(std::span{log}.first(cut));
        replica tail;
        tail.install(head.copy().serialize());
        tail.apply(std::span{log}.subspan(cut));
        RC_ASSERT(tail.copy().serialize() == fold_whole(log));
    }));
}

TEST(replica_test, two_replicas_that_follow_each_other_agree)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        random_log random{seed};
        const auto log = random.make(log_size);
        replica first;
        replica second;
        first.apply(std::span{log}.first(log_size / 2));
        protocol::pull_reply reply;
        first.fill_reply(second.offset(), reply);
        second.apply(entries{reply.entries().begin(), reply.entries().end()});
        second.apply(log);
        first.install(second.copy().serialize());
        RC_ASSERT(first.copy().serialize() == fold_whole(log));
    }));
}

TEST(replica_test, the_configuration_offset_never_decreases)
{
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        random_log random{seed};
        const auto log = random.make(log_size);
        replica old;
        old.apply(std::span{log}.first(random.below(log.size())));
        const auto stale = old.copy().serialize();
        replica fed;
        std::uint64_t highest = 0;
        fed.add_listener([&](const state& now) {
            RC_ASSERT(now.configuration_offset() >= highest);
            highest = now.configuration_offset();
        });
        for (const auto& entry : log) {
            fed.apply(std::span{&entry, 1});
            if (random.below(20) == 0) {
                fed.install(stale);
            }
        }
        RC_ASSERT(fed.copy().serialize() == fold_whole(log));
    }));
}

TEST(replica_test, a_state_with_an_older_configuration_is_refused_at_any_offset)
{
    random_log random{1};
    replica fed;
    fed.apply(random.make(log_size));
    ASSERT_GT(fed.copy().configuration_offset(), 0U);
    state empty;
    protocol::record record;
    record.set_append_id("a");
    record.set_proposed_after(2 * log_size);
    record.mutable_claim_lease()->set_partition("p");
    empty.apply(2 * log_size, record.SerializeAsString());
    EXPECT_FALSE(fed.install(empty.serialize()));
    EXPECT_EQ(fed.offset(), log_size);
}

TEST(replica_test, entries_after_a_gap_are_not_folded)
{
    random_log random{2};
    const auto log = random.make(log_size);
    replica fed;
    fed.apply(std::span{log}.first(10));
    fed.apply(std::span{log}.subspan(20));
    EXPECT_EQ(fed.offset(), 10U);
}

// Returns a log whose last record this build can't interpret.
entries log_of_a_newer_build()
{
    entries log(2);
    protocol::record known;
    known.set_append_id("known");
    known.mutable_claim_lease()->set_partition("p");
    log[0].set_offset(1);
    log[0].set_payload(known.SerializeAsString());
    protocol::record newer;
    newer.set_append_id("newer");
    newer.mutable_edit()->set_schema_version(configuration::schema_version + 1);
    log[1].set_offset(2);
    log[1].set_payload(newer.SerializeAsString());
    return log;
}

TEST(replica_test, a_record_of_a_newer_build_halts_the_replica_before_that_record)
{
    replica fed;
    fed.apply(log_of_a_newer_build());
    EXPECT_EQ(fed.offset(), 1U);
    EXPECT_EQ(fed.halted(), "offset 2: edit of schema version 2");
    protocol::pull_reply reply;
    fed.fill_reply(0, reply);
    EXPECT_EQ(reply.entries_size(), 1) << "it still serves the entries before the record";
}

TEST(replica_test, a_state_that_requires_a_newer_build_is_refused)
{
    protocol::folded_state newer;
    newer.set_offset(9);
    newer.set_reader_version(configuration::schema_version + 1);
    replica fed;
    EXPECT_THROW(fed.install(newer.SerializeAsString()), unknown_record);
    EXPECT_EQ(fed.offset(), 0U);
}

TEST(replica_test, forwards_snapshot_records_without_their_state)
{
    protocol::record record;
    record.set_append_id("s");
    record.mutable_state_snapshot()->set_state(std::string(10'000, 'x'));
    entries log(1);
    log[0].set_offset(1);
    log[0].set_payload(record.SerializeAsString());
    replica fed;
    fed.apply(log);
    protocol::pull_reply reply;
    fed.fill_reply(0, reply);
    EXPECT_LT(reply.ByteSizeLong(), 100U);
    replica follower;
    follower.apply(entries{reply.entries().begin(), reply.entries().end()});
    EXPECT_EQ(follower.copy().serialize(), fed.copy().serialize());
}

} // namespace
} // namespace cicadaport::fold
