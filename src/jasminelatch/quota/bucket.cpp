#include "bucket.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::quota::internal {

namespace {

using Seconds = std::chrono::duration<double>;

auto timeToAccrue(const double tokens, const double rate) -> Duration
{
    return std::chrono::ceil<Duration>(Seconds{tokens / rate});
}

} // namespace

Bucket::Bucket(const double rate, const double depth, const TimePoint start)
    : rate_{rate}
    , depth_{depth}
    , updated_{start}
{
}

auto Bucket::setLimits(const double rate, const double depth, const TimePoint now) -> void
{
    accrue(now);
    rate_ = rate;
    depth_ = depth;
    level_ = std::clamp(level_, 0.0, std::max(0.0, depth_ - outstanding_));
    fullSince_.reset();
}

auto Bucket::holdUntil(const TimePoint start, const TimePoint now) -> void
{
    accrue(now);
    updated_ = std::max(updated_, start);
    fullSince_.reset();
}

auto Bucket::lend(const std::uint32_t wanted, const TimePoint now) -> std::uint32_t
{
    accrue(now);
    const auto tokens = std::min<double>(wanted, std::floor(level_));
    level_ -= tokens;
    outstanding_ += tokens;
    return static_cast<std::uint32_t>(tokens);
}

auto Bucket::settleSpent(const std::uint32_t tokens, const TimePoint latest, const TimePoint now) -> void
{
    accrue(now);
    outstanding_ -= tokens;
    if (!fullSince_ || tokens == 0) {
        return;
    }
    const auto heldUpSince = std::max(latest, *fullSince_);
    const auto heldUp = rate_ * Seconds{now - heldUpSince}.count();
    const auto room = std::max(0.0, depth_ - outstanding_ - level_);
    const auto credit = std::clamp<double>(heldUp, 0.0, std::min<double>(tokens, room));
    level_ += credit;
    fullSince_.reset();
    if (credit >= room) {
        fullSince_ = std::min(now, heldUpSince + timeToAccrue(credit, rate_));
    }
}

auto Bucket::giveBack(const std::uint32_t tokens, const TimePoint now) -> void
{
    accrue(now);
    outstanding_ -= tokens;
    level_ = std::min(level_ + tokens, std::max(0.0, depth_ - outstanding_));
}

auto Bucket::expire(const std::uint32_t tokens, const TimePoint now) -> void
{
    accrue(now);
    outstanding_ -= tokens;
    if (tokens > 0) {
        fullSince_.reset();
    }
}

auto Bucket::level(const TimePoint now) -> double
{
    accrue(now);
    return level_;
}

auto Bucket::accrue(const TimePoint now) -> void
{
    if (now <= updated_) {
        return;
    }
    const auto room = std::max(0.0, depth_ - outstanding_ - level_);
    const auto gained = rate_ * Seconds{now - updated_}.count();
    if (gained < room) {
        level_ += gained;
        fullSince_.reset();
    } else {
        level_ += room;
        fullSince_ = fullSince_.value_or(std::min(now, updated_ + timeToAccrue(room, rate_)));
    }
    updated_ = now;
}

} // namespace jasminelatch::quota::internal
