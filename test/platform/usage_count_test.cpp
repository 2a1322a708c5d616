// A host process counts the runs of accounts and reports them.
#include "host_fixture.h"

#include <gmock/gmock.h>

namespace cicadaport::platform::testing {
namespace {

class usage_count_test : public host_test {
protected:
    void SetUp() override
    {
        host_test::SetUp();
        // Every request may be refused by a replica first.
        settings.attempts.ratio = 2;
        serving::duty_settings duties;
        duties.address = interface.address();
        duties.reports_usage = true;
        duties.usage_window = 1s;
        duties.usage_due = 2s;
        duties.lease_time = lease;
        settings.duties = duties;
        const std::string common =
            R"("host":"h.example","service":"s","timeout-ms":5000,"target-latency-ms":2000,)"
            R"("max-attempts":2)";
        store.put(std::string{configuration_topic}, "config",
                  R"({"version":2,"routes":[{"name":"safe","path-prefix":"/safe/","kind":"safe",)" +
                      common +
                      R"(},{"name":"stream","path-prefix":"/stream/","kind":"streaming",)" +
                      common +
                      R"(}],"services":[{"name":"s","max-conns":64}],"limits":{},)"
                      R"("tenants":[{"name":"account","api-keys":["key"]}]})");
    }

    static constexpr std::chrono::milliseconds lease{300};
    standin_duty_interface interface {
        lease
    };
};

// Guards against runs that are not counted, or counted twice when a replica refuses them first.
TEST_F(usage_count_test, runs_count_once_and_refused_requests_not_at_all)
{
    scripted_server replica{[](const received_request& each) {
        if (is_status_request(each)) {
            return make_response(200, "", "{}");
        }
        return each.path() == "/stream/x"
                   ? stream(each, "s", events(1, 3), scripted_response::then::keep)
                   : signed_answer(each, "x");
    }};
    scripted_server refusing{[](const received_request& each) { return not_executed(each); }};
    list_replica("r1", replica.address());
    list_replica("r2", refusing.address());
    start();
    // A host reports once it may know all others.
    ASSERT_TRUE(eventually([this] { return !interface.reports().empty(); }));
    const std::string key = "Authorization: Bearer key\r\n";
    for (int run = 0; run < 5; ++run) {
        ASSERT_EQ(ask(request("GET", "/safe/x", "p" + std::to_string(run), key)).status, 200U);
        ASSERT_EQ(ask(request("GET", "/stream/x", "s" + std::to_string(run), key)).status, 200U);
    }
    EXPECT_EQ(ask(request("GET", "/safe/x", "u", "Authorization: Bearer other\r\n")).status, 401U);
    const auto reported = [this] {
        std::uint64_t out = 0;
        for (const auto& [window, counts] : interface.reports()) {
            out += counts.value("account", std::uint64_t{0});
        }
        return out;
    };
    EXPECT_TRUE(eventually([&] { return reported() >= 10; }));
    EXPECT_EQ(reported(), 10U);
    EXPECT_THAT(interface.violations(), ::testing::IsEmpty());
}

} // namespace
} // namespace cicadaport::platform::testing
