// A sound replica stands still within a stream: it sends nothing and answers no check, and goes on
// later. Its stream must not end because of that, whatever the other replicas do.
#include "host_fixture.h"

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::caller;
using testing::events;
using testing::eventually;
using testing::not_executed;
using testing::pausing_stream;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::stream;

using end = scripted_response::then;

constexpr auto silence = 2'000ms;
// Two replicas may work on one stream for this long.
constexpr auto max_overlap = 400ms;

bool continues_stream(const received_request& each)
{
    return !each.field("Last-Event-Id").empty();
}

class silent_replica_test : public testing::host_test {
protected:
    using answer_function = scripted_server::answer_function;

    void SetUp() override
    {
        host_test::SetUp();
        settings.attempts.ratio = 2;
    }

    // Starts a host with two replicas. The one that begins a stream is silent within it, as `begin`
    // tells; the other one is asked to continue the stream.
    void start_with(answer_function begin, answer_function other)
    {
        const auto serve = [begin, other](const received_request& each) {
            if (testing::is_status_request(each)) {
                return scripted_response{};
            }
            return continues_stream(each) ? other(each) : begin(each);
        };
        one.set_answer(serve);
        two.set_answer(serve);
        list_replica("i-1", one.address());
        list_replica("i-2", two.address());
        start();
    }

    static scripted_response silent_for_a_while(const received_request& each)
    {
        return pausing_stream(each, 2, 4, silence);
    }

    static scripted_response dark(const received_request& each)
    {
        return pausing_stream(each, 2, 4, 1min);
    }

    // The replica resets its connection after a silence.
    static scripted_response breaks_off_silently(const received_request& each)
    {
        auto out = stream(each, "s", events(1, 2), end::close);
        out.after = end::keep;
        out.following = [] { return scripted_response{"", end::reset, 1'700ms}; };
        return out;
    }

    caller::answer ask_for_stream() { return ask(request("POST", "/going/x", "r1", "", "q")); }

    std::size_t continuations() const
    {
        return one.count(continues_stream) + two.count(continues_stream);
    }

    int abandoned_streams() const
    {
        return one.abandoned() + two.abandoned() -
               static_cast<int>(one.count(testing::is_status_request) +
                                two.count(testing::is_status_request));
    }

    void expect_whole_stream()
    {
        const auto answer = ask_for_stream();
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, events(1, 4));
        EXPECT_EQ(answer.field("Response-Seal"), "s");
        EXPECT_GT(continuations(), 0U);
    }

    scripted_server one{dark};
    scripted_server two{dark};
};

// Regression: a silent replica was left before another one had agreed to continue its stream.
TEST_F(silent_replica_test, a_stream_that_no_other_replica_takes_goes_on_at_its_own)
{
    start_with(silent_for_a_while, not_executed);
    expect_whole_stream();
}

TEST_F(silent_replica_test, a_stream_goes_on_at_its_own_replica_while_the_other_one_is_silent_too)
{
    start_with(silent_for_a_while, [](const received_request&) { return scripted_response{}; });
    expect_whole_stream();
    EXPECT_TRUE(eventually([this] { return abandoned_streams() == 1; }))
        << "the attempt to continue the stream is cancelled";
}

TEST_F(silent_replica_test, a_stream_goes_on_at_its_own_replica_when_the_other_one_breaks_off)
{
    start_with(silent_for_a_while, [](const received_request&) {
        return scripted_response{"", end::reset};
    });
    expect_whole_stream();
}

TEST_F(silent_replica_test, a_stream_goes_on_at_its_own_replica_when_the_other_one_fails)
{
    start_with(silent_for_a_while, [](const received_request& each) {
        return testing::make_response(500, "Request-Id: " + each.field("Request-Id") + "\r\n",
                                      "id: 9\ndata: error\n\n");
    });
    expect_whole_stream();
}

TEST_F(silent_replica_test, an_event_is_whole_when_its_replica_was_silent_within_it)
{
    start_with(
        [](const received_request& each) {
            auto out = stream(each, "s", events(1, 2) + "id: 3\nda", end::close);
            out.after = end::keep;
            const auto rest = std::string{"ta: e3\n\n"} + events(4, 4);
            out.rest = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", rest.size(), rest);
            out.pause = silence;
            return out;
        },
        not_executed);
    expect_whole_stream();
}

TEST_F(silent_replica_test, a_silent_replica_is_left_once_another_one_continues_its_stream)
{
    start_with(silent_for_a_while, [](const received_request& each) {
        return stream(each, "other", events(3, 4), end::keep);
    });
    expect_whole_stream();
    EXPECT_TRUE(eventually([this] { return abandoned_streams() == 1; }));
}

// Regression: both replicas worked on the stream until the second one had sent a whole event.
TEST_F(silent_replica_test, a_silent_replica_is_left_with_the_first_byte_of_another_one)
{
    constexpr auto pause = 3s;
    start_with(dark, [pause](const received_request& each) {
        auto out = stream(each, "other", "id: 3\nda", end::close);
        out.after = end::keep;
        const auto rest = "ta: e3\n\n" + events(4, 4);
        out.rest = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", rest.size(), rest);
        out.pause = pause;
        return out;
    });
    caller waiting{settings.caller_address};
    waiting.send(request("POST", "/going/x", "r1", "", "q"));
    ASSERT_TRUE(eventually([this] { return continuations() == 1; }));
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_TRUE(eventually([this] { return abandoned_streams() == 1; }));
    EXPECT_LT(std::chrono::steady_clock::now() - begun, max_overlap);
    const auto answer = waiting.receive();
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
}

TEST_F(silent_replica_test, the_other_replica_continues_the_stream_when_the_silent_one_breaks_off)
{
    start_with(
        [](const received_request& each) {
            auto out = stream(each, "s", events(1, 2), end::close);
            out.after = end::keep;
            out.following = [] { return scripted_response{"", end::reset, 1'700ms}; };
            return out;
        },
        [](const received_request& each) {
            auto out = stream(each, "other", events(3, 4), end::keep);
            out.delay = 1s;
            return out;
        });
    expect_whole_stream();
}

// Regression: such a stream hung until its deadline.
TEST_F(silent_replica_test, a_third_replica_is_asked_when_the_second_one_never_answers)
{
    publish(2, 3);
    std::atomic<int> asked{0};
    const auto continuing = [&](const received_request& each) {
        return ++asked == 1 ? scripted_response{} : stream(each, "other", events(3, 4), end::keep);
    };
    scripted_server three{[&](const received_request& each) {
        return testing::is_status_request(each) ? scripted_response{}
               : continues_stream(each)         ? continuing(each)
                                                : breaks_off_silently(each);
    }};
    list_replica("i-3", three.address());
    start_with(breaks_off_silently, continuing);
    const auto answer = ask_for_stream();
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 4));
    EXPECT_EQ(asked, 2);
}

TEST_F(silent_replica_test, a_stream_without_a_replica_that_speaks_ends_with_its_deadline)
{
    start_with(dark, [](const received_request&) { return scripted_response{}; });
    const auto began = std::chrono::steady_clock::now();
    const auto answer = ask_for_stream();
    EXPECT_FALSE(answer.complete);
    EXPECT_EQ(answer.body, events(1, 2));
    EXPECT_LT(std::chrono::steady_clock::now() - began, 5'500ms);
    EXPECT_TRUE(eventually([this] { return abandoned_streams() == 2; }));
}

TEST_F(silent_replica_test, both_replicas_are_told_when_the_caller_leaves)
{
    start_with(dark, [](const received_request&) { return scripted_response{}; });
    caller leaving{settings.caller_address};
    leaving.send(request("POST", "/going/x", "r1", "", "q"));
    ASSERT_TRUE(eventually([this] { return continuations() == 1; }));
    EXPECT_EQ(abandoned_streams(), 0);
    leaving.disconnect();
    EXPECT_TRUE(eventually([this] { return abandoned_streams() == 2; }));
}

} // namespace
} // namespace cicadaport::platform
