// Tests of the memory of hosts with many callers and replicas that each stay within the bounds of
// one message.
//
// They are a program of their own: the peak is that of the process, and the allocator keeps the
// free memory of threads that have ended, 75 MB after one of the other tests.
#include "platform/host_fixture.h"

#include "cicadaport/base/large_blocks.h"

#include <fstream>

namespace cicadaport::platform {
namespace {

using namespace testing;

constexpr std::uint64_t million = 1'000'000;
constexpr std::uint64_t max_memory = 260 * million;
constexpr double allowed_fraction = 0.6;
constexpr std::size_t body_bytes = 4 * 1024 * 1024;

class memory_test : public host_test {
protected:
    void SetUp() override
    {
        // As the host program does.
        base::return_large_blocks();
        host_test::SetUp();
        settings.max_memory = max_memory;
        list_replica("i-1", replica.address());
        start();
        reset_peak();
    }

    // Starts to measure the peak of the resident memory anew.
    static void reset_peak()
    {
        constexpr auto reset_of_peak = "5";
        std::ofstream{"/proc/self/clear_refs"} << reset_of_peak;
    }

    // Returns the peak of the resident memory of the process, which includes the test, in bytes.
    static std::uint64_t peak()
    {
        const std::string name = "VmHWM:";
        std::ifstream status{"/proc/self/status"};
        for (std::string word; status >> word;) {
            if (word == name) {
                std::uint64_t kilobytes = 0;
                status >> kilobytes;
                return kilobytes * 1'024;
            }
        }
        return 0;
    }

    void expect_bounded_memory()
    {
// Sanitizers keep memory that the program has freed.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
        EXPECT_LT(static_cast<double>(peak()), allowed_fraction * max_memory);
#endif
    }

    scripted_server replica{[](const received_request& each) { return signed_answer(each, "x"); }};
};

// Each body was within its bound, and their sum was not bounded.
TEST_F(memory_test, callers_whose_bodies_do_not_end_are_refused_before_the_memory_is_used_up)
{
    constexpr int callers = 80;
    const std::string most(body_bytes - 1, 'x');
    const auto head =
        request("POST", "/once/x", "r", "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    std::vector<std::unique_ptr<caller>> all;
    for (int number = 0; number < callers; ++number) {
        all.push_back(std::make_unique<caller>(settings.caller_address));
        all.back()->send(head);
    }
    constexpr std::size_t pieces = 16;
    const std::string_view rest{most};
    const auto size = most.size() / pieces;
    std::set<std::size_t> refused;
    for (std::size_t piece = 0; piece < pieces; ++piece) {
        for (std::size_t number = 0; number < all.size(); ++number) {
            try {
                if (!refused.contains(number)) {
                    all[number]->send(std::string{rest.substr(piece * size, size)});
                }
            }
            catch (const boost::system::system_error&) {
                refused.insert(number);
            }
        }
        EXPECT_EQ(ask(request("GET", "/safe/x", "sound")).status, 200U) << "sound callers";
    }
    expect_bounded_memory();
    EXPECT_EQ(replica.count([](const auto& each) { return each.path() == "/once/x"; }), 0U);
}

TEST_F(memory_test, a_refused_body_is_answered_with_the_time_to_come_back)
{
    settings.max_memory = 4 * million;
    stop_host();
    start();
    const std::string half(body_bytes / 2, 'x');
    caller from{settings.caller_address};
    from.send(
        request("POST", "/once/x", "r", "Content-Length: " + std::to_string(body_bytes) + "\r\n") +
        half);
    const auto answer = from.receive();
    EXPECT_EQ(answer.status, 503U) << "the request has not run";
    EXPECT_NE(answer.field("Retry-After"), "");
    EXPECT_EQ(answer.field("Connection"), "close");
    EXPECT_EQ(ask(request("POST", "/once/x", "small", "", "order")).status, 200U);
}

// Answers without an end.
scripted_response endless_body()
{
    constexpr std::size_t piece_bytes = 100'000;
    scripted_response out{std::string(piece_bytes, 'x')};
    out.following = endless_body;
    return out;
}

// each answer was broken off at its bound, and their sum was not bounded.
TEST_F(memory_test, answers_without_end_are_broken_off_before_the_memory_is_used_up)
{
    constexpr std::size_t callers = 60;
    replica.set_answer([](const received_request& each) {
        if (each.path() == "/safe/x") {
            return signed_answer(each, "x");
        }
        scripted_response out{"HTTP/1.1 200 OK\r\nRequest-Id: " + each.field("Request-Id") +
                              "\r\nResponse-Seal: s\r\n\r\n"};
        out.following = endless_body;
        return out;
    });
    std::vector<std::unique_ptr<caller>> all;
    for (std::size_t number = 0; number < callers; ++number) {
        all.push_back(std::make_unique<caller>(settings.caller_address));
        all.back()->send(request("POST", "/once/x", "r" + std::to_string(number), "", "order"));
    }
    EXPECT_EQ(ask(request("GET", "/safe/x", "sound")).status, 200U) << "sound callers";
    for (const auto& each : all) {
        EXPECT_EQ(each->receive().status, 502U) << "the request may have run";
    }
    expect_bounded_memory();
}

// Whole answers to callers that do not read stayed queued, each within its bound.
TEST_F(memory_test, callers_that_do_not_read_are_reset_before_the_memory_is_used_up)
{
    constexpr std::size_t callers = 60;
    constexpr std::size_t answer_bytes = 7 * 1024 * 1024;
    replica.set_answer([body = std::string(answer_bytes, 'x')](const received_request& each) {
        return signed_answer(each, each.path() == "/safe/x" ? "x" : body);
    });
    std::vector<std::unique_ptr<caller>> all;
    for (std::size_t number = 0; number < callers; ++number) {
        all.push_back(std::make_unique<caller>(settings.caller_address));
        all.back()->send(request("GET", "/safe/large", "r" + std::to_string(number)));
        // The next answer is made when this one was received: the replica is in this process, too.
        EXPECT_EQ(ask(request("GET", "/safe/x", "sound")).status, 200U) << "sound callers";
    }
    EXPECT_EQ(ask(request("GET", "/safe/x", "sound")).status, 200U) << "sound callers";
    expect_bounded_memory();
    EXPECT_TRUE(std::any_of(all.begin(), all.end(), [](const auto& each) {
        return !each->receive().complete;
    })) << "callers see that their answers are incomplete";
}

// One caller that pipelined requests and read no answer took all memory.
TEST_F(memory_test, the_next_request_waits_until_its_caller_has_read_the_last_answer)
{
    constexpr int count = 100;
    constexpr int max_requests_ahead = 10;
    std::atomic<int> received{0};
    replica.set_answer([&, body = std::string(million, 'x')](const received_request& each) {
        ++received;
        return signed_answer(each, body);
    });
    std::string requests;
    for (int number = 0; number < count; ++number) {
        requests += request("GET", "/safe/x", "r" + std::to_string(number));
    }
    caller reader{settings.caller_address};
    reader.send(requests);
    ASSERT_TRUE(eventually([&] { return received > 0; }));
    std::this_thread::sleep_for(500ms);
    EXPECT_LT(received, max_requests_ahead) << "the caller has read nothing";
    for (int number = 0; number < count; ++number) {
        EXPECT_EQ(reader.receive().body.size(), million);
    }
    expect_bounded_memory();
}

} // namespace
} // namespace cicadaport::platform
