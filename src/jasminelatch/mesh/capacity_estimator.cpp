#include "capacity_estimator.hpp"

#include "ewma.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Time for which a stated value counts as present; afterwards the average is used. */
constexpr Duration statedValidity = std::chrono::milliseconds{100};
/*! @brief Range of stated values; a value outside of it would dominate the averages. */
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 20.0;
/*! @brief Weight of the newest run in the mean of its route. */
constexpr double referenceWeight = 0.0003;
/*! @brief Runs of a route from which its mean is used. */
constexpr std::uint32_t minRouteRuns = 20;
/*! @brief Weight of the newest run in the deviation that all routes have in common; it must follow within fewer runs
 * than the mean of a route does. */
constexpr double deviationWeight = 0.02;
/*! @brief Runs that the moving average of a concurrency level covers. */
constexpr double levelRuns = 300.0;
/*! @brief Runs from which a level or a measurement counts. */
constexpr std::size_t minRuns = 40;
/*! @brief Longest run time relative to its route; single outliers must not decide a measurement. */
constexpr double maxRelativeRunTime = 10.0;
/*! @brief Stated values that one measurement keeps. */
constexpr std::size_t maxStated = 256;
/*! @brief Measurements in a row that must call for a lower limit before a trial. */
constexpr std::uint32_t minSuspectWindows = 2;
/*! @brief Concurrency relative to the maximum below which the stated slowness is taken as usual for the instance. */
constexpr double quietConcurrency = 0.5;
/*! @brief Factor by which one run moves the median of the stated slowness at such concurrency. */
constexpr double quietStep = 1.01;
/*! @brief Concurrency relative to the present one up to which a level is compared. */
constexpr double lowerConcurrency = 0.85;
/*! @brief Standard errors by which run times may be off in favor of the present limit. */
constexpr double errorMargin = 1.5;
/*! @brief Bound on the standard error in that comparison, so that its margin stays below the run time. */
constexpr double maxUsedError = 0.3;
/*! @brief Exponent of throughput over concurrency up to which throughput counts as not growing, for a trial of a lower
 * limit to begin. The exponent is 1 where run times do not depend on concurrency, and 0 at a plateau. */
constexpr double suspectExponent = 0.4;
/*! @brief The same for a trial: a lower limit is kept if throughput has fallen less than this, a higher one if it has
 * risen more. Nearer to a plateau than to growth, so that noise rarely keeps a recovered instance at a low limit. */
constexpr double trialExponent = 0.3;
/*! @brief Weight of the newest measurement in the one that a trial is compared with. */
constexpr double referenceWindowWeight = 0.5;

} // namespace internal

CapacityEstimator::CapacityEstimator(Settings settings)
    : settings_{settings}
    , pause_{settings.firstPause}
{
}

auto CapacityEstimator::setMaximum(const std::uint32_t maximum) -> void
{
    if (maximum != maximum_) {
        maximum_ = maximum;
        reset();
    }
}

auto CapacityEstimator::reset() -> void
{
    *this = [&] {
        CapacityEstimator fresh{settings_};
        fresh.maximum_ = maximum_;
        fresh.learned_ = maximum_;
        fresh.limit_ = maximum_;
        // Runs that have begun before the reset subtract their progress at the start.
        fresh.progress_ = progress_;
        fresh.statedAt_ = statedAt_;
        return fresh;
    }();
}

auto CapacityEstimator::recordSlowness(const std::optional<double> slowness, const TimePoint now) -> void
{
    if (!slowness || settings_.learn == LearnConcurrency::Never) {
        return;
    }
    const auto value = std::clamp(*slowness, internal::minSlowness, internal::maxSlowness);
    progress_ = progressAt(now);
    const auto elapsed = std::max(now - statedAt_, minElapsed);
    slowness_ += (isStated_ ? ewmaWeight(elapsed, settings_.smoothingTime) : 1.0) * (value - slowness_);
    isStated_ = true;
    stated_ = value;
    statedAt_ = now;
    auto &values = window_.slowness;
    if (values.size() < internal::maxStated) {
        values.push_back(value);
    } else {
        values[window_.stated % internal::maxStated] = value;
    }
    ++window_.stated;
}

auto CapacityEstimator::start(const std::size_t running, const TimePoint now) const -> Start
{
    return {now, progressAt(now), running};
}

auto CapacityEstimator::recordRun(const std::string &route,
                                  const Start &start,
                                  const std::size_t running,
                                  const Duration runTime) -> void
{
    const auto now = start.at + runTime;
    if (!isActive() || runTime <= Duration::zero() || maximum_ == 0) {
        return;
    }
    const auto concurrency = static_cast<double>(start.running + running) / 2.0;
    if (isStated_ && concurrency < internal::quietConcurrency * maximum_) {
        const auto usual = quietSlowness_.value_or(stated_);
        quietSlowness_ = stated_ > usual ? usual * internal::quietStep : usual / internal::quietStep;
    }
    const auto position = concurrency / maximum_ * levelCount;
    auto &level = levels_[std::min(static_cast<std::size_t>(position), levelCount - 1)];
    const auto relative = relativeRunTime(route, progressAt(now) - start.progress, level);
    if (window_.from == TimePoint{}) {
        startWindow(now);
    }
    if (!relative || start.at < window_.from) {
        return;
    }
    window_.concurrency += concurrency;
    window_.runTime += *relative;
    window_.squares += *relative * *relative;
    ++window_.runs;
    if (isComplete(now)) {
        endWindow(now);
    }
}

auto CapacityEstimator::limit() const noexcept -> std::uint32_t
{
    return limit_;
}

auto CapacityEstimator::learnedLimit() const noexcept -> std::uint32_t
{
    return learned_;
}

auto CapacityEstimator::slowness() const noexcept -> double
{
    return slowness_;
}

auto CapacityEstimator::smoothed(const Start &start, const Duration runTime) const -> Duration
{
    if (!isStated_ || runTime <= Duration::zero()) {
        return runTime;
    }
    const auto work = progressAt(start.at + runTime) - start.progress;
    return Duration{static_cast<Duration::rep>(work * slowness_)};
}

auto CapacityEstimator::isActive() const noexcept -> bool
{
    return settings_.learn == LearnConcurrency::Always || (settings_.learn == LearnConcurrency::Stated && isStated_);
}

auto CapacityEstimator::progressAt(const TimePoint now) const -> double
{
    const auto elapsed = std::max<Duration>(now - statedAt_, Duration::zero());
    const auto present = std::min(elapsed, internal::statedValidity);
    return progress_ + static_cast<double>(present.count()) / stated_
         + static_cast<double>((elapsed - present).count()) / slowness_;
}

auto CapacityEstimator::relativeRunTime(const std::string &route, const double work, Level &level)
    -> std::optional<double>
{
    auto &reference = references_[route];
    ++reference.runs;
    const auto usual = level.runs >= internal::minRuns ? level.mean : 1.0;
    const auto weight = std::max(1.0 / reference.runs, internal::referenceWeight);
    // Without what all routes have in common, so that a change of speed does not move the means of the routes.
    reference.mean += weight * (work / (usual * deviation_) - reference.mean);
    if (reference.runs < internal::minRouteRuns) {
        return std::nullopt;
    }
    const auto relative = std::min(work / std::max(reference.mean, 1.0), internal::maxRelativeRunTime);
    deviation_ += internal::deviationWeight * (relative / usual - deviation_);
    ++level.runs;
    const auto levelWeight = std::max(1.0 / level.runs, 1.0 / internal::levelRuns);
    const auto change = relative - level.mean;
    level.mean += levelWeight * change;
    level.variance = (1.0 - levelWeight) * (level.variance + levelWeight * change * change);
    return relative;
}

auto CapacityEstimator::isComplete(const TimePoint now) const -> bool
{
    const auto length = now - window_.from;
    if (length < settings_.minWindow) {
        return false;
    }
    if (length >= settings_.maxWindow) {
        return window_.runs >= internal::minRuns || length >= 3 * settings_.maxWindow;
    }
    const auto runs = static_cast<double>(window_.runs);
    const auto mean = window_.runTime / runs;
    const auto variance = std::max(window_.squares / runs - mean * mean, 0.0);
    return window_.runs >= internal::minRuns && std::sqrt(variance / runs) <= settings_.maxError * mean;
}

auto CapacityEstimator::measure() -> Measured
{
    const auto runs = static_cast<double>(window_.runs);
    Measured measured;
    measured.concurrency = window_.concurrency / runs;
    measured.runTime = window_.runTime / runs;
    const auto variance = std::max(window_.squares / runs - measured.runTime * measured.runTime, 0.0);
    measured.error = std::sqrt(variance / runs) / measured.runTime;
    if (auto &values = window_.slowness; !values.empty()) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        measured.slowness = *middle;
    }
    measured.isFull = window_.runs >= internal::minRuns && measured.concurrency >= settings_.fullFraction * limit_;
    return measured;
}

auto CapacityEstimator::isSuspect(const Measured &measured) const -> bool
{
    if (measured.slowness >= settings_.lastingSlowness * quietSlowness_.value_or(1.0)) {
        return true;
    }
    const auto own =
        measured.concurrency
        / (measured.runTime * (1.0 - internal::errorMargin * std::min(measured.error, internal::maxUsedError)));
    for (std::size_t index = 0; index < levelCount; ++index) {
        const auto &level = levels_[index];
        const auto concurrency = (static_cast<double>(index) + 0.5) * maximum_ / levelCount;
        if (level.runs < internal::minRuns || concurrency > internal::lowerConcurrency * measured.concurrency) {
            continue;
        }
        const auto runs = std::min<double>(level.runs, internal::levelRuns);
        const auto upper = level.mean + internal::errorMargin * std::sqrt(level.variance / runs);
        const auto needed = own * std::pow(concurrency / measured.concurrency, internal::suspectExponent);
        if (concurrency / upper >= needed) {
            return true;
        }
    }
    return false;
}

auto CapacityEstimator::endWindow(const TimePoint now) -> void
{
    const auto measured = measure();
    if (trial_ != Trial::None) {
        endTrial(measured, now);
        return;
    }
    updateReference(measured);
    suspectWindows_ = measured.isFull && isSuspect(measured) ? suspectWindows_ + 1 : 0;
    if (suspectWindows_ >= internal::minSuspectWindows && now >= lowerAt_) {
        suspectWindows_ = 0;
        startTrial(false, now);
    } else if (limit_ < maximum_ && now >= raiseAt_) {
        startTrial(true, now);
    } else {
        startWindow(now);
    }
}

auto CapacityEstimator::updateReference(const Measured &measured) -> void
{
    const auto before = reference_.value_or(measured);
    reference_ = measured;
    if (before.isFull && measured.isFull) {
        const auto blend = [](const double older, const double newer) {
            return older + internal::referenceWindowWeight * (newer - older);
        };
        reference_->concurrency = blend(before.concurrency, measured.concurrency);
        reference_->runTime = blend(before.runTime, measured.runTime);
        reference_->slowness = blend(before.slowness, measured.slowness);
    }
}

auto CapacityEstimator::startTrial(const bool isUpward, const TimePoint now) -> void
{
    const auto step = isUpward ? settings_.raiseStep : settings_.lowerStep;
    const auto change = std::max(static_cast<std::uint32_t>(std::lround(step * learned_)), 1U);
    const auto least = std::max(static_cast<std::uint32_t>(settings_.minFraction * maximum_), 1U);
    limit_ = isUpward ? std::min(learned_ + change, maximum_) : std::max(learned_ - std::min(change, learned_), least);
    trial_ = limit_ == learned_ ? Trial::None : isUpward ? Trial::Higher : Trial::Lower;
    startWindow(now);
}

auto CapacityEstimator::endTrial(const Measured &measured, const TimePoint now) -> void
{
    const auto isUpward = trial_ == Trial::Higher;
    const auto growth = measured.concurrency / reference_->concurrency;
    const auto hasGrown = measured.throughput() >= reference_->throughput() * std::pow(growth, internal::trialExponent);
    // A higher limit that is not used does no harm, and one that stayed low would keep requests away.
    const auto isKept = isUpward ? hasGrown || !measured.isFull : hasGrown && measured.isFull;
    if (isKept) {
        learned_ = limit_;
        reference_ = measured;
        if (isUpward && measured.isFull && learned_ == maximum_) {
            // Nothing was gained by the lower limit, as if a slowness of seconds has ended during a trial.
            delayLowering(now);
        }
        startTrial(isUpward, now);
        return;
    }
    trial_ = Trial::None;
    limit_ = learned_;
    raiseAt_ = now + settings_.raiseInterval;
    if (isUpward) {
        pause_ = settings_.firstPause;
    } else {
        delayLowering(now);
    }
    startWindow(now);
}

auto CapacityEstimator::delayLowering(const TimePoint now) -> void
{
    lowerAt_ = now + pause_;
    pause_ = std::min(pause_ * 2, settings_.maxPause);
}

auto CapacityEstimator::startWindow(const TimePoint now) -> void
{
    auto values = std::move(window_.slowness);
    values.clear();
    window_ = {};
    window_.slowness = std::move(values);
    window_.from = now;
}

} // namespace jasminelatch::mesh
