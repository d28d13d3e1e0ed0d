#include "freshness.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace jasminelatch::configuration {

namespace internal {

constexpr Duration ageWithoutConfirmation = std::chrono::hours{24};

/*! @brief Number of vouching peers that, with the node itself, are a majority of it and the asked. */
constexpr auto majorityWithSelf(const std::size_t asked) -> std::size_t
{
    return (asked + 1) / 2;
}

} // namespace internal

Freshness::Freshness(const Duration staleAfter)
    : staleAfter_{staleAfter}
{
}

auto Freshness::confirm(const TimePoint asOf) -> void
{
    confirmed_ = std::max(confirmed_.value_or(asOf), asOf);
}

auto Freshness::storeAnswered(const TimePoint sentAt) -> void
{
    storeAnswered_ = std::max(storeAnswered_.value_or(sentAt), sentAt);
}

auto Freshness::storeUnanswered(const TimePoint sentAt) -> void
{
    storeUnanswered_ = std::max(storeUnanswered_.value_or(sentAt), sentAt);
}

auto Freshness::asked(const NodeAddress &peer, const TimePoint now) -> void
{
    forgetOldVotes(now);
    votes_[peer].asked = now;
}

auto Freshness::answered(const NodeAddress &peer, const TimePoint askedAt, const bool vouches) -> void
{
    const auto position = votes_.find(peer);
    if (position == votes_.end()) {
        return;
    }
    auto &vouched = position->second.vouched;
    if (!vouches) {
        vouched.reset();
        return;
    }
    vouched = std::max(vouched.value_or(askedAt), askedAt);
}

auto Freshness::storeState(const TimePoint now) const -> StoreState
{
    const auto isRecent = [&](const std::optional<TimePoint> &moment) {
        return moment && now - *moment < staleAfter_;
    };
    if (!isRecent(storeAnswered_) && !isRecent(storeUnanswered_)) {
        return StoreState::Unasked;
    }
    const bool failedLast = storeUnanswered_ && (!storeAnswered_ || *storeUnanswered_ > *storeAnswered_);
    return failedLast ? StoreState::Unreachable : StoreState::Reachable;
}

auto Freshness::age(const TimePoint now) const -> Duration
{
    auto asOf = confirmed_;
    const auto vouched = vouchedAsOf(now);
    if (vouched && (!asOf || *vouched > *asOf)) {
        asOf = vouched;
    }
    return asOf ? now - *asOf : internal::ageWithoutConfirmation;
}

auto Freshness::isFresh(const TimePoint now) const -> bool
{
    return age(now) < staleAfter_;
}

auto Freshness::vouchedAsOf(const TimePoint now) const -> std::optional<TimePoint>
{
    if (storeState(now) != StoreState::Unreachable) {
        return std::nullopt;
    }
    std::size_t askedCount = 0;
    std::vector<TimePoint> vouched;
    for (const auto &[peer, vote] : votes_) {
        askedCount += now - vote.asked < staleAfter_;
        if (vote.vouched && now - *vote.vouched < staleAfter_) {
            vouched.push_back(*vote.vouched);
        }
    }
    const auto needed = internal::majorityWithSelf(askedCount);
    if (needed == 0 || vouched.size() < needed) {
        return std::nullopt;
    }
    std::sort(vouched.begin(), vouched.end(), std::greater<>{});
    return std::min(vouched[needed - 1], *storeUnanswered_);
}

auto Freshness::forgetOldVotes(const TimePoint now) -> void
{
    std::erase_if(votes_, [&](const auto &entry) { return now - entry.second.asked >= 2 * staleAfter_; });
}

} // namespace jasminelatch::configuration
