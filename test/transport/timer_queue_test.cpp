#include "cicadaport/transport/timer_queue.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace cicadaport::transport
