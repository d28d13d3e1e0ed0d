#include "concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::admission {

namespace {

/*! @brief Weakest decrease for queueing, as a factor. */
constexpr double weakestCut = 0.85;
/*! @brief Latency over the baseline that a decrease aims at. */
constexpr double targetRatio = 1.1;
/*! @brief Share of the limit in use that counts as full. */
constexpr double fullShare = 0.9;
/*! @brief Share of the ceiling from which growth is slow. */
constexpr double nearCeiling = 0.9;
/*! @brief How fast the baseline follows a lower latency, for each window. */
constexpr double baselineFall = 0.2;
/*! @brief How fast the baseline follows a higher latency while the limit is not in full use, for each window. */
constexpr double baselineRise = 0.1;
/*! @brief Windows after which a decision is made on fewer samples. */
constexpr int longestWindow = 10;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(LimitSettings settings, const Clock &clock)
    : settings_{settings}
    , clock_{&clock}
    , windowStart_{clock.now()}
    , probeAt_{clock.now()}
{
}

auto ConcurrencyLimit::setCapacity(const std::uint32_t slots,
                                   const std::uint32_t connections,
                                   const membership::EndpointState state) -> void
{
    maximum_ = std::max(1.0, static_cast<double>(connections));
    const auto isStarting = state == membership::EndpointState::Starting;
    const auto becomesCold = isStarting && state_ != membership::EndpointState::Starting;
    if (!state_ || becomesCold) {
        coldStart_ = isStarting;
        restart(isStarting ? slots * settings_.coldShare : slots);
    }
    state_ = state;
    set(limit_);
}

auto ConcurrencyLimit::addLatency(const Duration latency) -> void
{
    latencySum_ += static_cast<double>(latency.count());
    ++latencyCount_;
}

auto ConcurrencyLimit::addShed(const std::size_t inFlight) -> void
{
    ++shedCount_;
    coldStart_ = false;
    probing_ = false;
    ceiling_ = limit_;
    ceilingAt_ = clock_->now();
    set(std::min(limit_, static_cast<double>(inFlight)));
}

auto ConcurrencyLimit::use(const std::size_t inFlight) -> void
{
    highestUse_ = std::max(highestUse_, inFlight);
}

auto ConcurrencyLimit::tick() -> void
{
    const auto length = clock_->now() - windowStart_;
    const auto samples = latencyCount_ + shedCount_;
    const auto latency = latencyCount_ == 0 ? 0.0 : latencySum_ / static_cast<double>(latencyCount_);
    if (length < settings_.window || static_cast<double>(length.count()) < latency) {
        return;
    }
    const auto wanted = std::max<double>(settings_.windowSamples, value() / 2.0);
    if (static_cast<double>(samples) < wanted && length < settings_.window * longestWindow) {
        return;
    }
    endWindow();
}

auto ConcurrencyLimit::value() const noexcept -> std::uint32_t
{
    const auto limit = probing_ ? limit_ * settings_.baselineProbeShare : limit_;
    return static_cast<std::uint32_t>(std::max(1.0, limit));
}

auto ConcurrencyLimit::restart(const double limit) -> void
{
    limit_ = limit;
    baseline_ = 0;
    latencyBeforeCut_.reset();
    ceiling_ = 0;
    probing_ = false;
    settling_ = false;
    probeAt_ = clock_->now();
}

auto ConcurrencyLimit::endWindow() -> void
{
    if (settling_) {
        settling_ = false;
    } else if (latencyCount_ > 0 && shedCount_ == 0) {
        judge(latencySum_ / static_cast<double>(latencyCount_));
    }
    windowStart_ = clock_->now();
    latencySum_ = 0;
    latencyCount_ = 0;
    shedCount_ = 0;
    highestUse_ = 0;
}

auto ConcurrencyLimit::judge(const double latency) -> void
{
    if (probing_) {
        probing_ = false;
        probeAt_ = clock_->now();
        baseline_ = latency;
        return;
    }
    if (baseline_ <= 0) {
        baseline_ = latency;
    }
    if (latency > settings_.latencyTolerance * baseline_) {
        onQueueing(latency);
        return;
    }
    grow(latency);
}

auto ConcurrencyLimit::onQueueing(const double latency) -> void
{
    coldStart_ = false;
    if (!wasFull()) {
        baseline_ += baselineRise * (latency - baseline_);
        return;
    }
    const auto cut = std::clamp(targetRatio * baseline_ / latency, settings_.strongestCut, weakestCut);
    if (latencyBeforeCut_ && latency > *latencyBeforeCut_ * (1.0 + cut) / 2.0) {
        baseline_ = latency;
        latencyBeforeCut_.reset();
        set(ceiling_);
        return;
    }
    latencyBeforeCut_ = latency;
    ceiling_ = limit_;
    ceilingAt_ = clock_->now();
    settling_ = true;
    set(limit_ * cut);
}

auto ConcurrencyLimit::grow(const double latency) -> void
{
    latencyBeforeCut_.reset();
    if (latency < baseline_) {
        baseline_ += baselineFall * (latency - baseline_);
    }
    if (!wasFull()) {
        baseline_ += baselineRise * std::max(0.0, latency - baseline_);
        return;
    }
    if (clock_->now() - probeAt_ >= settings_.baselineProbeInterval && !coldStart_) {
        startProbe();
        return;
    }
    if (coldStart_) {
        set(limit_ * 2.0);
        return;
    }
    const auto isNearCeiling = clock_->now() - ceilingAt_ < settings_.ceilingMemory && limit_ > ceiling_ * nearCeiling;
    set(limit_ + (isNearCeiling ? 1.0 : std::sqrt(limit_)));
}

auto ConcurrencyLimit::startProbe() -> void
{
    probing_ = true;
    settling_ = true;
}

auto ConcurrencyLimit::set(const double limit) -> void
{
    limit_ = std::clamp(limit, 1.0, maximum_);
}

auto ConcurrencyLimit::wasFull() const noexcept -> bool
{
    return static_cast<double>(highestUse_) >= fullShare * value();
}

} // namespace jasminelatch::admission
