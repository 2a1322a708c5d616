#include "cicadaport/authority/order_step.h"

#include <gtest/gtest.h>
#include <state.pb.h>

namespace cicadaport::authority {
namespace {

engine_record engine(std::string last_applied = {}, std::string changing = {})
{
    engine_record out;
    out.role = "mixed";
    out.model = "m";
    out.version = "1";
    out.changing = !changing.empty();
    out.changing_order = std::move(changing);
    out.last_applied_order = std::move(last_applied);
    return out;
}

order_situation outstanding()
{
    order_situation situation;
    situation.outstanding_order = "a";
    situation.observed = engine();
    situation.wanted = true;
    situation.new_order_allowed = true;
    situation.has_spare = true;
    return situation;
}

TEST(order_step_test, an_outstanding_order_is_resent_instead_of_a_new_one)
{
    auto situation = outstanding();
    situation.drained = true;
    EXPECT_EQ(next_order_step(situation), order_step::send);
}

TEST(order_step_test, no_order_is_sent_before_the_engine_is_drained)
{
    EXPECT_EQ(next_order_step(outstanding()), order_step::wait_for_drain);
}

TEST(order_step_test, an_observed_effect_is_settled_without_sending)
{
    auto situation = outstanding();
    situation.observed = engine("a");
    EXPECT_EQ(next_order_step(situation), order_step::settle_applied);
}

TEST(order_step_test, a_failed_order_is_settled_as_failed)
{
    auto situation = outstanding();
    situation.observed->last_failed_order = "a";
    EXPECT_EQ(next_order_step(situation), order_step::settle_failed);
}

TEST(order_step_test, a_changing_engine_delays_its_outstanding_order)
{
    auto situation = outstanding();
    situation.drained = true;
    situation.observed = engine("", "a");
    EXPECT_EQ(next_order_step(situation), order_step::wait);
}

TEST(order_step_test, an_engine_that_does_not_answer_keeps_its_order_outstanding)
{
    auto situation = outstanding();
    situation.observed.reset();
    situation.drained = true;
    EXPECT_EQ(next_order_step(situation), order_step::wait);
}

TEST(order_step_test, a_different_order_waits_until_no_earlier_one_can_arrive)
{
    auto situation = outstanding();
    situation.outstanding_order.clear();
    EXPECT_EQ(next_order_step(situation), order_step::announce);
    situation.new_order_allowed = false;
    EXPECT_EQ(next_order_step(situation), order_step::none);
}

TEST(order_step_test, a_change_waits_for_the_models_least_replicas)
{
    auto situation = outstanding();
    situation.outstanding_order.clear();
    situation.has_spare = false;
    EXPECT_EQ(next_order_step(situation), order_step::none);
}

class wanted_order_test : public testing::Test {
protected:
    wanted_order_test()
    {
        m_endpoint.name = "e";
        m_endpoint.serves = "m";
        m_document.models.push_back({"m", "1", {}, 0, 0, 1});
    }

    std::optional<protocol::endpoint_order> wanted(const engine_record& observed) const
    {
        return wanted_order(m_endpoint, m_document, &m_wish, &m_orders, observed);
    }

    configuration::endpoint m_endpoint;
    configuration::document m_document;
    protocol::endpoint_wish_state m_wish;
    protocol::endpoint_orders m_orders;
};

TEST_F(wanted_order_test, an_engine_in_its_wanted_state_gets_no_order)
{
    EXPECT_FALSE(wanted(engine()));
}

TEST_F(wanted_order_test, an_operators_role_takes_precedence_over_the_last_orders_role)
{
    m_orders.set_role("decode");
    m_wish.set_role("prefill");
    EXPECT_EQ(wanted(engine())->set_role(), "prefill");
}

TEST_F(wanted_order_test, a_proposed_role_ranks_below_an_operators_and_above_the_last_orders)
{
    const auto role_with = [&](const std::string& proposed) {
        return wanted_order(m_endpoint, m_document, &m_wish, &m_orders, engine(), proposed)
            ->set_role();
    };
    m_orders.set_role("decode");
    EXPECT_EQ(role_with("prefill"), "prefill");
    m_wish.set_role("decode");
    EXPECT_EQ(role_with("prefill"), "decode");
}

TEST_F(wanted_order_test, an_engine_restarted_in_another_role_is_ordered_back)
{
    m_orders.set_role("decode");
    EXPECT_EQ(wanted(engine())->set_role(), "decode");
}

TEST_F(wanted_order_test, a_new_version_in_the_configuration_is_loaded)
{
    m_document.models.front().version = "2";
    EXPECT_EQ(wanted(engine())->load_model().version(), "2");
}

TEST_F(wanted_order_test, a_partition_is_one_model_in_one_region)
{
    m_endpoint.region = "south";
    EXPECT_EQ(partition_of(m_endpoint), "m/south");
}

} // namespace
} // namespace cicadaport::authority
