#include "cold_start.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

ColdStart::ColdStart(const Settings settings)
    : settings_{settings}
{
}

auto ColdStart::setTerms(const Duration duration, const double ratePerSecond) -> void
{
    duration_ = duration;
    ratePerSecond_ = ratePerSecond;
}

auto ColdStart::suspect(const TimePoint now) -> void
{
    suspectedAt_ = now;
    isSuspected_ = true;
    extend(now + duration_, now);
}

auto ColdStart::applyStated(const Duration left, const TimePoint now) -> void
{
    extend(now + left, now);
}

auto ColdStart::applyAnswer(const Duration left, const TimePoint askedAt, const TimePoint now) -> void
{
    extend(now + left, now);
    if (askedAt >= suspectedAt_) {
        isSuspected_ = false;
        coldUntil_ = now + left;
    }
}

auto ColdStart::isLimited(const TimePoint now) const -> bool
{
    return ratePerSecond_ > 0.0 && now < coldUntil_;
}

auto ColdStart::isSuspected(const TimePoint now) const -> bool
{
    return isSuspected_ && isLimited(now);
}

auto ColdStart::remaining(const TimePoint now) const -> Duration
{
    return isLimited(now) ? coldUntil_ - now : Duration::zero();
}

auto ColdStart::rate() const -> double
{
    return ratePerSecond_ * settings_.rateFactor;
}

auto ColdStart::allows(const TimePoint now) const -> bool
{
    return !isLimited(now) || level(now) >= 1.0;
}

auto ColdStart::record(const TimePoint now) -> void
{
    if (isLimited(now)) {
        level_ = level(now) - 1.0;
        updatedAt_ = now;
    }
}

auto ColdStart::wait(const std::size_t ahead, const TimePoint now) const -> Duration
{
    if (!isLimited(now)) {
        return Duration::zero();
    }
    const auto missing = static_cast<double>(ahead) + 1.0 - level(now);
    const std::chrono::duration<double> seconds{std::max(missing, 0.0) / rate()};
    return std::min<Duration>(std::chrono::ceil<Duration>(seconds), remaining(now));
}

auto ColdStart::level(const TimePoint now) const -> double
{
    const auto elapsed = std::chrono::duration<double>(now - updatedAt_).count();
    return std::min(level_ + rate() * elapsed, std::max(settings_.burst, 1.0));
}

auto ColdStart::extend(const TimePoint until, const TimePoint now) -> void
{
    if (!isLimited(now)) {
        // The bucket starts empty: requests of the moment before may count towards the first second.
        level_ = 0.0;
        updatedAt_ = now;
    }
    coldUntil_ = std::max(coldUntil_, until);
}

} // namespace jasminelatch::mesh
