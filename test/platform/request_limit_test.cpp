// Hosts before replicas that name how many requests a second they take.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform {
namespace {

using namespace std::chrono_literals;
using testing::captured_log;
using ::testing::ContainsRegex;
using testing::events;
using testing::received_request;
using testing::request;
using testing::say;
using testing::scripted_server;
using testing::signed_answer;
using testing::spoken;
using testing::stream;

class request_limit_test : public testing::host_test {};

spoken limited(spoken answer, const std::string& per_second)
{
    const auto end_of_status = answer.bytes.find("\r\n") + 2;
    answer.bytes.insert(end_of_status, "Server-Limit: " + per_second + "\r\n");
    return answer;
}

TEST_F(request_limit_test, the_log_says_who_named_a_limit_and_what_was_sent)
{
    const captured_log log;
    std::atomic<bool> in_need{true};
    scripted_server replica{[&](const received_request& each) {
        return in_need ? limited(signed_answer(each, "x"), "900") : signed_answer(each, "x");
    }};
    list_replica("i-1", replica.address());
    start();
    for (const std::string id : {"r1", "r2", "r3"}) {
        ASSERT_EQ(ask(request("GET", "/safe/x", id)).status, 200U);
    }
    std::this_thread::sleep_for(1'500ms);
    in_need = false;
    ASSERT_EQ(ask(request("GET", "/safe/x", "r4")).status, 200U);
    stop_host();
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit id=i-1 change=begun per_second=900 "
                                          "source=own_answer request=r1 asked_ms=[0-9]+"));
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit_use id=i-1 per_second=900 "
                                          "age_ms=[0-9]+ runs=2 prompt_readings=0"));
    EXPECT_THAT(log.text(), ContainsRegex("endpoint_limit id=i-1 change=ended per_second=0 "
                                          "source=own_answer request=r4"));
}

} // namespace
} // namespace cicadaport::platform
