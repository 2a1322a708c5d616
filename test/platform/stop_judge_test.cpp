#include "platform/soak/stop_judge.h"

#include <gtest/gtest.h>

namespace cicadaport::platform::testing {
namespace {

using namespace std::chrono_literals;

const stop_judge::time_point stop{1h};
constexpr std::size_t process = 7;

class stop_judge_test : public ::testing::Test {
protected:
    stop_judge_test() { judge.record_stop(process, stop, 6s); }

    // Returns a request that may run once and ended without an answer; times are since the stop.
    static stop_judge::request cut(std::chrono::milliseconds sent, std::chrono::milliseconds ended)
    {
        stop_judge::request out;
        out.id = "r";
        out.process = process;
        out.time_limit = 10s;
        out.sent = stop + sent;
        out.ended = stop + ended;
        return out;
    }

    void run(std::chrono::milliseconds began, std::chrono::milliseconds last)
    {
        judge.record_run("r", stop + began);
        judge.record_work("r", stop + last);
    }

    // Returns the first word about each violation if `last` is the last request.
    std::string rules(const stop_judge::request& last)
    {
        judge.record_request(last);
        std::string out;
        for (const auto& each : judge.violations()) {
            out += each.text.substr(0, each.text.find(':'));
        }
        return out;
    }

    stop_judge judge;
};

TEST_F(stop_judge_test, a_request_that_was_passed_on_is_lost_however_soon_its_connection_ends)
{
    run(10ms, 50ms);
    EXPECT_EQ(rules(cut(0ms, 100ms)), "LOST");
}

TEST_F(stop_judge_test, a_request_whose_prompt_was_prefilled_is_lost_but_has_not_run)
{
    judge.record_work("r", stop + 10ms);
    EXPECT_EQ(rules(cut(0ms, 100ms)), "LOST");
    judge.record_run("r", stop + 200ms);
    EXPECT_EQ(rules({}), "LOST") << "it ran once";
}

TEST_F(stop_judge_test, a_request_sent_before_the_stop_is_lost_if_its_connection_ends_after_it)
{
    run(-900ms, 1ms);
    EXPECT_EQ(rules(cut(-1s, 1ms)), "LOST");
}

TEST_F(stop_judge_test, a_request_that_was_not_passed_on_is_lost_later_than_the_slack_only)
{
    EXPECT_EQ(rules(cut(1s, 1'200ms)), "") << "it crossed the close";
    EXPECT_EQ(rules(cut(1s, 1'201ms)), "LOST");
}

TEST_F(stop_judge_test, a_request_behind_an_answer_that_was_cut_is_lost_only_if_it_was_passed_on)
{
    auto behind = cut(1s, 4s);
    behind.is_behind_cut = true;
    EXPECT_EQ(rules(behind), "");
    run(2s, 3s);
    EXPECT_EQ(rules(behind), "LOSTLOST");
}

TEST_F(stop_judge_test, a_request_at_work_in_the_last_sixth_is_lost_only_if_it_was_sent_late)
{
    run(4s, 5s);
    EXPECT_EQ(rules(cut(3s, 5'400ms)), "");
    EXPECT_EQ(rules(cut(3'001ms, 5'400ms)), "LOST");
}

TEST_F(stop_judge_test, a_request_that_was_at_work_only_before_the_last_sixth_is_lost)
{
    run(1s, 4'999ms);
    EXPECT_EQ(rules(cut(1s, 5'400ms)), "LOST");
}

TEST_F(stop_judge_test, excuses_a_time_that_is_over_a_replica_that_broke_off_and_unplanned_faults)
{
    run(0s, 1s);
    auto late = cut(0s, 1s);
    late.time_limit = 1s;
    EXPECT_EQ(rules(late), "");
    auto excused = cut(0s, 1s);
    excused.is_excused = true;
    EXPECT_EQ(rules(excused), "");
    judge.record_break_off("r");
    EXPECT_EQ(rules(cut(0s, 1s)), "");
}

TEST_F(stop_judge_test, judges_losses_only_in_the_time_of_the_stop)
{
    EXPECT_EQ(rules(cut(-2s, -1ms)), "");
    EXPECT_EQ(rules(cut(2s, 7'001ms)), "");
    auto other = cut(0s, 1s);
    other.process = process + 1;
    EXPECT_EQ(rules(other), "");
    EXPECT_EQ(judge.stopped_count(), 0U);
}

TEST_F(stop_judge_test, an_answer_of_any_status_is_no_loss_but_a_promise_must_be_kept)
{
    auto answered = cut(0s, 1s);
    for (const unsigned status : {502U, 503U, 504U}) {
        answered.status = status;
        EXPECT_EQ(rules(answered), "");
    }
    run(2s, 3s);
    EXPECT_EQ(rules({}), "REFUSED") << "it ran after the 503";
}

TEST_F(stop_judge_test, only_a_request_that_may_be_repeated_runs_twice_or_after_a_refusal)
{
    run(0s, 1s);
    run(2s, 3s);
    auto answered = cut(0s, 4s);
    answered.status = 503;
    answered.may_repeat = true;
    EXPECT_EQ(rules(answered), "");
    answered.may_repeat = false;
    EXPECT_EQ(rules(answered), "TWICEREFUSED");
}

TEST_F(stop_judge_test, a_success_has_the_whole_body)
{
    auto answered = cut(0s, 1s);
    answered.status = 200;
    EXPECT_EQ(rules(answered), "MIXED");
    answered.has_whole_body = true;
    EXPECT_EQ(rules(answered), "MIXED") << "the first one only";
}

TEST_F(stop_judge_test, a_run_that_begins_long_after_its_caller_left_is_one_for_nobody)
{
    run(1'501ms, 1'600ms);
    judge.record_departure({"r", stop + 1s, false});
    EXPECT_EQ(rules({}), "GONE");
}

TEST_F(stop_judge_test, a_run_that_begins_soon_after_its_caller_left_or_on_a_faulty_host_is_not)
{
    run(1'500ms, 3'000ms);
    judge.record_departure({"r", stop + 1s, false});
    judge.record_departure({"r", stop, true});
    judge.record_departure({"never run", stop, false});
    EXPECT_EQ(rules({}), "");
}

} // namespace
} // namespace cicadaport::platform::testing
