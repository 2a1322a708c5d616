// A faulty replica writes an earlier refusal once more on a kept connection. It tells nothing about
// the request that is sent there next.
#include "relay_fixture.h"

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::events;
using testing::make_response;
using testing::not_executed;
using testing::received_request;
using testing::request;
using testing::scripted_response;
using testing::scripted_server;
using testing::signed_answer;
using testing::stream;

// When the copy of a refusal is written, whether it has the refused request's id, and whether it
// announces a close.
enum class copy_time { with_refusal, before_next, with_next_answer, before_next_answer };
struct copy_kind {
    copy_time time = copy_time::with_refusal;
    bool has_id = false;
    bool closes = false;
};

// Refuses requests whose ids begin with "refused", and those that begin with "again" the first
// time, and runs the others. Copies of the last refusal are written as `set()` says.
class faulty_replica {
public:
    explicit faulty_replica(bool streams = false) : m_streams{streams} {}

    scripted_response operator()(const received_request& each)
    {
        const std::lock_guard lock{m_mutex};
        const auto id = each.field("Request-Id");
        if (id.starts_with("refused") || (id.starts_with("again") && m_refused_id != id)) {
            m_refused_id = id;
            auto out = refusal(true, false);
            if (m_kind.time == copy_time::with_refusal) {
                out.bytes += refusal(m_kind.has_id, m_kind.closes).bytes;
            }
            else if (m_kind.time == copy_time::before_next) {
                out.rest = refusal(m_kind.has_id, m_kind.closes).bytes;
                out.pause = 1ms;
            }
            return out;
        }
        ++m_runs[id];
        auto out = m_streams ? stream(each, "s", body(), scripted_response::then::keep)
                             : signed_answer(each, body());
        const auto copy = refusal(m_kind.has_id, m_kind.closes).bytes;
        if (each.earlier_on_connection > 0 && m_kind.time == copy_time::with_next_answer) {
            out.bytes = copy + out.bytes;
        }
        else if (each.earlier_on_connection > 0 && m_kind.time == copy_time::before_next_answer) {
            out.rest = std::exchange(out.bytes, copy);
            out.pause = 10ms;
        }
        return out;
    }

    void set(const copy_kind& kind)
    {
        const std::lock_guard lock{m_mutex};
        m_kind = kind;
    }

    int runs(const std::string& id)
    {
        const std::lock_guard lock{m_mutex};
        return m_runs[id];
    }

    static std::string body() { return events(1, 3); }

private:
    scripted_response refusal(bool has_id, bool closes) const
    {
        return make_response(503,
                             std::string{"Not-Executed: 1\r\nKeep-Alive: timeout=5\r\n"} +
                                 (has_id ? "Request-Id: " + m_refused_id + "\r\n" : "") +
                                 (closes ? "Connection: close\r\n" : ""),
                             "");
    }

    std::mutex m_mutex;
    copy_kind m_kind;
    bool m_streams;
    std::string m_refused_id = "refused";
    std::map<std::string, int> m_runs;
};

class repeated_refusal_test : public testing::relaying_host_test {
protected:
    void SetUp() override
    {
        relaying_host_test::SetUp();
        settings.attempts.ratio = 2;
    }

    // Sends pairs of requests, of which the first is refused. The second one must run once, and its
    // caller must not be told that it did not run.
    void expect_true_answers(const std::string& route, faulty_replica& replica,
                             const std::string& fields = "")
    {
        for (int kind = 0; kind < 16; ++kind) {
            replica.set({static_cast<copy_time>(kind / 4), kind % 2 == 1, kind / 2 % 2 == 1});
            const auto number = std::to_string(++m_number);
            const auto target = "/" + route + "/x";
            const auto refused = ask(request("POST", target, "refused" + number, fields, "q"));
            // A copy of the refusal before may arrive in place of this one.
            EXPECT_TRUE(refused.status == 503 || refused.status == 502) << kind;
            const auto answer = ask(request("POST", target, "run" + number, fields, "q"));
            EXPECT_TRUE(answer.status == 502 ||
                        (answer.status == 200 && answer.complete && answer.body == replica.body()))
                << kind << " " << answer.status;
            EXPECT_EQ(replica.runs("run" + number), 1) << kind;
        }
    }

    void expect_true_answers_of_two_replicas(const std::string& route, bool streams)
    {
        faulty_replica replica{streams};
        scripted_server one{std::ref(replica)};
        scripted_server two{std::ref(replica)};
        list_replica("i-1", one.address());
        list_replica("i-2", two.address());
        start();
        expect_true_answers(route, replica);
        stop_host();
    }

private:
    int m_number = 0;
};

TEST_F(repeated_refusal_test, does_not_tell_that_a_request_that_may_run_once_has_not_run)
{
    expect_true_answers_of_two_replicas("once", false);
}

TEST_F(repeated_refusal_test, does_not_tell_that_a_stream_has_not_run)
{
    expect_true_answers_of_two_replicas("stream", true);
}

TEST_F(repeated_refusal_test, does_not_tell_that_a_relayed_request_has_not_run)
{
    faulty_replica replica;
    scripted_server other{std::ref(replica)};
    start_relaying({&other});
    expect_true_answers("once", replica);
}

// The prefill and the run of a prompt have the same id.
TEST_F(repeated_refusal_test, of_a_prefill_does_not_tell_that_the_prompt_has_not_run)
{
    const std::string prompt = "Token-Count: 900,80\r\nPrompt-Prefix: a:500,b:400\r\n";
    std::atomic<bool> copies_follow{false};
    scripted_server prefill{[&](const received_request& each) {
        const auto id = "Request-Id: " + each.field("Request-Id") + "\r\n";
        auto out = make_response(200, id + "Keep-Alive: timeout=5\r\n", R"({"kv-handle":"h1"})");
        if (copies_follow) {
            out.bytes += not_executed(each).bytes;
        }
        return out;
    }};
    faulty_replica replica{true};
    scripted_server decode{std::ref(replica)};
    list_replica("i-p", prefill.address(), "e", R"(,"stage":"prefill")");
    list_replica("i-d", decode.address(), "e", R"(,"stage":"decode")");
    publish(2, 3);
    start();
    expect_true_answers("prompt", replica, prompt);
    copies_follow = true;
    expect_true_answers("prompt", replica, prompt);
}

// A replica that was started again under another id is listed twice until its old entry expires.
TEST_F(repeated_refusal_test, is_not_matched_to_the_same_request_sent_once_more)
{
    faulty_replica replica;
    scripted_server server{std::ref(replica)};
    list_replica("i-1", server.address());
    list_replica("i-2", server.address());
    start();
    for (const auto time :
         {copy_time::before_next, copy_time::with_next_answer, copy_time::before_next_answer}) {
        replica.set({time, true, false});
        const auto id = "again" + std::to_string(static_cast<int>(time));
        const auto answer = ask(request("POST", "/once/x", id, "", "q"));
        EXPECT_EQ(answer.status, 200U) << id;
        EXPECT_EQ(answer.body, replica.body()) << id;
        EXPECT_EQ(replica.runs(id), 1) << id;
    }
}

TEST_F(repeated_refusal_test, a_request_is_not_sent_again_to_the_replica_that_refused_it)
{
    scripted_server one{not_executed};
    scripted_server two{not_executed};
    list_replica("i-1", one.address());
    list_replica("i-2", two.address());
    publish(2, 5);
    start();
    for (const std::string route : {"once", "safe", "stream", "going"}) {
        ask(request("POST", "/" + route + "/x", route, "", "q"));
        for (const auto* each : {&one, &two}) {
            EXPECT_LE(each->count([&](const received_request& seen) {
                return seen.field("Request-Id") == route;
            }),
                      1U)
                << "a second copy of its refusal could not be told from a new one";
        }
    }
}

} // namespace
} // namespace cicadaport::platform
