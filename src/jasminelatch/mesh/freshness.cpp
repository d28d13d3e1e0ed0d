#include "freshness.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

Freshness::Freshness(Settings settings)
    : settings_{settings}
{
}

auto Freshness::confirm(const StoreConfirmation &confirmation, const TimePoint now) -> void
{
    if (confirmation.at > now) {
        return;
    }
    if (confirmation.revision > applied_) {
        if (!pending_) {
            pendingSince_ = now;
        }
        if (!pending_ || pending_->at < confirmation.at) {
            pending_ = confirmation;
        }
        return;
    }
    if (!confirmed_ || confirmed_->at < confirmation.at) {
        confirmed_ = confirmation;
    }
}

auto Freshness::markApplied(const std::uint64_t revision) -> void
{
    applied_ = std::max(applied_, revision);
    if (pending_ && pending_->revision <= applied_) {
        if (!confirmed_ || confirmed_->at < pending_->at) {
            confirmed_ = pending_;
        }
        pending_.reset();
    }
}

auto Freshness::isFresh(const TimePoint now) const -> bool
{
    return confirmed_ && now - confirmed_->at <= settings_.validity;
}

auto Freshness::shouldQueryStore(const std::size_t order, const TimePoint now) const -> bool
{
    if (pending_ && now - pendingSince_ >= settings_.watchLag) {
        return true;
    }
    const auto queryAge = settings_.firstQueryAge + settings_.queryAgeStep * static_cast<double>(order);
    return !confirmed_ || now - confirmed_->at >= validityFraction(std::min(queryAge, settings_.maxQueryAge));
}

auto Freshness::confirmation() const -> const std::optional<StoreConfirmation> &
{
    return confirmed_;
}

auto Freshness::validityFraction(const double fraction) const -> Duration
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(settings_.validity.count()) * fraction)};
}

} // namespace jasminelatch::mesh
