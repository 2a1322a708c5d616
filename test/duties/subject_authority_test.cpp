#include "cicadaport/duties/subject_authority.h"

#include <gmock/gmock.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace cicadaport::duties {
namespace {

using namespace std::chrono_literals;
using step = subject_authority::step;

constexpr milliseconds lease{3'000};
constexpr time_point start{std::chrono::hours{1}};

// A partition of the store with one subject.
struct partition {
    std::optional<std::uint64_t> append(const std::string& holder, const std::string& content,
                                        std::uint64_t at)
    {
        if (at != end) {
            return std::nullopt;
        }
        newest = duty_record{holder, content, end};
        return end++;
    }

    std::uint64_t end = 7;
    std::optional<duty_record> newest;
};

class subject_authority_test : public ::testing::Test {
protected:
    // Carries out reads and appends, which the store answers at once, until nothing is left to do
    // before `until`. Returns the time that was reached.
    time_point run(subject_authority& of, const std::string& holder, time_point now,
                   time_point until)
    {
        while (true) {
            const auto next = of.next(now);
            if (next.what == step::none || (next.what == step::wait && next.at > until)) {
                return now;
            }
            if (next.what == step::wait) {
                now = next.at;
                continue;
            }
            of.begin(next, now);
            if (next.what == step::read) {
                ++reads;
                of.handle_read_result(store.newest, store.end, now);
            }
            else if (const auto offset = store.append(holder, next.content, next.offset)) {
                of.handle_append_result(*offset, now);
            }
            else {
                of.handle_append_refusal(now);
            }
        }
    }

    partition store;
    unsigned reads = 0;
    subject_authority a{"a", lease};
    subject_authority b{"b", lease};
};

TEST_F(subject_authority_test, grants_a_permit_for_half_a_lease_from_when_the_append_was_sent)
{
    a.request("x", start);
    const auto read = a.next(start);
    ASSERT_EQ(read.what, step::read);
    a.begin(read, start);
    EXPECT_EQ(a.next(start).what, step::none);
    a.handle_read_result(std::nullopt, 7, start + 20ms);
    const auto append = a.next(start + 20ms);
    ASSERT_EQ(append.what, step::append);
    EXPECT_EQ(append.offset, 7U);
    EXPECT_EQ(append.content, "x");
    a.begin(append, start + 20ms);
    a.handle_append_result(7, start + 300ms);
    const auto granted = a.current_permit(start + 300ms);
    ASSERT_TRUE(granted);
    EXPECT_EQ(granted->fencing_token, 8U);
    EXPECT_TRUE(a.current_permit(start + 20ms + lease / 2 - 1ms));
    EXPECT_FALSE(a.current_permit(start + 20ms + lease / 2));
}

// Guards against an acknowledgement that arrives after its permit has ended, as after a freeze.
TEST_F(subject_authority_test, grants_nothing_for_an_acknowledgement_that_comes_too_late)
{
    a.request("x", start);
    a.begin(a.next(start), start);
    a.handle_read_result(std::nullopt, 7, start);
    a.begin(a.next(start), start);
    a.handle_append_result(7, start + 12s);
    EXPECT_FALSE(a.current_permit(start + 12s));
    EXPECT_TRUE(a.is_requested());
    EXPECT_EQ(a.next(start + 12s).what, step::append);
}

TEST_F(subject_authority_test, needs_a_new_append_for_a_later_or_other_call)
{
    a.request("x", start);
    run(a, "a", start, start);
    a.request("x", start + 1s);
    EXPECT_EQ(a.next(start + 1s).what, step::none) << "the permit is still valid";
    a.request("y", start + 1s);
    EXPECT_FALSE(a.current_permit(start + 1s));
    run(a, "a", start + 1s, start + 1s);
    EXPECT_EQ(a.current_permit(start + 1s)->fencing_token, 9U);
    a.request("y", start + 10s);
    run(a, "a", start + 10s, start + 10s);
    EXPECT_EQ(a.current_permit(start + 10s)->fencing_token, 10U);
    EXPECT_EQ(reads, 1U);
}

// Guards against a holder that regards a lost answer as an acknowledgement.
TEST_F(subject_authority_test, reads_again_after_a_lost_answer_and_is_not_granted_by_its_own_record)
{
    a.request("x", start);
    a.begin(a.next(start), start);
    a.handle_read_result(std::nullopt, 7, start);
    const auto append = a.next(start);
    a.begin(append, start);
    store.append("a", "x", append.offset);
    a.handle_no_answer(start + 400ms);
    EXPECT_FALSE(a.current_permit(start + 400ms));
    const auto then = start + 400ms + subject_authority::failure_backoff;
    EXPECT_EQ(a.next(start + 400ms).what, step::wait);
    const auto read = a.next(then);
    ASSERT_EQ(read.what, step::read);
    a.begin(read, then);
    a.handle_read_result(store.newest, store.end, then);
    EXPECT_FALSE(a.current_permit(then));
    // Its own record may be replaced at once.
    run(a, "a", then, then);
    EXPECT_EQ(a.current_permit(then)->fencing_token, 9U);
}

// Guards against an append that the store carries out after the host has read the partition.
TEST_F(subject_authority_test, reads_again_if_its_own_append_was_carried_out_late)
{
    a.request("x", start);
    a.begin(a.next(start), start);
    a.handle_read_result(std::nullopt, 7, start);
    const auto late = a.next(start);
    a.begin(late, start);
    a.handle_no_answer(start + 400ms);
    a.begin(a.next(start + 700ms), start + 700ms);
    a.handle_read_result(store.newest, store.end, start + 700ms);
    store.append("a", "x", late.offset);
    const auto again = a.next(start + 700ms);
    ASSERT_EQ(again.what, step::append);
    EXPECT_FALSE(store.append("a", "x", again.offset));
    a.begin(again, start + 700ms);
    a.handle_append_refusal(start + 700ms);
    EXPECT_FALSE(a.current_permit(start + 700ms));
    EXPECT_EQ(a.next(start + 700ms).what, step::read);
}

TEST_F(subject_authority_test,
       replaces_a_record_of_another_host_only_after_the_lease_and_the_margin)
{
    a.request("x", start);
    run(a, "a", start, start);
    b.request("y", start + 200ms);
    run(b, "b", start + 200ms, start + 200ms);
    const auto allowed = start + 200ms + lease + subject_authority::margin;
    EXPECT_EQ(b.next(allowed - 1ms).what, step::wait);
    EXPECT_EQ(b.next(allowed - 1ms).at, allowed);
    run(b, "b", allowed, allowed);
    EXPECT_EQ(b.current_permit(allowed)->fencing_token, 9U);
}

// Guards against a successor whose time runs although the holder has appended again.
TEST_F(subject_authority_test, waits_again_if_the_other_host_has_appended_meanwhile)
{
    a.request("x", start);
    run(a, "a", start, start);
    b.request("y", start);
    run(b, "b", start, start);
    a.request("z", start + 2s);
    run(a, "a", start + 2s, start + 2s);
    run(b, "b", start + 4s, start + 4s);
    EXPECT_FALSE(b.current_permit(start + 4s));
    EXPECT_EQ(b.newest()->content, "z");
    EXPECT_EQ(b.next(start + 4s).at, start + 4s + lease + subject_authority::margin);
}

TEST_F(subject_authority_test, keeps_its_time_if_only_another_subject_of_the_partition_was_appended)
{
    a.request("x", start);
    run(a, "a", start, start);
    b.request("y", start);
    run(b, "b", start, start);
    ++store.end;
    const auto allowed = start + lease + subject_authority::margin;
    run(b, "b", allowed, allowed);
    EXPECT_EQ(b.current_permit(allowed)->fencing_token, 10U);
}

TEST_F(subject_authority_test, counts_the_time_of_a_record_from_its_announcement)
{
    a.request("x", start);
    run(a, "a", start, start);
    b.handle_announced_record(7, start + 100ms);
    b.request("y", start + 5s);
    run(b, "b", start + 5s, start + 5s);
    EXPECT_EQ(b.current_permit(start + 5s)->fencing_token, 9U);
}

TEST_F(subject_authority_test, reads_before_it_appends_after_an_announcement_of_a_newer_record)
{
    a.request("x", start);
    run(a, "a", start, start);
    a.handle_announced_record(9, start + 6s);
    a.request("y", start + 6s);
    EXPECT_EQ(a.next(start + 6s).what, step::read);
}

// Guards against a process that takes over the permit of an earlier process of its host.
TEST_F(subject_authority_test, waits_after_a_restart_for_the_lease_of_the_earlier_process)
{
    a.request("x", start);
    run(a, "a", start, start);
    subject_authority restarted{"a", lease};
    restarted.request("y", start + 1s);
    run(restarted, "a", start + 1s, start + 1s);
    EXPECT_EQ(restarted.next(start + 1s).at, start + 1s + lease + subject_authority::margin);
}

// Guards against falling tokens if the store's partition begins again.
TEST_F(subject_authority_test, grants_no_token_that_is_not_above_all_earlier_ones)
{
    a.request("x", start);
    run(a, "a", start, start);
    store.end = 2;
    store.newest.reset();
    a.request("y", start + 5s);
    const auto append = a.next(start + 5s);
    a.begin(append, start + 5s);
    a.handle_append_refusal(start + 5s);
    a.begin(a.next(start + 5s), start + 5s);
    a.handle_read_result(store.newest, store.end, start + 5s);
    a.begin(a.next(start + 5s), start + 5s);
    a.handle_append_result(2, start + 5s);
    EXPECT_FALSE(a.current_permit(start + 5s));
}

// Regression: after the store had returned without the record of a holder, another host replaced
// the record before it at once, and acted within a lease of the holder's last call.
TEST_F(subject_authority_test, appends_nothing_for_a_lease_and_the_margin_after_a_return)
{
    a.request("x", start);
    run(a, "a", start, start);
    a.begin_history(2, start + 1s);
    EXPECT_FALSE(a.current_permit(start + 1s)) << "the record of the permit may be lost";
    store.newest.reset();
    store.end = 3;
    a.request("y", start + 1s);
    run(a, "a", start + 1s, start + 1s);
    const auto allowed = start + 1s + lease + subject_authority::margin;
    EXPECT_EQ(a.next(allowed - 1ms).what, step::wait);
    run(a, "a", allowed, allowed);
    ASSERT_TRUE(a.current_permit(allowed));
    EXPECT_GT(a.current_permit(allowed)->fencing_token, 8U);
    EXPECT_EQ(a.current_permit(allowed)->record, 3U);
}

TEST_F(subject_authority_test, an_append_that_another_history_acknowledges_grants_nothing)
{
    a.request("x", start);
    a.begin(a.next(start), start);
    a.handle_read_result(std::nullopt, 7, start);
    a.begin(a.next(start), start);
    a.begin_history(2, start);
    a.handle_append_result(7, start);
    EXPECT_FALSE(a.current_permit(start));
    EXPECT_EQ(a.next(start).what, step::read);
}

// Guards against an append of an ended history that is carried out late and hides a newer record.
TEST_F(subject_authority_test, waits_again_after_its_own_record_of_an_ended_history)
{
    a.request("x", start);
    run(a, "a", start, start);
    a.begin_history(2, start + 1s);
    EXPECT_EQ(a.complete_since(), start + 1s);
    a.request("y", start + 9s);
    a.begin(a.next(start + 9s), start + 9s);
    a.handle_read_result(duty_record{"a", "x", 9}, 10, start + 9s);
    EXPECT_EQ(a.complete_since(), start + 9s);
    EXPECT_EQ(a.next(start + 9s).at, start + 9s + lease + subject_authority::margin);
}

TEST_F(subject_authority_test, finds_what_a_returned_store_has_lost_without_an_epoch)
{
    a.request("x", start);
    run(a, "a", start, start);
    const duty_record own{"a", "x", 7};
    a.handle_announced_record(9, start + 1s);
    a.request("y", start + 1s);
    a.begin(a.next(start + 1s), start + 1s);
    const duty_record announced{"b", "z", 9};
    EXPECT_EQ(a.find_discontinuity(announced, 10), "");
    EXPECT_NE(a.find_discontinuity(own, 8), "") << "an announced record is gone";
    EXPECT_NE(a.find_discontinuity(announced, 7), "") << "the partition is shorter";
    EXPECT_NE(a.find_discontinuity(duty_record{"b", "x", 7}, 10), "") << "another record";
    EXPECT_NE(a.find_discontinuity(std::nullopt, 10), "");
}

// Three hosts that all want to act all the time, with lost answers, appends that are carried out
// late, freezes and refusals. Guards the rules of the page: tokens rise, no token has two holders,
// and no holder acts again within a lease of another one's call between.
TEST_F(subject_authority_test, keeps_the_rules_under_random_faults)
{
    struct host {
        std::string name;
        subject_authority authority;
        time_point frozen_until{};
        time_point answer_at{};
        std::function<void(time_point)> answer;
    };
    struct late_append {
        time_point at;
        std::string holder;
        std::string content;
        std::uint64_t offset;
    };
    struct call {
        std::string holder;
        time_point at;
        std::uint64_t token;
    };
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random{seed};
        const auto chance = [&](unsigned percent) { return random() % 100 < percent; };
        partition log;
        std::vector<host> hosts;
        for (const auto* name : {"a", "b", "c"}) {
            hosts.push_back({name, subject_authority{name, lease}, {}, {}, {}});
        }
        std::vector<late_append> late;
        std::vector<call> calls;
        unsigned contents = 0;
        for (auto now = start; now < start + 60s; now += 10ms) {
            std::erase_if(late, [&](const late_append& each) {
                if (each.at > now) {
                    return false;
                }
                log.append(each.holder, each.content, each.offset);
                return true;
            });
            for (auto& each : hosts) {
                if (now < each.frozen_until) {
                    continue;
                }
                if (random() % 1'000 < 2) {
                    each.frozen_until = now + milliseconds{random() % 8'000};
                    continue;
                }
                if (each.answer && now >= each.answer_at) {
                    std::exchange(each.answer, nullptr)(now);
                }
                auto& authority = each.authority;
                if (const auto held = authority.current_permit(now)) {
                    calls.push_back({each.name, now, held->fencing_token});
                }
                else if (!authority.is_requested() && chance(5)) {
                    authority.request(std::to_string(++contents), now);
                }
                const auto next = authority.next(now);
                if (next.what != step::read && next.what != step::append) {
                    continue;
                }
                authority.begin(next, now);
                each.answer_at = now + milliseconds{random() % 400};
                if (chance(10)) {
                    each.answer = [&](time_point at) { authority.handle_no_answer(at); };
                    if (next.what == step::append && chance(70)) {
                        late.push_back({now + milliseconds{random() % 6'000}, each.name,
                                        next.content, next.offset});
                    }
                }
                else if (next.what == step::read) {
                    each.answer = [&, newest = log.newest, end = log.end](time_point at) {
                        authority.handle_read_result(newest, end, at);
                    };
                }
                else if (const auto offset = log.append(each.name, next.content, next.offset)) {
                    each.answer = [&, offset](time_point at) {
                        authority.handle_append_result(*offset, at);
                    };
                }
                else {
                    each.answer = [&](time_point at) { authority.handle_append_refusal(at); };
                }
            }
        }
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t last_token = 0;
        std::string holder;
        std::map<std::string, time_point> last_call;
        for (const auto& each : calls) {
            ASSERT_GE(each.token, last_token) << "seed " << seed;
            last_token = each.token;
            ASSERT_EQ(holders.emplace(each.token, each.holder).first->second, each.holder)
                << "seed " << seed;
            if (!holder.empty() && each.holder != holder) {
                const auto before = last_call.find(each.holder);
                ASSERT_TRUE(before == last_call.end() || each.at - before->second > lease)
                    << "seed " << seed;
            }
            last_call[each.holder] = each.at;
            holder = each.holder;
        }
        EXPECT_GT(calls.size(), 0U) << "seed " << seed;
    }
}

} // namespace
} // namespace cicadaport::duties
