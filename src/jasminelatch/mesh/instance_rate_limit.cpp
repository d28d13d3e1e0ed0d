#include "instance_rate_limit.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Lowest rate in requests per second, at which an instance that accepts none is asked again. */
constexpr double minRate = 0.25;

} // namespace internal

InstanceRateLimit::InstanceRateLimit(const Settings settings)
    : settings_{settings}
{
}

auto InstanceRateLimit::recordAnswer(const std::optional<double> limit, const TimePoint now) -> bool
{
    isAwaitingAnswer_ = false;
    if (limit) {
        statedAt_ = now;
    } else if (!limit_ || now - statedAt_ < settings_.holdTime) {
        return false;
    }
    if (limit_ == limit) {
        return false;
    }
    level_ = limit_ ? level(now) : 0.0;
    updatedAt_ = now;
    limit_ = limit;
    level_ = std::min(level_, depth());
    return true;
}

auto InstanceRateLimit::awaitFirstAnswer(const TimePoint now) -> void
{
    limit_.reset();
    isAwaitingAnswer_ = true;
    level_ = settings_.initialRequests;
    updatedAt_ = now;
}

auto InstanceRateLimit::reset() -> void
{
    limit_.reset();
    isAwaitingAnswer_ = false;
}

auto InstanceRateLimit::take(const TimePoint now) -> bool
{
    if (isUnlimited()) {
        return true;
    }
    level_ = level(now);
    updatedAt_ = now;
    if (level_ < 1.0) {
        return false;
    }
    level_ -= 1.0;
    return true;
}

auto InstanceRateLimit::wait(const std::size_t ahead, const TimePoint now) const -> Duration
{
    // The first answer is expected at any moment, and usually states no limit.
    if (!limit_) {
        return Duration::zero();
    }
    const auto missing = static_cast<double>(ahead) + 1.0 - level(now);
    const std::chrono::duration<double> seconds{std::max(missing, 0.0) / rate()};
    return std::chrono::ceil<Duration>(seconds);
}

auto InstanceRateLimit::isAwaitingAnswer() const noexcept -> bool
{
    return isAwaitingAnswer_;
}

auto InstanceRateLimit::limit() const noexcept -> std::optional<double>
{
    return limit_;
}

auto InstanceRateLimit::isUnlimited() const -> bool
{
    return !isAwaitingAnswer_ && !limit_;
}

auto InstanceRateLimit::rate() const -> double
{
    return limit_ ? std::max(*limit_, internal::minRate) : settings_.initialRate;
}

auto InstanceRateLimit::depth() const -> double
{
    if (!limit_) {
        return settings_.initialRequests;
    }
    return std::max(rate() * std::chrono::duration<double>(settings_.burstTime).count(), 1.0);
}

auto InstanceRateLimit::level(const TimePoint now) const -> double
{
    const auto elapsed = std::chrono::duration<double>(now - updatedAt_).count();
    return std::min(level_ + rate() * elapsed, depth());
}

} // namespace jasminelatch::mesh
