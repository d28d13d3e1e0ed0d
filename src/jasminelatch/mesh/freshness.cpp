#include "freshness.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

Freshness::Freshness(Settings settings)
    : settings_{settings}
{
}

auto Freshness::confirm(const StoreConfirmation &word, const TimePoint now) -> void
{
    if (word.at > now) {
        return;
    }
    if (word.revision > applied_) {
        if (!ahead_) {
            aheadSince_ = now;
        }
        if (!ahead_ || ahead_->at < word.at) {
            ahead_ = word;
        }
        return;
    }
    if (!confirmed_ || confirmed_->at < word.at) {
        confirmed_ = word;
    }
}

auto Freshness::applied(const std::uint64_t revision) -> void
{
    applied_ = std::max(applied_, revision);
    if (ahead_ && ahead_->revision <= applied_) {
        if (!confirmed_ || confirmed_->at < ahead_->at) {
            confirmed_ = ahead_;
        }
        ahead_.reset();
    }
}

auto Freshness::isFresh(const TimePoint now) const -> bool
{
    return confirmed_ && now - confirmed_->at <= settings_.validity;
}

auto Freshness::shouldAsk(const std::size_t order, const TimePoint now) const -> bool
{
    if (ahead_ && now - aheadSince_ >= settings_.lag) {
        return true;
    }
    const auto patience = settings_.firstPatience + settings_.patienceStep * static_cast<double>(order);
    return !confirmed_ || now - confirmed_->at >= part(std::min(patience, settings_.longestPatience));
}

auto Freshness::confirmation() const -> const std::optional<StoreConfirmation> &
{
    return confirmed_;
}

auto Freshness::part(const double share) const -> Duration
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(settings_.validity.count()) * share)};
}

} // namespace jasminelatch::mesh
