#include "cicadaport/transport/timer_queue.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <thread>

namespace cicadaport::transport {
namespace {

using namespace std::chrono_literals;

// A stall of the event loop could not be told from a fault of a peer.
TEST(timer_queue_test, reports_how_late_an_action_was_after_the_loop_stood_still)
{
    boost::asio::io_context context;
    timer_queue timers{context};
    const auto due = timer_queue::now() + 10ms;
    bool called = false;
    const auto handle = timers.call_at(due, [&] { called = true; });
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + 200ms);
    context.run();
    EXPECT_TRUE(called);
    EXPECT_GE(timers.take_max_lateness(), 150ms);
    EXPECT_EQ(timers.take_max_lateness(), 0ms) << "counted anew after each call";
}

// One action that threw ended the event loop, and with it all other deadlines.
TEST(timer_queue_test, calls_the_other_actions_after_one_throws)
{
    boost::asio::io_context context;
    timer_queue timers{context};
    const auto due = timer_queue::now() + 10ms;
    int called = 0;
    const auto first = timers.call_at(due, [] { throw std::length_error{"too long"}; });
    const auto same = timers.call_at(due, [&] { ++called; });
    const auto later = timers.call_at(due + 50ms, [&] { ++called; });
    EXPECT_NO_THROW(context.run());
    EXPECT_EQ(called, 2);
}

} // namespace
} // namespace cicadaport::transport
