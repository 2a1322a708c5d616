#include "cicadaport/load/report.h"

#include "cicadaport/load/runner.h"

#include <gtest/gtest.h>

namespace cicadaport::load {
namespace {

const profile callers = find_profile("saheli");

result make_result(outcome ended, double completion)
{
    result out;
    out.ended = ended;
    out.completion = seconds{completion};
    return out;
}

TEST(load_report_test, only_whole_answers_within_the_deadline_are_goodput)
{
    const std::vector<result> results{make_result(outcome::whole, 1),
                                      make_result(outcome::whole, 5), make_result(outcome::cut, 1),
                                      make_result(outcome::refused, 0)};
    const auto all = summarize(callers, results).back();
    EXPECT_EQ(all.sent, 4U);
    EXPECT_EQ(all.in_time, 1U);
    EXPECT_EQ(all.late, 1U);
    EXPECT_EQ(all.cut, 1U);
    EXPECT_EQ(all.refused, 1U);
}

TEST(load_report_test, percentiles_lie_within_the_samples)
{
    std::vector<seconds> samples;
    for (int i = 100; i > 0; --i) {
        samples.push_back(seconds{i});
    }
    EXPECT_EQ(percentile(samples, 0.95), seconds{96});
    EXPECT_EQ(percentile(samples, 1), seconds{100});
    EXPECT_EQ(percentile({}, 0.5), seconds{0});
}

TEST(load_report_test, the_bound_counts_all_where_engines_suffice_and_few_where_not)
{
    const auto arrivals = make_schedule(callers, {1, 200, seconds{10}, swing::none});
    EXPECT_EQ(goodput_bound(callers, arrivals, 1'000, {}), arrivals.size());
    bound_costs dear;
    dear.per_decode_token = seconds{1};
    EXPECT_LT(goodput_bound(callers, arrivals, 1, dear), arrivals.size() / 10);
}

TEST(token_counter_test, counts_tokens_however_the_body_is_cut_into_pieces)
{
    const std::string body = "id: 0\ndata: {\"a\"}\n\nid: 1\ndata: {\"b\"}\n\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size < body.size(); ++size) {
        token_counter counter;
        for (std::size_t at = 0; at < body.size(); at += size) {
            counter.take(std::string_view{body}.substr(at, size));
        }
        EXPECT_EQ(counter.tokens(), 2U);
        EXPECT_TRUE(counter.done());
    }
}

} // namespace
} // namespace cicadaport::load
