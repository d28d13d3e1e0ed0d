#include <jasminelatch/mesh/retry_policy.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

auto replyWith(const HopOutcome outcome, const HopReason reason) -> HopReply
{
    HopReply reply;
    reply.outcome = outcome;
    reply.reason = reason;
    return reply;
}

} // namespace

TEST(RetryPolicy, IsFreeUntilAnInstanceHasReceivedTheRequest)
{
    const auto full = replyWith(HopOutcome::NotRun, HopReason::QueueFull);
    EXPECT_EQ(retryPermission({1, 0, 1, false}, full), RetryPermission::Free);
    EXPECT_EQ(retryPermission({2, 0, 1, false}, full), RetryPermission::Free);
    EXPECT_EQ(retryPermission({3, 0, 1, false}, full), RetryPermission::Denied);
}

TEST(RetryPolicy, TakesRejectedRequestsFromTheBudget)
{
    const auto rejected = replyWith(HopOutcome::NotRun, HopReason::Rejected);
    EXPECT_EQ(retryPermission({1, 1, 2, false}, rejected), RetryPermission::FromBudget);
    EXPECT_EQ(retryPermission({2, 2, 2, false}, rejected), RetryPermission::Denied);
}

TEST(RetryPolicy, RepeatsWhatMayHaveRunOnlyIfItIsIdempotentAndInTime)
{
    const auto lost = replyWith(HopOutcome::Unknown, HopReason::Lost);
    EXPECT_EQ(retryPermission({1, 1, 2, true}, lost), RetryPermission::FromBudget);
    EXPECT_EQ(retryPermission({1, 1, 2, false}, lost), RetryPermission::Denied);
    const auto expired = replyWith(HopOutcome::Unknown, HopReason::Expired);
    EXPECT_EQ(retryPermission({1, 1, 2, true}, expired), RetryPermission::Denied);
}

RC_GTEST_PROP(RetryPolicy, NeverRepeatsAnOrderThatMayHaveRun, ())
{
    const auto tried = *rc::gen::inRange<std::size_t>(1, 4);
    const auto reached = *rc::gen::inRange(0U, 4U);
    const auto maxAttempts = *rc::gen::inRange(1U, 5U);
    const auto reason = static_cast<HopReason>(*rc::gen::inRange(1, 10));
    RC_ASSERT(retryPermission({tried, reached, maxAttempts, false}, replyWith(HopOutcome::Unknown, reason))
              == RetryPermission::Denied);
}

TEST(RetryPolicy, RetryAfterGrowsWithTheFractionRefused)
{
    EXPECT_EQ(overloadRetryAfter(0.0, 1.0), Duration{1s});
    EXPECT_EQ(overloadRetryAfter(0.0, 1.5), Duration{1500ms});
    EXPECT_EQ(overloadRetryAfter(0.5, 1.0), Duration{500ms});
    EXPECT_EQ(overloadRetryAfter(1.0, 1.0), minRetryAfter);
}

} // namespace jasminelatch::mesh
