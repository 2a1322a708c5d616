// Tests of hosts with prompts that contain a segment on which every engine crashes.
#include "host_fixture.h"

#include "cicadaport/serving/prompt_quarantine.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::events;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::stream;

// Crashes after which all hosts must know the segment, and how many further requests with it
// may reach an engine.
constexpr std::size_t tolerated_crashes = 5;
constexpr std::size_t allowed_extra_count = 3;
constexpr std::string_view deadly_segment = "dead1";

// Decode engines that crash on `deadly_segment` and are listed again after a restart.
class crashing_engines {
public:
    // Lists an engine under a new id instead of its previous one, which may be empty.
    using list_function = std::function<void(const std::string& previous_id, const std::string& id,
                                             const http::address& at)>;

    crashing_engines(int count, list_function list) : m_list{std::move(list)}
    {
        for (int number = 0; number < count; ++number) {
            m_engines.push_back(std::make_unique<scripted_server>(
                [this, number](const received_request& each) { return answer(number, each); }));
            list_engine(number);
        }
    }

    // Crashes an engine whatever it runs.
    void crash(int number)
    {
        m_engines[static_cast<std::size_t>(number)]->crash(restart_time,
                                                           [this, number] { list_engine(number); });
    }

    // Sets how long a prompt with the deadly segment waits before the engine crashes on it.
    void delay_deadly(std::chrono::milliseconds time) { m_deadly_delay = time; }

    // Number of crashes by the deadly segment.
    std::size_t crash_count() const { return m_crash_count; }
    // Number of requests with the deadly segment that reached an engine.
    std::size_t deadly_count() const { return m_deadly_count; }

private:
    static constexpr auto restart_time = 300ms;

    void list_engine(int number)
    {
        const std::lock_guard lock{m_mutex};
        const auto id = "i-" + std::to_string(++m_incarnations);
        m_list(std::exchange(m_ids[number], id), id,
               m_engines[static_cast<std::size_t>(number)]->address());
    }

    scripted_response answer(int number, const received_request& each)
    {
        if (each.field("Prompt-Prefix").find(deadly_segment) != std::string::npos) {
            ++m_deadly_count;
            // The response is polled only while the caller's connection is open.
            scripted_response waiting;
            waiting.later = [this, number,
                             due = std::chrono::steady_clock::now() +
                                   m_deadly_delay.load()]() -> std::optional<scripted_response> {
                if (std::chrono::steady_clock::now() < due) {
                    return std::nullopt;
                }
                ++m_crash_count;
                crash(number);
                return scripted_response{};
            };
            return waiting;
        }
        return stream(each, "s", events(1, 2), scripted_response::then::keep);
    }

    list_function m_list;
    std::vector<std::unique_ptr<scripted_server>> m_engines;
    std::mutex m_mutex;
    std::map<int, std::string> m_ids;
    std::atomic<std::size_t> m_deadly_count{0};
    std::atomic<std::size_t> m_crash_count{0};
    std::atomic<std::chrono::milliseconds> m_deadly_delay{};
    std::atomic<int> m_incarnations{0};
};

std::string prompt_request(const std::string& id, const std::string& shared_segments)
{
    return request("POST", "/prompt/x", id,
                   "Token-Count: 900,80\r\nPrompt-Prefix: a:300," + shared_segments + ":200," + id +
                       ":400\r\n",
                   "q");
}

std::string deadly_request(int number)
{
    return prompt_request("d" + std::to_string(number), "b1:100," + std::string{deadly_segment});
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
