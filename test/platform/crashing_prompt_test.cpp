// Tests of hosts with prompts that contain a segment on which every engine crashes.
#include "crashing_engines.h"
#include "host_fixture.h"

#include "cicadaport/serving/prompt_quarantine.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::crashing_engines;
using testing::prompt_fields;
using testing::request;

// Crashes after which all hosts must know the segment, and how many further requests with it
// may reach an engine.
constexpr std::size_t tolerated_crashes = 5;
constexpr std::size_t allowed_extra_count = 3;

std::string prompt_request(const std::string& id, const std::string& shared_segments)
{
    return request("POST", "/prompt/x", id, prompt_fields(id, shared_segments), "q");
}

std::string deadly_request(int number)
{
    return prompt_request("d" + std::to_string(number),
                          "b1:100," + std::string{testing::deadly_segment});
}

class crashing_prompt_test : public testing::fleet_test {
protected:
    static constexpr int engines = 6;
    static constexpr int rounds = 16;
    // Time between two requests with the deadly segment: crashed engines are back by then.
    static constexpr auto round_time = 400ms;

    std::unique_ptr<crashing_engines> make_engines()
    {
        return std::make_unique<crashing_engines>(
            engines,
            [this](const std::string& previous_id, const std::string& id, const http::address& at) {
                if (!previous_id.empty()) {
                    store.put(std::string{testing::replicas_topic}, previous_id, "");
                }
                list_replica(id, at, "e", R"(,"stage":"decode")");
            });
    }

    // Returns the host that receives the n-th request.
    const http::address& host(int number) const
    {
        return fleet[static_cast<std::size_t>(number % hosts)].settings.caller_address;
    }

    // Sends sound prompts with the same first segments. Returns how many were not served.
    int send_sound_prompts(int round)
    {
        int unserved = 0;
        for (int number = 0; number < hosts; ++number) {
            const auto id = "c" + std::to_string(round) + std::to_string(number);
            const auto second = "b" + std::to_string(1 + round % 3);
            unserved +=
                testing::caller{host(number)}.ask(prompt_request(id, second)).status == 200 ? 0 : 1;
        }
        return unserved;
    }
};

// A prompt segment that crashes every engine must be kept away from the engines that are left.
TEST_F(crashing_prompt_test, a_segment_that_crashes_engines_reaches_no_more_of_them)
{
    const auto engine_fleet = make_engines();
    start_fleet();
    int unserved = 0;
    for (int round = 0; round < rounds; ++round) {
        testing::caller{host(round)}.ask(deadly_request(round));
        std::this_thread::sleep_for(round_time);
        unserved += send_sound_prompts(round);
    }
    EXPECT_LE(engine_fleet->deadly_count(), tolerated_crashes + allowed_extra_count);
    EXPECT_EQ(unserved, 0) << "sound prompts with the same first segments are served";
    const auto refused = testing::caller{host(0)}.ask(deadly_request(rounds));
    EXPECT_EQ(refused.status, 503U);
    EXPECT_NE(refused.field("Retry-After"), "");
}

// Prompts that wait at an engine when their segment is quarantined must not crash it.
TEST_F(crashing_prompt_test, waiting_prompts_are_cancelled_when_their_segment_is_quarantined)
{
    const auto engine_fleet = make_engines();
    engine_fleet->delay_deadly(4s);
    start_fleet();
    std::vector<std::thread> callers;
    std::atomic<int> answered{0};
    constexpr int waiting = 4;
    for (int number = 0; number < waiting; ++number) {
        callers.emplace_back([&, number] {
            answered += testing::caller{host(number)}.ask(deadly_request(number)).status == 502U;
        });
    }
    ASSERT_TRUE(testing::eventually([&] { return engine_fleet->deadly_count() == waiting; }));
    engine_fleet->delay_deadly(0s);
    for (int number = 0; number < 3; ++number) {
        testing::caller{host(number)}.ask(deadly_request(waiting + number));
        // A host may still know a restarted engine as the one that crashed before.
        std::this_thread::sleep_for(serving::prompt_quarantine::same_crash_time + 100ms);
    }
    for (auto& each : callers) {
        each.join();
    }
    EXPECT_EQ(answered, waiting);
    EXPECT_LE(engine_fleet->crash_count(), 3U);
}

// When a zone's replicas are reclaimed, they end with answers to prompts that share segments.
TEST_F(crashing_prompt_test, replicas_that_were_announced_to_leave_convict_no_segment)
{
    std::mutex mutex;
    std::map<std::string, http::address> listed;
    crashing_engines engine_fleet{
        engines,
        [&](const std::string& previous_id, const std::string& id, const http::address& at) {
            const std::lock_guard lock{mutex};
            if (!previous_id.empty()) {
                store.put(std::string{testing::replicas_topic}, previous_id, "");
                listed.erase(previous_id);
            }
            listed.emplace(id, at);
            list_replica(id, at, "e", R"(,"stage":"decode")");
        }};
    engine_fleet.delay_deadly(4s);
    start_fleet();
    std::vector<std::thread> callers;
    // With different first segments they are spread over the engines.
    constexpr int waiting = 12;
    for (int number = 0; number < waiting; ++number) {
        callers.emplace_back([&, number] {
            const auto id = "d" + std::to_string(number);
            testing::caller{host(number)}.ask(
                prompt_request(id, "c" + std::to_string(number) + ":1000," +
                                       std::string{testing::deadly_segment}));
        });
    }
    EXPECT_TRUE(testing::eventually([&] { return engine_fleet.deadly_count() == waiting; }));
    {
        const std::lock_guard lock{mutex};
        for (const auto& [id, at] : listed) {
            list_replica(id, at, "e", R"(,"stage":"decode")", "draining", 2);
        }
    }
    for (auto& each : callers) {
        each.join();
    }
    engine_fleet.delay_deadly(0s);
    EXPECT_TRUE(testing::eventually([&] {
        testing::caller{host(0)}.ask(deadly_request(waiting));
        return engine_fleet.deadly_count() >= waiting + 2;
    })) << "one further crash is no reason for a quarantine";
}

TEST_F(crashing_prompt_test, crashes_without_a_common_segment_refuse_no_prompt)
{
    const auto engine_fleet = make_engines();
    start_fleet();
    for (int round = 0; round < rounds; ++round) {
        engine_fleet->crash(round % engines);
        std::this_thread::sleep_for(round_time);
        EXPECT_EQ(send_sound_prompts(round), 0);
    }
}

} // namespace
} // namespace cicadaport::platform
