#include <jasminelatch/mesh/instance_breaker.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

auto openBreaker() -> InstanceBreaker
{
    InstanceBreaker breaker{{}};
    for (auto count = 0; count < 4; ++count) {
        EXPECT_TRUE(breaker.allows(false, start));
        breaker.recordLoss(start);
    }
    return breaker;
}

} // namespace

TEST(InstanceBreaker, HoldsBackRequestsOnceMostAreLost)
{
    // Incident inc-f336 of Hielo del Valle: an instance broke off 239 requests in four seconds; 71 of them could not be
    // retried.
    auto breaker = openBreaker();
    EXPECT_TRUE(breaker.isOpen());
    EXPECT_FALSE(breaker.allows(false, start + 100ms));
    EXPECT_FALSE(breaker.allows(false, start + 300ms));
}

TEST(InstanceBreaker, IdempotentRequestsPassAndCloseTheBreaker)
{
    // Scenario trouble-1 of Rumbo: two of three preview instances lost half of their answers. With idempotent calls
    // held back from both, only one instance had capacity, and the score fell from 0.53 to 0.43.
    auto breaker = openBreaker();
    EXPECT_TRUE(breaker.allows(true, start + 1ms));
    EXPECT_TRUE(breaker.allows(true, start + 2ms));
    while (breaker.isOpen()) {
        breaker.recordAnswer();
    }
    EXPECT_TRUE(breaker.allows(false, start + 501ms));
    EXPECT_TRUE(breaker.allows(true, start + 501ms));
}

TEST(InstanceBreaker, StaysOpenWhenAnswersAreMixedWithLosses)
{
    InstanceBreaker breaker{{}};
    for (auto count = 0; count < 20; ++count) {
        breaker.recordLoss(start);
        breaker.recordLoss(start);
        breaker.recordAnswer();
    }
    EXPECT_TRUE(breaker.isOpen());
    EXPECT_GT(breaker.lossRate(), 0.5);
}

TEST(InstanceBreaker, AdmitsAProbeAfterTheInterval)
{
    auto breaker = openBreaker();
    EXPECT_FALSE(breaker.allows(false, start + 1999ms));
    EXPECT_TRUE(breaker.allows(false, start + 2s));
    EXPECT_FALSE(breaker.allows(false, start + 2s + 1ms));
}

TEST(InstanceBreaker, StaysClosedOnIsolatedLosses)
{
    InstanceBreaker breaker{{}};
    for (auto count = 0; count < 1000; ++count) {
        if (count % 6 == 0) {
            breaker.recordLoss(start);
        } else {
            breaker.recordAnswer();
        }
        EXPECT_TRUE(breaker.allows(false, start));
    }
}

TEST(InstanceBreaker, ClosesOnReset)
{
    auto breaker = openBreaker();
    breaker.reset();
    EXPECT_TRUE(breaker.allows(false, start));
}

} // namespace jasminelatch::mesh
