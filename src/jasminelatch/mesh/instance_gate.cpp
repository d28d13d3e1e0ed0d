#include "instance_gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

auto ewma(const Duration mean, const Duration newest, const double weight) -> Duration
{
    const auto change = static_cast<double>((newest - mean).count()) * weight;
    return mean + Duration{static_cast<Duration::rep>(change)};
}

} // namespace internal

InstanceGate::InstanceGate(Settings settings)
    : settings_{settings}
    , rateLimit_{settings.rateLimit}
    , coldStart_{settings.coldStart}
    , capacity_{settings.capacity}
{
}

auto InstanceGate::setSlots(const std::uint32_t slots) -> void
{
    slots_ = slots;
    const auto used = static_cast<std::uint32_t>(std::floor(settings_.usedSlotFraction * slots_));
    capacity_.setMaximum(slots_ == 0 ? 0 : std::max(used, 1U));
}

auto InstanceGate::setInstanceCount(const std::size_t count) -> void
{
    instanceCount_ = count;
}

auto InstanceGate::recordAnswer(const std::optional<double> limit, const TimePoint now) -> bool
{
    return rateLimit_.recordAnswer(limit, now);
}

auto InstanceGate::awaitFirstAnswer(const TimePoint now) -> void
{
    rateLimit_.awaitFirstAnswer(now);
}

auto InstanceGate::isAwaitingAnswer() const noexcept -> bool
{
    return rateLimit_.isAwaitingAnswer();
}

auto InstanceGate::resetRateLimit() -> void
{
    rateLimit_.reset();
}

auto InstanceGate::rateLimit() const noexcept -> std::optional<double>
{
    return rateLimit_.limit();
}

auto InstanceGate::coldStart() noexcept -> ColdStart &
{
    return coldStart_;
}

auto InstanceGate::coldStart() const noexcept -> const ColdStart &
{
    return coldStart_;
}

auto InstanceGate::capacity() noexcept -> CapacityEstimator &
{
    return capacity_;
}

auto InstanceGate::capacity() const noexcept -> const CapacityEstimator &
{
    return capacity_;
}

auto InstanceGate::setFleetProfiles(const std::map<std::string, RouteProfile> &profiles) -> void
{
    auto runs = 0.0;
    auto total = 0.0;
    fleetRunTimes_.clear();
    for (const auto &[route, own] : runTimes_) {
        const auto found = profiles.find(route);
        if (found != profiles.end() && found->second.runTime > Duration::zero()) {
            fleetRunTimes_.emplace(route, found->second.runTime);
            runs += found->second.runs;
            total += found->second.runs * static_cast<double>(found->second.runTime.count());
        }
    }
    fleetRunTime_ = runs > 0.0 ? Duration{static_cast<Duration::rep>(total / runs)} : Duration::zero();
}

auto InstanceGate::offer(Item item, const TimePoint now) -> Decision
{
    const auto free = running_.size() < limit();
    if (free && queue_.size() == queuedSuspects_) {
        if (!canFinish(item, now)) {
            return {Decision::Kind::Refuse, settings_.minRetryAfter};
        }
        if (maySuspectRun(item.crashes) && takeRate(now)) {
            start(std::move(item), now);
            return {Decision::Kind::Run, {}};
        }
    }
    const QueueKey key{item.rank, ++arrivals_};
    const auto ahead = static_cast<std::size_t>(std::distance(queue_.begin(), queue_.lower_bound(key)));
    if (queue_.size() >= settings_.maxQueued || !canFinish(item, now + expectedWait(ahead, now))) {
        return {Decision::Kind::Refuse, retryAfter(now)};
    }
    queueKeys_.emplace(item.id, key);
    queuedSuspects_ += item.crashes > 0 ? 1 : 0;
    queue_.emplace(key, std::move(item));
    return {Decision::Kind::Wait, {}};
}

auto InstanceGate::finish(const std::uint64_t id, const Duration runTime) -> void
{
    if (const auto waiting = queueKeys_.find(id); waiting != queueKeys_.end()) {
        removeQueued(queue_.find(waiting->second));
        return;
    }
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    if (runTime > Duration::zero()) {
        const auto &run = found->second;
        recordRunTime(run, runTime);
        // A cold instance is slow at any concurrency, and its rate is limited.
        if (!coldStart_.isLimited(run.start.at)) {
            capacity_.recordRun(run.route, run.start, running_.size(), runTime);
        }
    }
    runningSuspects_ -= found->second.crashes > 0 ? 1 : 0;
    runningAlone_ -= found->second.crashes > 1 ? 1 : 0;
    running_.erase(found);
}

auto InstanceGate::hasQueued() const noexcept -> bool
{
    return !queue_.empty();
}

auto InstanceGate::isQueued(const std::uint64_t id) const -> bool
{
    return queueKeys_.contains(id);
}

auto InstanceGate::maySuspectRun(const std::uint32_t crashes) const -> bool
{
    if (crashes == 0) {
        return true;
    }
    const auto used = instanceCount_ < settings_.minInstancesForSuspects ? 0.0 : settings_.suspectSlotFraction;
    const auto most = std::max(static_cast<std::uint32_t>(used * slots_), 1U);
    return crashes == 1 ? runningAlone_ == 0 && runningSuspects_ < most : runningSuspects_ == 0;
}

auto InstanceGate::takeRate(const TimePoint now) -> bool
{
    if (!coldStart_.allows(now) || !rateLimit_.take(now)) {
        return false;
    }
    coldStart_.record(now);
    return true;
}

auto InstanceGate::rateWait(const std::size_t ahead, const TimePoint now) const -> Duration
{
    return std::max(rateLimit_.wait(ahead, now), coldStart_.wait(ahead, now));
}

auto InstanceGate::start(Item item, const TimePoint now) -> void
{
    runningSuspects_ += item.crashes > 0 ? 1 : 0;
    runningAlone_ += item.crashes > 1 ? 1 : 0;
    running_.emplace(item.id, Run{std::move(item.route), item.crashes, capacity_.start(running_.size() + 1, now)});
}

auto InstanceGate::removeQueued(const std::map<QueueKey, Item>::iterator item) -> std::map<QueueKey, Item>::iterator
{
    queuedSuspects_ -= item->second.crashes > 0 ? 1 : 0;
    queueKeys_.erase(item->second.id);
    return queue_.erase(item);
}

auto InstanceGate::recordRunTime(const Run &run, const Duration runTime) -> void
{
    const auto &route = run.route;
    const auto weight = settings_.runTimeEwmaWeight;
    const auto [mean, isNew] = runTimes_.try_emplace(route, runTime);
    if (!isNew) {
        mean->second = internal::ewma(mean->second, runTime, weight);
    }
    meanRunTime_ = meanRunTime_ == Duration::zero() ? runTime : internal::ewma(meanRunTime_, runTime, weight);
    if (const auto fleet = fleetRunTimes_.find(route); fleet != fleetRunTimes_.end()) {
        // Reports of the load are older than a burst of a neighbor.
        const auto smoothed = capacity_.smoothed(run.start, runTime);
        const auto ratio = static_cast<double>(smoothed.count()) / static_cast<double>(fleet->second.count());
        slowness_ += weight * (ratio - slowness_);
    }
}

auto InstanceGate::dispatch(const TimePoint now) -> Dispatch
{
    Dispatch dispatched;
    for (auto next = queue_.begin(); next != queue_.end();) {
        const auto &item = next->second;
        const auto expired = !canFinish(item, now);
        if (!expired && (running_.size() >= limit() || !maySuspectRun(item.crashes) || !takeRate(now))) {
            ++next;
            continue;
        }
        if (expired) {
            dispatched.refused.push_back({item.id, retryAfter(now)});
        } else {
            dispatched.run.push_back(item.id);
            start(item, now);
        }
        next = removeQueued(next);
    }
    return dispatched;
}

auto InstanceGate::clearQueue() -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> ids;
    for (const auto &[key, item] : queue_) {
        ids.push_back(item.id);
    }
    queue_.clear();
    queueKeys_.clear();
    queuedSuspects_ = 0;
    return ids;
}

auto InstanceGate::load(const TimePoint now) const -> InstanceLoad
{
    InstanceLoad load{static_cast<std::uint32_t>(running_.size()),
                      static_cast<std::uint32_t>(queue_.size() - queuedSuspects_),
                      limit(),
                      runTime()};
    auto rate = rateLimit_.limit();
    if (coldStart_.isLimited(now)) {
        rate = std::min(rate.value_or(coldStart_.rate()), coldStart_.rate());
    }
    if (rate && load.limit > 0) {
        const auto usual = load.runTime == Duration::zero() ? settings_.defaultRunTime : load.runTime;
        const auto concurrency = *rate * std::chrono::duration<double>(usual).count();
        load.limit = std::clamp(static_cast<std::uint32_t>(std::min<double>(concurrency, limit())), 1U, limit());
        if (rateWait(0, now) > Duration::zero()) {
            load.running = std::max(load.running, load.limit);
        }
    }
    return load;
}

auto InstanceGate::runTime() const -> Duration
{
    const auto relative = static_cast<double>(fleetRunTime_.count()) * slowness_;
    return fleetRunTime_ > Duration::zero() ? Duration{static_cast<Duration::rep>(relative)} : meanRunTime_;
}

auto InstanceGate::limit() const -> std::uint32_t
{
    return capacity_.limit();
}

auto InstanceGate::expectedWait(const std::size_t ahead, const TimePoint now) const -> Duration
{
    const auto slots = std::max<std::uint32_t>(limit(), 1);
    const auto runTime = meanRunTime_ == Duration::zero() ? settings_.defaultRunTime : meanRunTime_;
    const auto isFull = running_.size() >= limit();
    const auto forSlot = isFull ? Duration{runTime * static_cast<Duration::rep>(ahead + 1) / slots} : Duration::zero();
    return std::max(forSlot, rateWait(ahead, now));
}

auto InstanceGate::retryAfter(const TimePoint now) const -> Duration
{
    return std::max(expectedWait(queue_.size(), now), settings_.minRetryAfter);
}

auto InstanceGate::canFinish(const Item &item, const TimePoint start) const -> bool
{
    const auto found = runTimes_.find(item.route);
    // Half of the mean, because run times vary and a request that may still finish must not be refused.
    const auto minRunTime = found == runTimes_.end() ? Duration::zero() : found->second / 2;
    return start + minRunTime < item.deadline && start <= item.startBy;
}

} // namespace jasminelatch::mesh
