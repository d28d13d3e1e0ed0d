#include "retry_policy.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Largest number of nodes that one request is sent to. */
constexpr std::size_t maxNodesTried = 3;
/*! @brief Mean `Retry-After` before jitter when none of the requests of a rank and route are admitted. */
constexpr Duration maxMeanRetryAfter = std::chrono::seconds{1};

} // namespace internal

auto retryPermission(const DispatchProgress &progress, const HopReply &reply) -> RetryPermission
{
    if (progress.nodesTried >= internal::maxNodesTried) {
        return RetryPermission::Denied;
    }
    const auto mayHaveRun = reply.outcome == HopOutcome::Unknown;
    if (mayHaveRun && (reply.reason == HopReason::Expired || !progress.isIdempotent)) {
        return RetryPermission::Denied;
    }
    if (progress.instancesReached == 0) {
        return RetryPermission::Free;
    }
    return progress.instancesReached < progress.maxAttempts ? RetryPermission::FromBudget : RetryPermission::Denied;
}

auto overloadRetryAfter(const double admittedFraction, const double jitter) -> Duration
{
    const auto mean = static_cast<double>(internal::maxMeanRetryAfter.count()) * (1.0 - admittedFraction);
    return std::max(Duration{static_cast<Duration::rep>(mean * jitter)}, minRetryAfter);
}

} // namespace jasminelatch::mesh
