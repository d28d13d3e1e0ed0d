#include "retry_budget.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

RetryBudget::RetryBudget(Settings settings)
    : settings_{settings}
{
}

auto RetryBudget::setNodeCount(const std::size_t count) -> void
{
    nodeCount_ = std::max<std::size_t>(count, 1);
}

auto RetryBudget::recordRequest(const std::string &service, const TimePoint now) -> void
{
    refilledBucket(service, now).tokens += settings_.ratio * settings_.usedFraction;
}

auto RetryBudget::spend(const std::string &service, const TimePoint now) -> bool
{
    auto &bucket = refilledBucket(service, now);
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

auto RetryBudget::refilledBucket(const std::string &service, const TimePoint now) -> Bucket &
{
    const auto slack = settings_.slack * settings_.usedFraction / static_cast<double>(nodeCount_);
    const auto [found, isNew] = buckets_.try_emplace(service, Bucket{slack, now});
    auto &bucket = found->second;
    const auto windows =
        std::chrono::duration<double>(now - bucket.refilledAt) / std::chrono::duration<double>(settings_.window);
    // The level returns to the slack over one window, so that the retries contributed by requests expire.
    bucket.tokens = std::clamp(bucket.tokens + (slack - bucket.tokens) * std::min(windows, 1.0), 0.0, 100.0 * slack);
    bucket.refilledAt = now;
    return bucket;
}

} // namespace jasminelatch::mesh
