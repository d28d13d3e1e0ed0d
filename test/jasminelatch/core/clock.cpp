#include <jasminelatch/core/clock.hpp>

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace jasminelatch {

TEST(Clock, DoesNotAdvanceWhilePaused)
{
    Clock clock;
    clock.pause();
    const auto start = clock.now();
    EXPECT_EQ(clock.now(), start);
    clock.advance(250ms);
    EXPECT_EQ(clock.now(), start + 250ms);
}

TEST(Clock, FollowsTheSystemClockWhileRunning)
{
    Clock clock;
    const auto start = clock.now();
    clock.advance(1h);
    EXPECT_GE(clock.now(), start);
    EXPECT_LT(clock.now(), start + 1h);
}

} // namespace jasminelatch
