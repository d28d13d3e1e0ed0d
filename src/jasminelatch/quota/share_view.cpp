#include "share_view.hpp"

#include <algorithm>

namespace jasminelatch::quota::internal {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double optimism = 0.99; // of the accrual that the view assumes
constexpr Duration firstFailureDelay = std::chrono::milliseconds{250};
constexpr Duration longestFailureDelay = std::chrono::seconds{1};
constexpr Duration longestShortfallDelay = std::chrono::milliseconds{500};
constexpr std::uint32_t mostDoublings = 4;

} // namespace

auto ShareView::setLimits(const double rate, const double burst) -> void
{
    rate_ = rate * optimism;
    burst_ = burst;
}

auto ShareView::onGrant(const std::uint32_t wanted, const std::uint32_t tokens, const double level, const TimePoint now)
    -> void
{
    known_ = true;
    level_ = level;
    updated_ = now;
    notBefore_ = now;
    failures_ = 0;
    if (tokens >= wanted) {
        shortfalls_ = 0;
        return;
    }
    const auto toToken = timeToToken(level);
    shortfalls_ = std::min(shortfalls_ + 1, mostDoublings);
    const auto halfFull = std::chrono::ceil<Duration>(Seconds{burst_ / 2.0 / rate_});
    const auto longest = std::max(toToken, std::min(halfFull, longestShortfallDelay));
    notBefore_ = now + std::min(toToken * (1U << shortfalls_), longest);
}

auto ShareView::onFailure(const TimePoint now) -> void
{
    known_ = false;
    notBefore_ = now + std::min(firstFailureDelay * (1U << failures_), longestFailureDelay);
    failures_ = std::min(failures_ + 1, mostDoublings);
}

auto ShareView::likelyLevel(const TimePoint now) const -> double
{
    if (!known_) {
        return std::max(1.0, burst_ / 2.0);
    }
    return std::min(burst_, level_ + rate_ * Seconds{now - updated_}.count());
}

auto ShareView::timeUntilWorthAsking(const TimePoint now) const -> Duration
{
    const auto toToken = timeToToken(likelyLevel(now));
    return std::max({Duration::zero(), notBefore_ - now, toToken});
}

auto ShareView::timeToToken(const double level) const -> Duration
{
    return level >= 1.0 ? Duration::zero() : std::chrono::ceil<Duration>(Seconds{(1.0 - level) / rate_});
}

} // namespace jasminelatch::quota::internal
