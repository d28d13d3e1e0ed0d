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
    if (confirmation.era > era_) {
        era_ = confirmation.era;
        eraFloor_ = highest_;
    } else if (confirmation.era < era_) {
        eraFloor_ = std::max(eraFloor_, confirmation.version);
        if (confirmed_ && isBehind(*confirmed_)) {
            confirmed_.reset();
        }
    }
    highest_ = std::max(highest_, confirmation.version);
    if (isBehind(confirmation)) {
        return;
    }
    if (confirmation.version > applied_) {
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

auto Freshness::markApplied(const std::uint64_t version) -> void
{
    applied_ = std::max(applied_, version);
    highest_ = std::max(highest_, applied_);
    if (pending_ && pending_->version <= applied_) {
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

auto Freshness::isBehind(const StoreConfirmation &confirmation) const -> bool
{
    return confirmation.era == era_ && confirmation.version < eraFloor_;
}

auto Freshness::validityFraction(const double fraction) const -> Duration
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(settings_.validity.count()) * fraction)};
}

} // namespace jasminelatch::mesh
