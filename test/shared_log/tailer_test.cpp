#include "cicadaport/shared_log/tailer.h"

#include "cicadaport/shared_log/snapshotter.h"
#include "shared_log/log_fixture.h"

#include <state.pb.h>

namespace cicadaport::shared_log {
namespace {

class tailer_test : public log_fixture {
protected:
    // Appends wishes until the log holds `size` records, and each snapshot
    // when it is due; keeps what the fold makes of them.
    void append_up_to(std::uint64_t size)
    {
        while (m_whole.offset() < size) {
            auto record = wish(m_whole.offset());
            if (const auto due = m_whole.pending_snapshot()) {
                auto& taken = *record.mutable_state_snapshot();
                taken.set_covers_offset(due->covers_offset);
                taken.set_digest(due->digest);
                taken.set_state(*due->bytes);
            }
            append(record);
            m_whole.apply(m_whole.offset() + 1, record.SerializeAsString());
        }
    }

    bool read_to_the_end()
    {
        boost::asio::co_spawn(m_context, m_tailer.run(), boost::asio::detached);
        return run_until([&] { return m_replica.offset() == m_whole.offset(); });
    }

    static constexpr std::uint64_t log_size = 700;

    fold::state m_whole;
    fold::replica m_replica;
    log_client m_tail_log{m_context, address(), "s"};
    tailer m_tailer{m_tail_log, m_replica};
};

TEST_F(tailer_test, a_reader_that_starts_after_the_originals_expired_ends_in_the_same_state)
{
    set_fault("keep=300");
    append_up_to(log_size);
    EXPECT_GT(entries().front().offset(), 1U);
    EXPECT_TRUE(read_to_the_end());
    EXPECT_EQ(m_replica.copy().serialize(), m_whole.serialize());
}

TEST_F(tailer_test, a_reader_that_fell_behind_retention_ends_in_the_same_state)
{
    set_fault("keep=300");
    append_up_to(100);
    m_replica.apply(entries());
    EXPECT_EQ(m_replica.offset(), 100U);
    append_up_to(log_size);
    EXPECT_TRUE(read_to_the_end());
    EXPECT_EQ(m_replica.copy().serialize(), m_whole.serialize());
}

TEST_F(tailer_test, a_record_of_a_newer_build_leaves_it_running_and_reading_slowly)
{
    append(wish(0));
    protocol::record newer;
    newer.set_append_id("newer");
    newer.mutable_edit()->set_schema_version(configuration::schema_version + 1);
    append(newer);
    boost::asio::co_spawn(m_context, m_tailer.run(), boost::asio::detached);
    EXPECT_TRUE(run_until([&] { return m_replica.halted().has_value(); }));
    EXPECT_EQ(m_replica.offset(), 1U);
    run_until([until = std::chrono::steady_clock::now() + std::chrono::seconds{2}] {
        return std::chrono::steady_clock::now() > until;
    });
    EXPECT_TRUE(m_tailer.is_connected());
    http::client sender{m_context};
    http::request ask{"GET", "/v1/statistics", {}, {}};
    const auto reply = await(sender.exchange(address(), std::move(ask)));
    constexpr std::string_view reads = "\"reads\":";
    const auto at = reply.body.find(reads);
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stoi(reply.body.substr(at + reads.size())), 6) << "it does not spin";
}

TEST_F(tailer_test, of_three_processes_one_appends_the_snapshot_that_is_due)
{
    struct process {
        process(boost::asio::io_context& context, const http::address& at, std::size_t rank)
            : log{context, at, "s"}, append_log{context, at, "s"}, reader{log, replica},
              proposals{context, append_log, replica, std::to_string(rank)},
              snapshots{replica, proposals, [rank] { return rank; }}
        {
            boost::asio::co_spawn(context, reader.run(), boost::asio::detached);
            boost::asio::co_spawn(context, snapshots.run(), boost::asio::detached);
        }
        fold::replica replica;
        log_client log;
        log_client append_log;
        tailer reader;
        proposer proposals;
        snapshotter snapshots;
    };
    process first{m_context, address(), 0};
    process second{m_context, address(), 1};
    process third{m_context, address(), 2};
    for (std::uint64_t i = 0; i < 300; ++i) {
        append(wish(i));
    }
    const auto is_covered = [](const process& each) {
        return each.replica.copy().message().snapshot_covers() > 0;
    };
    EXPECT_TRUE(
        run_until([&] { return is_covered(first) && is_covered(second) && is_covered(third); }));
    int snapshots = 0;
    for (const auto& entry : entries()) {
        protocol::record record;
        record.ParseFromString(entry.payload());
        snapshots += record.has_state_snapshot() ? 1 : 0;
    }
    EXPECT_EQ(snapshots, 1);
}

} // namespace
} // namespace cicadaport::shared_log
