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

TEST_F(subject_authority_test, GrantsAPermitForHalfALeaseFromWhenTheAppendWasSent)
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
TEST_F(subject_authority_test, GrantsNothingForAnAcknowledgementThatComesTooLate)
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

TEST_F(subject_authority_test, NeedsANewAppendForALaterOrOtherCall)
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
TEST_F(subject_authority_test, ReadsAgainAfterALostAnswerAndIsNotGrantedByItsOwnRecord)
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
TEST_F(subject_authority_test, ReadsAgainIfItsOwnAppendWasCarriedOutLate)
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

TEST_F(subject_authority_test, ReplacesARecordOfAnotherHostOnlyAfterTheLeaseAndTheMargin)
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
TEST_F(subject_authority_test, WaitsAgainIfTheOtherHostHasAppendedMeanwhile)
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

TEST_F(subject_authority_test, KeepsItsTimeIfOnlyAnotherSubjectOfThePartitionWasAppended)
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

TEST_F(subject_authority_test, CountsTheTimeOfARecordFromItsAnnouncement)
{
    a.request("x", start);
    run(a, "a", start, start);
    b.handle_announced_record(7, start + 100ms);
    b.request("y", start + 5s);
    run(b, "b", start + 5s, start + 5s);
    EXPECT_EQ(b.current_permit(start + 5s)->fencing_token, 9U);
}

TEST_F(subject_authority_test, ReadsBeforeItAppendsAfterAnAnnouncementOfANewerRecord)
{
    a.request("x", start);
    run(a, "a", start, start);
    a.handle_announced_record(9, start + 6s);
    a.request("y", start + 6s);
    EXPECT_EQ(a.next(start + 6s).what, step::read);
}

// Guards against a process that takes over the permit of an earlier process of its host.
TEST_F(subject_authority_test, WaitsAfterARestartForTheLeaseOfTheEarlierProcess)
{
    a.request("x", start);
    run(a, "a", start, start);
    subject_authority restarted{"a", lease};
    restarted.request("y", start + 1s);
    run(restarted, "a", start + 1s, start + 1s);
    EXPECT_EQ(restarted.next(start + 1s).at, start + 1s + lease + subject_authority::margin);
}

// Guards against falling tokens if the store's partition begins again.
TEST_F(subject_authority_test, GrantsNoTokenThatIsNotAboveAllEarlierOnes)
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

// Three hosts that all want to act all the time, with lost answers, appends that are carried out
// late, freezes and refusals. Guards the rules of the page: tokens rise, no token has two holders,
// and no holder acts again within a lease of another one's call between.
TEST_F(subject_authority_test, KeepsTheRulesUnderRandomFaults)
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
