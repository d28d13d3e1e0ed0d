#include "placement.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::mesh {

Placement::Placement(Settings settings, std::string ownDomain, const std::uint64_t seed)
    : settings_{settings}
    , ownDomain_{std::move(ownDomain)}
    , random_{seed}
{
}

auto Placement::setMember(const Member &member, const TimePoint now) -> void
{
    auto &track = tracks_[member.name];
    const auto sameStart =
        track.member.incarnation == member.incarnation && track.member.instanceId == member.instanceId;
    if (!sameStart) {
        track.load = {};
        track.failures = 0;
        track.avoidances = 0;
        track.avoidedUntil = {};
        track.coldUntil = now + member.coldStartRemaining;
    }
    track.member = member;
}

auto Placement::removeMember(const std::string &name) -> void
{
    tracks_.erase(name);
}

auto Placement::setReachable(const std::string &name, const bool answers) -> void
{
    if (const auto found = tracks_.find(name); found != tracks_.end()) {
        found->second.isReachable = answers;
    }
}

auto Placement::applyReport(const NodeReport &report) -> void
{
    applyStatus(
        {report.name, report.incarnation, report.session, report.instanceId, report.accepting, true, report.load});
}

auto Placement::applyStatus(const InstanceStatus &status) -> void
{
    const auto found = tracks_.find(status.name);
    if (found == tracks_.end() || found->second.member.incarnation != status.incarnation) {
        return;
    }
    auto &track = found->second;
    if (track.member.instanceId == status.instanceId) {
        track.member.accepting = status.accepting;
        noteLoad(track, status.load);
    }
}

auto Placement::choose(const std::string &service, const std::span<const std::string> exclude, const TimePoint now)
    -> const Member *
{
    std::vector<const Track *> healthy;
    std::vector<const Track *> avoided;
    for (const auto &[name, track] : tracks_) {
        if (track.member.service == service && track.member.accepting
            && std::ranges::find(exclude, name) == exclude.end()) {
            (track.avoidedUntil > now || !track.isReachable ? avoided : healthy).push_back(&track);
        }
    }
    // Never all instances of a service at once are avoided.
    const auto &candidates = healthy.empty() ? avoided : healthy;
    if (candidates.empty()) {
        return nullptr;
    }
    if (std::uniform_real_distribution{}(random_) < settings_.explored) {
        const auto any = std::uniform_int_distribution<std::size_t>{0, candidates.size() - 1}(random_);
        return &candidates[any]->member;
    }
    const auto usual = usualRunTime(service);
    const Track *best = nullptr;
    auto bestTime = 0.0;
    for (const auto *track : candidates) {
        // A small random factor keeps nodes with the same view from choosing alike.
        const auto time = expectedTime(*track, usual, now) * std::uniform_real_distribution{0.8, 1.2}(random_);
        if (best == nullptr || time < bestTime) {
            best = track;
            bestTime = time;
        }
    }
    return &best->member;
}

auto Placement::started(const std::string &name) -> void
{
    if (const auto found = tracks_.find(name); found != tracks_.end()) {
        ++found->second.sent;
    }
}

auto Placement::finished(const std::string &name, const bool failed, const InstanceLoad &load, const TimePoint now)
    -> void
{
    const auto found = tracks_.find(name);
    if (found == tracks_.end()) {
        return;
    }
    auto &track = found->second;
    track.sent -= std::min(track.sent, 1U);
    noteLoad(track, load);
    if (!failed) {
        track.failures = 0;
        track.avoidances = 0;
        return;
    }
    if (++track.failures >= settings_.failuresBeforeAvoidance) {
        const auto pause = settings_.firstAvoidance * (1U << std::min(track.avoidances, 8U));
        track.avoidedUntil = now + std::min<Duration>(pause, settings_.longestAvoidance);
        track.failures = 0;
        ++track.avoidances;
    }
}

auto Placement::room(const std::string &service) const -> ServiceRoom
{
    ServiceRoom room;
    for (const auto &[name, track] : tracks_) {
        if (track.member.service == service && track.member.accepting && track.isReachable) {
            room.limit += track.load.limit > 0 ? track.load.limit : track.member.slots;
            room.running += track.load.running;
            room.queued += track.load.queued;
        }
    }
    return room;
}

auto Placement::usualRunTime(const std::string &service) const -> Duration
{
    Duration sum{};
    Duration::rep count{};
    for (const auto &[name, track] : tracks_) {
        if (track.member.service == service && track.load.runTime > Duration::zero()) {
            sum += track.load.runTime;
            ++count;
        }
    }
    return count == 0 ? settings_.firstRunTime : sum / count;
}

auto Placement::expectedTime(const Track &track, const Duration usualRunTime, const TimePoint now) const -> double
{
    const auto known = track.load.limit > 0;
    const auto limit = static_cast<double>(known ? track.load.limit : std::max(track.member.slots, 1U));
    const auto told = known ? track.load.running + track.load.queued : 0U;
    const auto sentSince = track.sent > track.sentAtLoad ? track.sent - track.sentAtLoad : 0U;
    const auto hasRun = track.load.runTime > Duration::zero();
    auto runTime = static_cast<double>((hasRun ? track.load.runTime : usualRunTime).count());
    if (track.coldUntil > now) {
        runTime *= settings_.coldFactor;
    }
    const auto load = (static_cast<double>(told + sentSince) + 1.0) / limit;
    // Below the limit a request starts at once; crowding still costs a little, so that load spreads.
    const auto waiting = load <= 1.0 ? 0.5 * load * load : 0.5 + settings_.queueCost * (load - 1.0);
    const auto time = runTime * (1.0 + waiting);
    if (track.member.domain == ownDomain_) {
        return time;
    }
    return time + settings_.otherDomainPart * runTime + static_cast<double>(settings_.otherDomainCost.count());
}

auto Placement::noteLoad(Track &track, const InstanceLoad &load) -> void
{
    if (load.limit > 0) {
        track.load = load;
        track.sentAtLoad = track.sent;
    }
}

} // namespace jasminelatch::mesh
