#include "cicadaport/admission/admission.h"

#include <gtest/gtest.h>

namespace cicadaport::admission {
namespace {

using namespace std::chrono_literals;

const clock::time_point start{std::chrono::hours{1}};

admission_query make_query(std::uint32_t rank, double first_token, double completion)
{
    admission_query out;
    out.rank = rank;
    out.deadline = seconds{rank == 0 ? 4 : 30};
    out.urgent_deadline = seconds{4};
    out.predicted = {seconds{first_token}, seconds{completion}};
    out.urgent_first_token = seconds{first_token};
    out.work = seconds{0.1};
    return out;
}

TEST(admission_test, rejects_requests_that_would_miss_their_deadline)
{
    deadline_admission rule;
    EXPECT_EQ(rule.decide(make_query(0, 0.1, 2), start), std::nullopt);
    EXPECT_EQ(rule.decide(make_query(0, 3, 5), start), rejection_reason::deadline);
    EXPECT_EQ(admit_all{}.decide(make_query(0, 3, 5), start), std::nullopt)
        << "the baseline admits it";
}

TEST(admission_test, rejects_less_urgent_work_before_it_delays_urgent_work)
{
    deadline_admission rule;
    EXPECT_EQ(rule.decide(make_query(1, 1, 5), start), std::nullopt);
    EXPECT_EQ(rule.decide(make_query(2, 1.5, 5), start), rejection_reason::reserved_for_urgent);
    EXPECT_EQ(rule.decide(make_query(1, 2.5, 5), start), rejection_reason::reserved_for_urgent);
    EXPECT_EQ(rule.decide(make_query(0, 2.5, 3), start), std::nullopt);
}

TEST(admission_test, admits_work_that_engines_schedule_after_urgent_requests)
{
    auto query = make_query(2, 20, 24);
    query.urgent_first_token = seconds{0.2};
    EXPECT_EQ(deadline_admission{}.decide(query, start), std::nullopt);
}

TEST(admission_test, rejects_all_ranks_below_a_rejected_rank)
{
    for (double queue = 0; queue < 6; queue += 0.1) {
        bool rejected = false;
        for (std::uint32_t rank = 0; rank < 4; ++rank) {
            auto query = make_query(rank, queue, queue + 0.3);
            query.deadline = seconds{4};
            const bool now_rejected = deadline_admission{}.decide(query, start).has_value();
            EXPECT_TRUE(now_rejected || !rejected) << "rank " << rank << " queue " << queue;
            rejected = now_rejected;
        }
    }
}

TEST(admission_test, the_lowest_rank_gets_its_min_share_under_urgent_overload)
{
    const auto flood = [](double min_share) {
        deadline_admission rule;
        int admitted = 0;
        for (int i = 0; i < 1'000; ++i) {
            const auto now = start + i * 10ms;
            rule.decide(make_query(0, 2, 3), now);
            auto low = make_query(2, 2, 5);
            low.min_share = min_share;
            admitted += rule.decide(low, now) ? 0 : 1;
        }
        return admitted;
    };
    EXPECT_EQ(flood(0), 0) << "without a share the rank starves";
    const auto admitted = flood(0.05);
    EXPECT_GE(admitted, 1'000 * 0.05 * 0.9);
    EXPECT_LE(admitted, 1'000 * 0.05 * 1.3) << "the rank gets no more than its share";
}

TEST(admission_test, spreads_retry_times)
{
    std::mt19937_64 random{3};
    auto least = 10'000ms;
    auto most = 0ms;
    for (int i = 0; i < 200; ++i) {
        const auto each = add_retry_jitter(1'000ms, random);
        least = std::min(least, each);
        most = std::max(most, each);
    }
    EXPECT_GE(least, 1'000ms);
    EXPECT_LE(most, 2'000ms);
    EXPECT_GT(most - least, 800ms);
}

} // namespace
} // namespace cicadaport::admission
