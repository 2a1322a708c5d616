#include "cicadaport/relay/follower.h"

#include "cicadaport/relay/relay_server.h"

#include <gtest/gtest.h>
#include <peer.pb.h>
#include <record.pb.h>
#include <zmq.hpp>

#include <thread>

namespace cicadaport::relay {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds longest_wait{20};

std::vector<protocol::log_entry> make_log(std::size_t size)
{
    std::vector<protocol::log_entry> out(size);
    for (std::size_t i = 0; i < size; ++i) {
        protocol::record record;
        record.set_append_id(std::to_string(i));
        record.set_proposed_after(i);
        record.mutable_endpoint_wish()->set_endpoint("e");
        out[i].set_offset(i + 1);
        out[i].set_payload(record.SerializeAsString());
    }
    return out;
}

// A control process as its followers see it.
struct relaying_process {
    explicit relaying_process(std::size_t log_size, std::chrono::milliseconds contact_age = 0ms,
                              std::optional<std::chrono::milliseconds> log_age = std::nullopt)
        : server{{"127.0.0.1", 0},
                 log,
                 processes,
                 [contact_age] { return contact_age; },
                 [log_age] { return log_age; }}
    {
        log.apply(make_log(log_size));
    }

    fold::replica log;
    process_table processes;
    relay_server server;
};

struct following_process {
    following_process(std::vector<http::address> relays, std::size_t log_size = 0,
                      std::size_t own_relays = 0)
    {
        log.apply(make_log(log_size));
        source = std::make_unique<follower>(
            std::move(relays), log, processes, [] { return protocol::process_status{}; },
            own_relays);
    }

    fold::replica log;
    process_table processes;
    std::unique_ptr<follower> source;
};

template <typename Done>
bool wait_until(Done done)
{
    const auto until = std::chrono::steady_clock::now() + longest_wait;
    while (!done() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    return done();
}

// Nobody listens there.
const http::address no_relay{"127.0.0.1", 1};

TEST(follower_test, a_fresh_process_does_not_begin_with_a_relay_that_may_be_cut_off)
{
    relaying_process lagging{3};
    const following_process process{{lagging.server.address(), no_relay}};
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(process.log.offset(), 0U);
}

TEST(follower_test, a_fresh_relay_does_not_begin_with_the_only_other_one)
{
    relaying_process lagging{3};
    const following_process process{{lagging.server.address()}, 0, 1};
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(process.log.offset(), 0U);
}

TEST(follower_test, a_relay_that_heard_from_the_log_before_the_start_may_lag)
{
    relaying_process lagging{3, 0ms, 1h};
    const following_process process{{lagging.server.address(), no_relay}};
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(process.log.offset(), 0U);
}

TEST(follower_test, a_fresh_process_begins_with_the_newest_of_more_than_half)
{
    relaying_process lagging{3};
    relaying_process newer{5};
    const following_process process{{lagging.server.address(), newer.server.address(), no_relay}};
    std::uint64_t first = 0;
    EXPECT_TRUE(wait_until([&] { return (first = process.log.offset()) > 0; }));
    EXPECT_EQ(first, 5U);
}

TEST(follower_test, a_fresh_process_begins_with_one_relay_that_reads_the_log)
{
    relaying_process reader{5, 0ms, 10ms};
    const following_process process{{reader.server.address(), no_relay, no_relay}};
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 5; }));
}

TEST(follower_test, takes_over_what_its_relay_has_and_goes_on_with_it)
{
    relaying_process relay{3};
    const following_process process{{relay.server.address()}};
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 3; }));
    relay.log.apply(make_log(5));
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 5; }));
}

TEST(follower_test, starts_from_the_newest_state_of_any_relay)
{
    const relaying_process lagging{5};
    const relaying_process newest{2'000};
    const following_process process{{lagging.server.address(), newest.server.address()}};
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 2'000; }));
    EXPECT_EQ(process.log.copy().serialize(), newest.log.copy().serialize());
}

TEST(follower_test, a_lagging_relay_never_takes_it_back)
{
    const relaying_process lagging{1'500};
    const following_process process{{lagging.server.address()}, 1'600};
    EXPECT_TRUE(wait_until([&] { return process.source->since_last_answer() < 1s; }));
    EXPECT_EQ(process.log.offset(), 1'600U);
}

TEST(follower_test, leaves_a_relay_that_does_not_answer)
{
    const relaying_process relay{3, 0ms, 10ms};
    const following_process process{{no_relay, relay.server.address()}};
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 3; }));
}

TEST(follower_test, a_relay_that_is_cut_off_itself_is_no_contact)
{
    const relaying_process cut_off{3, stale_after + 1s};
    const following_process process{{cut_off.server.address()}};
    EXPECT_TRUE(wait_until([&] { return process.log.offset() == 3; }));
    EXPECT_LT(process.source->since_last_answer(), stale_after);
    EXPECT_TRUE(process.source->is_stale());
}

TEST(follower_test, is_stale_before_any_contact_and_not_after)
{
    const following_process alone{{no_relay}};
    EXPECT_TRUE(alone.source->is_stale());
    const relaying_process relay{3};
    const following_process process{{relay.server.address()}};
    EXPECT_TRUE(wait_until([&] { return !process.source->is_stale(); }));
}

TEST(relay_server_test, refuses_a_protocol_version_by_name)
{
    const relaying_process relay{3};
    zmq::context_t context;
    zmq::socket_t socket{context, zmq::socket_type::dealer};
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvtimeo, 10'000);
    socket.connect("tcp://" + http::to_string(relay.server.address()));
    protocol::pull_request request;
    request.set_protocol_version(protocol_version + 1);
    socket.send(zmq::buffer(request.SerializeAsString()), zmq::send_flags::none);
    zmq::message_t answer;
    ASSERT_TRUE(socket.recv(answer));
    protocol::pull_reply reply;
    ASSERT_TRUE(reply.ParseFromArray(answer.data(), static_cast<int>(answer.size())));
    EXPECT_EQ(reply.refused(), "protocol version 2 is not 1");
    EXPECT_EQ(reply.entries_size(), 0);
}

} // namespace
} // namespace cicadaport::relay
