// Tests of hosts with requests that crash each replica that begins to run them.
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

// Crashes after which all hosts must know the request, and how many more times
// it may reach a replica.
constexpr std::size_t tolerated_crashes = 3;
constexpr std::size_t allowed_extra_count = 3;

// The same request under an id of its own. The prompt's shared segments are
// common.
std::string deadly_prompt(const std::string& id)
{
    return request("POST", "/prompt/x", id,
                   prompt_fields(std::string{testing::deadly_segment}, "b1"), "q");
}

std::string sound_prompt(const std::string& id)
{
    return request("POST", "/prompt/x", id, prompt_fields(id, "b1"), "q" + id);
}

std::string plain_request(const std::string& path, const std::string& id, const std::string& body)
{
    return request("POST", path, id, "", body);
}

class crashing_request_test : public testing::fleet_test {
protected:
    static constexpr int replicas = 6;
    static constexpr int rounds = 8;
    // Time between two of the requests. Crashed replicas are back by then; a host
    // that still knows one by its earlier id does not take its next crash for the
    // same one.
    static constexpr auto round_time = serving::prompt_quarantine::same_crash_time + 100ms;

    std::unique_ptr<crashing_engines> make_replicas(const std::string& service,
                                                    const std::string& stage,
                                                    const std::string& id_prefix = "")
    {
        return std::make_unique<crashing_engines>(
            replicas,
            [this, service, stage, id_prefix](const std::string& previous_id, const std::string& id,
                                              const http::address& at) {
                if (!previous_id.empty()) {
                    store.put(std::string{testing::replicas_topic}, id_prefix + previous_id, "");
                }
                list_replica(id_prefix + id, at, service, stage);
            });
    }

    testing::caller::answer ask_host(int number, const std::string& bytes)
    {
        const auto index = static_cast<std::size_t>(number % hosts);
        return testing::caller{fleet[index].settings.caller_address}.ask(bytes);
    }

    // Sends the deadly request to one host after the other, and sound ones in
    // between.
    template <typename Deadly, typename Sound>
    void run_rounds(Deadly deadly, Sound sound)
    {
        for (int round = 0; round < rounds; ++round) {
            ask_host(round, deadly("d" + std::to_string(round)));
            std::this_thread::sleep_for(round_time);
            for (int number = 0; number < hosts; ++number) {
                const auto id = "c" + std::to_string(round) + "-" + std::to_string(number);
                EXPECT_EQ(ask_host(number, sound(id)).status, 200U) << id;
            }
        }
    }

    void expect_refused(const std::string& bytes)
    {
        const auto refused = ask_host(0, bytes);
        EXPECT_EQ(refused.status, 503U);
        EXPECT_NE(refused.field("Retry-After"), "");
    }
};

TEST_F(crashing_request_test, a_prompt_that_crashes_engines_by_its_own_part_reaches_no_more_of_them)
{
    const auto engines = make_replicas("e", R"(,"stage":"decode")");
    start_fleet();
    run_rounds(deadly_prompt, sound_prompt);
    EXPECT_LE(engines->deadly_count(), tolerated_crashes + allowed_extra_count);
    expect_refused(deadly_prompt("last"));
}

// Regression: engines that ended while they prefilled the prompt for another
// were not counted.
TEST_F(crashing_request_test, a_prompt_that_crashes_engines_of_both_stages_reaches_no_more_of_them)
{
    const auto prefill_engines = make_replicas("e", R"(,"stage":"prefill")");
    const auto decode_engines = make_replicas("e", R"(,"stage":"decode")", "d-");
    start_fleet();
    for (int round = 0; round < rounds; ++round) {
        ask_host(round, deadly_prompt("d" + std::to_string(round)));
        std::this_thread::sleep_for(round_time);
    }
    EXPECT_LE(prefill_engines->deadly_count() + decode_engines->deadly_count(),
              tolerated_crashes + allowed_extra_count);
    expect_refused(deadly_prompt("last"));
}

TEST_F(crashing_request_test, a_plain_request_that_crashes_replicas_reaches_no_more_of_them)
{
    const auto servers = make_replicas("s", "");
    start_fleet();
    const std::string deadly{testing::deadly_body};
    run_rounds([&](const std::string& id) { return plain_request("/once/x", id, deadly); },
               [](const std::string& id) { return plain_request("/once/x", id, "order " + id); });
    EXPECT_LE(servers->deadly_count(), tolerated_crashes + allowed_extra_count);
    expect_refused(plain_request("/once/x", "last", deadly));
}

// Regression: only a success cleared a request, so that this one was
// quarantined on all hosts.
TEST_F(crashing_request_test, a_request_that_replicas_answer_with_an_error_is_not_quarantined)
{
    const auto servers = make_replicas("s", "");
    servers->set_status(404);
    start_fleet();
    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    for (int number = 0; number < hosts; ++number) {
        callers.emplace_back([&, number] {
            for (int count = 0; !is_over; ++count) {
                const auto id = std::to_string(number) + "-" + std::to_string(count);
                ask_host(number, request("GET", "/safe/x", id));
            }
        });
    }
    for (int round = 0; round < replicas; ++round) {
        servers->crash(round % replicas);
        std::this_thread::sleep_for(round_time);
    }
    is_over = true;
    for (auto& each : callers) {
        each.join();
    }
    EXPECT_EQ(ask_host(0, request("GET", "/safe/x", "last")).status, 404U);
}

// Regression: crashes that a request without an id interrupted were not
// announced.
TEST_F(crashing_request_test, crashes_by_a_request_without_an_id_are_known_to_all_hosts)
{
    const auto servers = make_replicas("s", "");
    start_fleet();
    const std::string bytes = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 5000\r\n"
                              "Content-Length: 6\r\n\r\n" +
                              std::string{testing::deadly_body};
    for (std::size_t round = 0; round < tolerated_crashes; ++round) {
        ask_host(0, bytes);
        std::this_thread::sleep_for(round_time);
    }
    for (int number = 0; number < hosts; ++number) {
        EXPECT_EQ(ask_host(number, bytes).status, 503U) << "host " << number;
    }
    EXPECT_EQ(servers->deadly_count(), tolerated_crashes);
}

TEST_F(crashing_request_test, a_request_that_may_be_repeated_is_not_sent_on_from_crash_to_crash)
{
    const auto servers = make_replicas("s", "");
    start_fleet();
    const std::string deadly{testing::deadly_body};
    run_rounds([&](const std::string& id) { return plain_request("/safe/x", id, deadly); },
               [](const std::string& id) { return plain_request("/safe/x", id, "read " + id); });
    EXPECT_LE(servers->deadly_count(), tolerated_crashes + allowed_extra_count);
}

} // namespace
} // namespace cicadaport::platform
