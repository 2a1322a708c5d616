#include "cicadaport/routing/placement.h"

#include <gtest/gtest.h>

#include <map>

namespace cicadaport::routing {
namespace {

// Provides idle mixed engines without a configuration.
class placement_test : public testing::Test {
protected:
    explicit placement_test(std::size_t engines = 4)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            auto load = std::make_shared<endpoint_load>();
            load->index = static_cast<std::uint32_t>(i);
            m_candidates.push_back({nullptr, std::move(load)});
        }
        m_loads.endpoints.resize(engines);
    }

    placement_query make_query(double prompt_tokens = 200, double output_tokens = 40) const
    {
        placement_query out;
        out.candidates = m_candidates;
        out.loads = &m_loads;
        out.needs = {prompt_tokens, output_tokens};
        return out;
    }

    std::size_t index_of(const placement_choice& choice) const
    {
        return static_cast<std::size_t>(choice.chosen - m_candidates.data());
    }

    template <typename Rule>
    std::map<std::size_t, int> choose_often(Rule rule, const placement_query& query)
    {
        std::map<std::size_t, int> out;
        for (int i = 0; i < 400; ++i) {
            ++out[index_of(rule.choose(query, m_random))];
        }
        return out;
    }

    std::vector<candidate> m_candidates;
    load_snapshot m_loads;
    random_source m_random{7};
};

TEST_F(placement_test, predicts_later_tokens_behind_a_longer_queue)
{
    m_loads.endpoints[1].others = {10, 20'000, 500};
    const auto idle = predict_at(make_query(), m_candidates[0]);
    const auto busy = predict_at(make_query(), m_candidates[1]);
    EXPECT_GT(busy.first_token, idle.first_token);
    EXPECT_GT(busy.completion, idle.completion);
    EXPECT_GT(idle.completion, idle.first_token);
}

TEST_F(placement_test, work_queued_behind_urgent_requests_does_not_delay_them)
{
    m_loads.endpoints[0].others = {200, 60'000, 20'000};
    auto urgent = make_query();
    urgent.needs.ahead_fraction = 0.1;
    EXPECT_LT(predict_at(urgent, m_candidates[0]).first_token,
              predict_at(make_query(), m_candidates[0]).first_token / 2);
    // In a batch that is not full, urgency makes no difference.
    m_loads.endpoints[0].others = {20, 6'000, 2'000};
    EXPECT_EQ(predict_at(urgent, m_candidates[0]).first_token,
              predict_at(make_query(), m_candidates[0]).first_token);
}

TEST_F(placement_test, own_work_sent_since_the_report_counts_at_once)
{
    const auto before = predict_at(make_query(), m_candidates[0]).first_token;
    m_candidates[0].load->prefill_tokens += 10'000;
    EXPECT_GT(predict_at(make_query(), m_candidates[0]).first_token, before + seconds{0.5});
}

TEST_F(placement_test, avoids_the_engine_with_the_longest_prefill_queue)
{
    m_loads.endpoints[2].others = {1, 50'000, 10};
    EXPECT_LT(choose_often(predicted_completion{}, make_query())[2], 8);
    EXPECT_GT(choose_often(random_choice{}, make_query())[2], 50);
}

TEST_F(placement_test, spreads_over_engines_with_equal_load)
{
    const auto chosen = choose_often(predicted_completion{}, make_query());
    EXPECT_EQ(chosen.size(), m_candidates.size());
}

TEST_F(placement_test, prefers_a_holder_of_the_prefix_until_its_queue_costs_more)
{
    auto query = make_query(4'000);
    query.prefix.add(3, 3'900);
    EXPECT_EQ(choose_often(predicted_completion{}, query)[3], 400);
    m_loads.endpoints[3].others = {5, 8'000, 200};
    EXPECT_EQ(choose_often(predicted_completion{}, query)[3], 0);
    EXPECT_EQ(choose_often(cache_only{}, query)[3], 400) << "the baseline ignores the queue";
}

TEST_F(placement_test, no_rule_chooses_an_engine_that_does_not_take_whole_requests)
{
    m_loads.endpoints[0].role = engine_role::prefill;
    m_loads.endpoints[1].serving = false;
    auto query = make_query();
    query.prefix.add(0, 160);
    EXPECT_EQ(choose_often(predicted_completion{}, query).count(0), 0U);
    EXPECT_EQ(choose_often(two_random_choices{}, query).count(1), 0U);
    EXPECT_EQ(choose_often(random_choice{}, query).count(1), 0U);
    EXPECT_EQ(choose_often(round_robin{}, query).count(0), 0U);
    EXPECT_EQ(choose_often(least_outstanding{}, query).count(1), 0U);
    EXPECT_EQ(choose_often(cache_only{}, query).count(0), 0U);
}

TEST_F(placement_test, no_rule_finds_an_engine_where_none_serves)
{
    for (auto& each : m_loads.endpoints) {
        each.serving = false;
    }
    EXPECT_EQ(predicted_completion{}.choose(make_query(), m_random).chosen, nullptr);
    EXPECT_EQ(two_random_choices{}.choose(make_query(), m_random).chosen, nullptr);
    EXPECT_EQ(round_robin{}.choose(make_query(), m_random).chosen, nullptr);
    EXPECT_EQ(least_outstanding{}.choose(make_query(), m_random).chosen, nullptr);
}

TEST_F(placement_test, a_slow_engine_loses_work_as_its_predictions_are_corrected)
{
    for (int i = 0; i < 100; ++i) {
        update_correction(*m_candidates[1].load, seconds{1}, seconds{4});
    }
    EXPECT_LT(choose_often(predicted_completion{}, make_query())[1], 8);
}

TEST_F(placement_test, an_accurate_correction_stays_stable)
{
    auto& load = *m_candidates[0].load;
    const auto plain = predict_at(make_query(), m_candidates[0]).first_token;
    for (int i = 0; i < 400; ++i) {
        update_correction(load, predict_at(make_query(), m_candidates[0]).first_token, 2 * plain);
    }
    EXPECT_NEAR(load.correction.load(), 2, 0.05);
}

TEST_F(placement_test, processes_with_the_same_old_snapshot_do_not_all_choose_the_same_engine)
{
    // Engine 0 has the lowest load, so that choosing the minimum sends it every request.
    std::vector<candidate> many;
    load_snapshot loads;
    for (std::uint32_t i = 0; i < 64; ++i) {
        auto load = std::make_shared<endpoint_load>();
        load->index = i;
        many.push_back({nullptr, std::move(load)});
        loads.endpoints.push_back({{i == 0 ? 0.0 : 2.0, i == 0 ? 0.0 : 500.0, 10}, {}, true});
    }
    auto query = make_query();
    query.candidates = many;
    query.loads = &loads;
    int best = 0;
    int least = 0;
    for (int i = 0; i < 400; ++i) {
        best += predicted_completion{}.choose(query, m_random).chosen == many.data() ? 1 : 0;
        least += least_outstanding{}.choose(query, m_random).chosen == many.data() ? 1 : 0;
    }
    EXPECT_LT(best, 400 / 4);
    EXPECT_EQ(least, 400);
}

// Engine 0 is a prefill engine; the others have long prefill queues.
class two_stage_test : public placement_test {
protected:
    two_stage_test() : placement_test{4}
    {
        m_loads.endpoints[0].role = engine_role::prefill;
        load_decode_engines(6'000);
    }

    void load_decode_engines(double prefill_tokens)
    {
        for (std::size_t i = 1; i < m_loads.endpoints.size(); ++i) {
            m_loads.endpoints[i].others = {8, prefill_tokens, 200};
        }
        m_loads.collect_prefill_engines();
    }

    placement_choice choose(const placement_query& query)
    {
        return two_stage_completion{}.choose(query, m_random);
    }
};

TEST_F(two_stage_test, a_prefill_engine_takes_a_long_prompt_while_others_have_long_queues)
{
    const auto choice = choose(make_query(1'400));
    EXPECT_EQ(choice.prefill, &m_candidates[0]);
    EXPECT_NE(choice.chosen, &m_candidates[0]);
    EXPECT_EQ(predicted_completion{}.choose(make_query(1'400), m_random).prefill, nullptr)
        << "the baseline does not use prefill engines";
}

TEST_F(two_stage_test, is_predicted_to_end_sooner_than_one_stage_wherever_it_is_chosen)
{
    const auto two = choose(make_query(1'400));
    const auto one = predicted_completion{}.choose(make_query(1'400), m_random);
    EXPECT_LT(two.predicted.completion, one.predicted.completion);
    EXPECT_GT(two.predicted.first_token, two.prefilled_after);
    EXPECT_GT(two.prefilled_after, seconds{0});
}

TEST_F(two_stage_test, a_short_prompt_stays_in_one_stage)
{
    EXPECT_EQ(choose(make_query(two_stage_completion::min_prefill_tokens - 1)).prefill, nullptr);
}

TEST_F(two_stage_test, a_prompt_cached_at_the_decode_engine_stays_in_one_stage)
{
    auto query = make_query(1'400);
    query.prefix.add(2, 1'392);
    const auto choice = choose(query);
    EXPECT_EQ(choice.chosen, &m_candidates[2]);
    EXPECT_EQ(choice.prefill, nullptr);
}

TEST_F(two_stage_test, an_idle_engine_serves_in_one_stage)
{
    load_decode_engines(0);
    for (std::size_t i = 1; i < m_loads.endpoints.size(); ++i) {
        m_loads.endpoints[i].others = {};
    }
    EXPECT_EQ(choose(make_query(1'400)).prefill, nullptr);
}

TEST_F(two_stage_test, yields_to_one_stage_as_the_prefill_queue_grows)
{
    m_loads.endpoints[0].others = {20, 30'000, 0};
    EXPECT_EQ(choose(make_query(1'400)).prefill, nullptr);
}

TEST_F(two_stage_test, own_prefills_since_the_report_count_at_once)
{
    m_candidates[0].load->prefill_tokens += 30'000;
    EXPECT_EQ(choose(make_query(1'400)).prefill, nullptr);
}

TEST_F(two_stage_test, chooses_the_prefill_engine_that_completes_first)
{
    m_loads.endpoints[1].role = engine_role::prefill;
    m_loads.endpoints[1].others = {1, 200, 0};
    m_loads.endpoints[0].others = {2, 3'000, 0};
    m_loads.collect_prefill_engines();
    EXPECT_EQ(choose(make_query(1'400)).prefill, &m_candidates[1]);
    auto query = make_query(1'400);
    query.prefix.add(0, 1'392);
    m_loads.endpoints[0].others = {1, 600, 0};
    EXPECT_EQ(choose(query).prefill, &m_candidates[0]) << "it holds the prompt";
}

TEST_F(two_stage_test, a_prefill_engine_that_accepts_no_work_is_left_out)
{
    m_loads.endpoints[0].serving = false;
    EXPECT_EQ(choose(make_query(1'400)).prefill, nullptr) << "also if the list is outdated";
    m_loads.collect_prefill_engines();
    EXPECT_TRUE(m_loads.prefill_engines.empty());
}

TEST_F(two_stage_test, a_prefill_engine_of_another_model_is_left_out)
{
    auto query = make_query(1'400);
    query.candidates = std::span{m_candidates}.subspan(1);
    EXPECT_EQ(choose(query).prefill, nullptr);
}

TEST_F(two_stage_test, prefill_engines_alone_serve_no_request)
{
    for (auto& each : m_loads.endpoints) {
        each.role = engine_role::prefill;
    }
    m_loads.collect_prefill_engines();
    EXPECT_EQ(choose(make_query(1'400)).chosen, nullptr);
}

TEST_F(two_stage_test, a_prefilled_prompt_costs_the_decode_engine_no_prefill)
{
    auto transferred = make_query(1'400);
    transferred.prefilled = true;
    EXPECT_LT(predict_at(transferred, m_candidates[1]).completion,
              predict_at(make_query(1'400), m_candidates[1]).completion);
    EXPECT_EQ(choose(transferred).prefill, nullptr) << "the prompt is not prefilled twice";
}

TEST_F(two_stage_test, a_slow_prefill_engine_loses_work_as_its_predictions_are_corrected)
{
    m_candidates[0].load->correction = 8;
    EXPECT_EQ(choose(make_query(1'400)).prefill, nullptr);
}

} // namespace
} // namespace cicadaport::routing
