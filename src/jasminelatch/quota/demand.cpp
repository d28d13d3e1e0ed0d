#include "demand.hpp"

#include <cmath>

namespace jasminelatch::quota::internal {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds timeConstant{1.0};

} // namespace

auto Demand::update(const TimePoint now) -> void
{
    if (!started_) {
        started_ = true;
        updated_ = now;
        return;
    }
    const Seconds elapsed{now - updated_};
    if (elapsed <= Seconds::zero()) {
        return;
    }
    const auto weight = -std::expm1(-elapsed / timeConstant);
    perSecond_ += weight * (pending_ / elapsed.count() - perSecond_);
    pending_ = 0;
    updated_ = now;
}

} // namespace jasminelatch::quota::internal
