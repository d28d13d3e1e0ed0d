#include "instance_breaker.hpp"

namespace jasminelatch::mesh {

InstanceBreaker::InstanceBreaker(const Settings settings)
    : settings_{settings}
{
}

auto InstanceBreaker::allows(const bool isIdempotent, const TimePoint now) -> bool
{
    if (!isOpen_ || isIdempotent) {
        return true;
    }
    const auto isDue = now >= probeAt_;
    if (isDue) {
        probeAt_ = now + settings_.probeInterval;
    }
    return isDue;
}

auto InstanceBreaker::recordAnswer() -> void
{
    lossRate_ -= settings_.ewmaWeight * lossRate_;
    isOpen_ = isOpen_ && lossRate_ > settings_.closeThreshold;
}

auto InstanceBreaker::recordLoss(const TimePoint now) -> void
{
    lossRate_ += settings_.ewmaWeight * (1.0 - lossRate_);
    if (!isOpen_ && lossRate_ > settings_.openThreshold) {
        isOpen_ = true;
        probeAt_ = now + settings_.probeInterval;
    }
}

auto InstanceBreaker::reset() -> void
{
    lossRate_ = 0.0;
    isOpen_ = false;
}

auto InstanceBreaker::lossRate() const noexcept -> double
{
    return lossRate_;
}

auto InstanceBreaker::isOpen() const noexcept -> bool
{
    return isOpen_;
}

} // namespace jasminelatch::mesh
