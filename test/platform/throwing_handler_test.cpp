// What one request, answer or list entry makes the host throw must not end the others.
#include "host_fixture.h"

#include <stdexcept>

namespace cicadaport::platform {
namespace {

using testing::received_request;
using testing::request;
using testing::scripted_server;
using testing::signed_answer;

constexpr auto poisoned_path = "/safe/poisoned";
constexpr auto poisoned_replica = "i-poisoned";

// Throws what no caller of the adapter expects.
class throwing_wire final : public wire {
public:
    using wire::read_request;
    using wire::wire;

    serving::request_metadata read_request(const transport::message_head& head) const override
    {
        auto out = wire::read_request(head);
        if (out.path == poisoned_path) {
            throw std::length_error{"poisoned request"};
        }
        return out;
    }

    serving::answer_metadata read_answer(const transport::message_head& head) const override
    {
        if (head.fields.find("Poison")) {
            throw std::length_error{"poisoned answer"};
        }
        return wire::read_answer(head);
    }

    std::optional<serving::endpoint_report>
    read_endpoint(const serving::feed_entry& entry) const override
    {
        if (entry.key == poisoned_replica) {
            throw std::length_error{"poisoned entry"};
        }
        return wire::read_endpoint(entry);
    }
};

class throwing_handler_test : public testing::host_test {
protected:
    void SetUp() override
    {
        host_test::SetUp();
        wire_adapter = std::make_unique<throwing_wire>(settings.store_address);
        replica = std::make_unique<scripted_server>([](const received_request& each) {
            auto answer = signed_answer(each, "body");
            if (each.head.target.find("poisoned-answer") != std::string::npos) {
                answer.bytes.insert(answer.bytes.find("\r\n") + 2, "Poison: 1\r\n");
            }
            return answer;
        });
        list_replica("i-1", replica->address());
    }

    void expect_served()
    {
        EXPECT_TRUE(testing::eventually(
            [this] { return ask(request("GET", "/safe/x", "r-other")).body == "body"; }));
        EXPECT_EQ(ready(), 200U);
    }

    std::unique_ptr<scripted_server> replica;
};

// An exception while a request was taken on ended the host and all its requests.
TEST_F(throwing_handler_test, answers_a_request_whose_reader_throws)
{
    start();
    EXPECT_EQ(ask(request("GET", poisoned_path, "r1")).status, 502U);
    expect_served();
}

// An exception about a replica's answer ended the host and all its requests.
TEST_F(throwing_handler_test, answers_a_request_whose_answer_makes_the_reader_throw)
{
    start();
    EXPECT_EQ(ask(request("GET", "/once/poisoned-answer", "r1")).status, 502U);
    expect_served();
}

// An exception about one entry ended each host that read the list.
TEST_F(throwing_handler_test, applies_the_list_without_an_entry_whose_reader_throws)
{
    list_replica(poisoned_replica, replica->address());
    start();
    expect_served();
    list_replica(poisoned_replica, replica->address(), "s", "", "ready", 2);
    list_replica("i-2", replica->address());
    expect_served();
}

} // namespace
} // namespace cicadaport::platform
