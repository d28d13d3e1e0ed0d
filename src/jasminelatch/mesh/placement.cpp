#include "placement.hpp"

#include "instance_record.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace jasminelatch::mesh {

auto toText(const CandidateState state) -> std::string_view
{
    switch (state) {
    case CandidateState::Healthy:
        return "healthy";
    case CandidateState::LastResort:
        return "last_resort";
    case CandidateState::Ejected:
        return "ejected";
    case CandidateState::Unreachable:
        return "unreachable";
    case CandidateState::NotAccepting:
        return "not_accepting";
    case CandidateState::Leaving:
        return "leaving";
    case CandidateState::Evacuated:
        return "evacuated";
    }
    return "unknown";
}

auto isSelectable(const CandidateState state) -> bool
{
    return state == CandidateState::Healthy || state == CandidateState::LastResort;
}

Placement::Placement(Settings settings, std::string ownDomain, const std::uint64_t seed)
    : settings_{settings}
    , ownDomain_{std::move(ownDomain)}
    , random_{seed}
{
}

auto Placement::setMember(const Member &member, const TimePoint now) -> void
{
    auto &endpoint = endpoints_[member.name];
    const auto isSameIncarnation =
        endpoint.member.incarnation == member.incarnation && endpoint.member.instanceId == member.instanceId;
    if (!isSameIncarnation) {
        endpoint.load = {};
        endpoint.failures = 0;
        endpoint.ejections = 0;
        endpoint.ejectedUntil = {};
        endpoint.coldUntil = now + member.coldStartRemaining;
    }
    endpoint.member = member;
}

auto Placement::removeMember(const std::string &name) -> void
{
    endpoints_.erase(name);
}

auto Placement::setReachable(const std::string &name, const bool isReachable) -> void
{
    if (const auto found = endpoints_.find(name); found != endpoints_.end()) {
        found->second.isReachable = isReachable;
    }
}

auto Placement::markLeaving(const std::string &name,
                            const std::string &instanceId,
                            const std::uint64_t instanceStartMs,
                            const TimePoint now) -> void
{
    const auto isOver = [&](const Departure &departure) {
        return now - departure.at > settings_.departureMemory;
    };
    for (auto &[vm, departures] : departures_) {
        std::erase_if(departures, isOver);
    }
    std::erase_if(departures_, [](const auto &entry) { return entry.second.empty(); });
    auto &departures = departures_[name];
    std::erase_if(departures, [&](const Departure &departure) {
        return departure.instanceId == instanceId && departure.instanceStartMs == instanceStartMs;
    });
    departures.push_back({instanceId, instanceStartMs, now});
}

auto Placement::setEvacuated(std::set<std::string> domains) -> void
{
    evacuated_ = std::move(domains);
}

auto Placement::applyReport(const NodeReport &report) -> void
{
    applyStatus(
        {report.name, report.incarnation, report.session, report.instanceId, report.accepting, true, report.load});
}

auto Placement::applyStatus(const InstanceStatus &status) -> void
{
    const auto found = endpoints_.find(status.name);
    if (found == endpoints_.end() || found->second.member.incarnation != status.incarnation) {
        return;
    }
    auto &endpoint = found->second;
    if (endpoint.member.instanceId == status.instanceId) {
        endpoint.member.accepting = status.accepting;
        updateLoad(endpoint, status.load);
    }
}

auto Placement::choose(const std::string &service, const std::span<const std::string> exclude, const TimePoint now)
    -> const Member *
{
    std::vector<const Endpoint *> healthy;
    std::vector<const Endpoint *> ejected;
    for (const auto &[name, endpoint] : endpoints_) {
        if (endpoint.member.service == service && accepts(endpoint)
            && std::ranges::find(exclude, name) == exclude.end()) {
            (endpoint.ejectedUntil > now || !endpoint.isReachable ? ejected : healthy).push_back(&endpoint);
        }
    }
    // If all instances of a service are ejected or unreachable, they are used anyway.
    const auto &candidates = healthy.empty() ? ejected : healthy;
    if (candidates.empty()) {
        return nullptr;
    }
    if (std::uniform_real_distribution{}(random_) < settings_.explorationFraction) {
        const auto any = std::uniform_int_distribution<std::size_t>{0, candidates.size() - 1}(random_);
        return &candidates[any]->member;
    }
    return fastest(candidates, service, now);
}

auto Placement::chooseForSuspect(const std::string &service,
                                 const std::span<const std::string> exclude,
                                 const bool mustSpareCapacity,
                                 const TimePoint now) -> const Member *
{
    std::vector<const Endpoint *> candidates;
    std::size_t members{};
    for (const auto &[name, endpoint] : endpoints_) {
        if (endpoint.member.service == service) {
            ++members;
            if (accepts(endpoint) && endpoint.isReachable && endpoint.ejectedUntil <= now) {
                candidates.push_back(&endpoint);
            }
        }
    }
    if (candidates.empty() || (candidates.size() == 1 && members > 1)) {
        return nullptr;
    }
    const auto trials = (candidates.size() + settings_.membersPerTrial - 1) / settings_.membersPerTrial;
    auto load = 0.0;
    auto sparedLimit = 0.0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &endpoint = *candidates[index];
        load += endpoint.load.running + endpoint.load.queued;
        sparedLimit += index < trials ? 0U : limitOf(endpoint);
    }
    if (mustSpareCapacity && candidates.size() < members && load > settings_.maxSparedLoad * sparedLimit) {
        return nullptr;
    }
    candidates.resize(trials);
    std::erase_if(candidates, [&](const Endpoint *endpoint) {
        return std::ranges::find(exclude, endpoint->member.name) != exclude.end();
    });
    return candidates.empty() ? nullptr : fastest(candidates, service, now);
}

auto Placement::markDown(const std::string &name) -> void
{
    if (const auto found = endpoints_.find(name); found != endpoints_.end()) {
        found->second.member.accepting = false;
    }
}

auto Placement::fastest(const std::span<const Endpoint *const> candidates,
                        const std::string &service,
                        const TimePoint now) -> const Member *
{
    const auto meanTime = meanRunTime(service);
    const Endpoint *best = nullptr;
    auto bestTime = 0.0;
    for (const auto *endpoint : candidates) {
        // A small random factor keeps nodes with the same view from selecting the same instance.
        const auto time = expectedTime(*endpoint, meanTime, now) * std::uniform_real_distribution{0.8, 1.2}(random_);
        if (best == nullptr || time < bestTime) {
            best = endpoint;
            bestTime = time;
        }
    }
    return &best->member;
}

auto Placement::started(const std::string &name) -> void
{
    if (const auto found = endpoints_.find(name); found != endpoints_.end()) {
        ++found->second.inFlight;
    }
}

auto Placement::finished(const std::string &name, const bool failed, const InstanceLoad &load, const TimePoint now)
    -> void
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end()) {
        return;
    }
    auto &endpoint = found->second;
    endpoint.inFlight -= std::min(endpoint.inFlight, 1U);
    updateLoad(endpoint, load);
    if (!failed) {
        endpoint.failures = 0;
        endpoint.ejections = 0;
        return;
    }
    if (++endpoint.failures >= settings_.failuresBeforeEjection) {
        const auto ejectionTime = settings_.firstEjection * (1U << std::min(endpoint.ejections, 8U));
        endpoint.ejectedUntil = now + std::min<Duration>(ejectionTime, settings_.maxEjection);
        endpoint.failures = 0;
        ++endpoint.ejections;
    }
}

auto Placement::capacity(const std::string &service) const -> ServiceCapacity
{
    ServiceCapacity capacity;
    for (const auto &[name, endpoint] : endpoints_) {
        if (endpoint.member.service == service && accepts(endpoint) && endpoint.isReachable) {
            ++capacity.instances;
            capacity.limit += limitOf(endpoint);
            capacity.running += endpoint.load.running;
            capacity.queued += endpoint.load.queued;
        }
    }
    return capacity;
}

auto Placement::candidates(const std::string &service, const TimePoint now) const -> std::vector<PlacementCandidate>
{
    const auto meanTime = meanRunTime(service);
    std::vector<PlacementCandidate> found;
    for (const auto &[name, endpoint] : endpoints_) {
        if (endpoint.member.service == service) {
            const auto time = expectedTime(endpoint, meanTime, now);
            found.push_back({endpoint.member,
                             stateOf(endpoint, now),
                             endpoint.load,
                             limitOf(endpoint),
                             endpoint.inFlight,
                             Duration{static_cast<Duration::rep>(time)}});
        }
    }
    if (std::ranges::none_of(found, [](const auto &each) { return each.state == CandidateState::Healthy; })) {
        for (auto &candidate : found) {
            if (candidate.state == CandidateState::Ejected || candidate.state == CandidateState::Unreachable) {
                candidate.state = CandidateState::LastResort;
            }
        }
    }
    std::ranges::stable_sort(found, std::less{}, [](const PlacementCandidate &candidate) {
        return std::pair{!isSelectable(candidate.state), candidate.expectedTime};
    });
    return found;
}

auto Placement::hasDeparted(const Member &member) const -> bool
{
    const auto found = departures_.find(member.name);
    return found != departures_.end() && std::ranges::any_of(found->second, [&](const Departure &departure) {
               return departure.instanceId == member.instanceId
                   && isSameStart(departure.instanceStartMs, member.instanceStartMs);
           });
}

auto Placement::accepts(const Endpoint &endpoint) const -> bool
{
    const auto &member = endpoint.member;
    return member.accepting && !hasDeparted(member) && !evacuated_.contains(member.domain);
}

auto Placement::stateOf(const Endpoint &endpoint, const TimePoint now) const -> CandidateState
{
    if (evacuated_.contains(endpoint.member.domain)) {
        return CandidateState::Evacuated;
    }
    if (hasDeparted(endpoint.member)) {
        return CandidateState::Leaving;
    }
    if (!endpoint.member.accepting) {
        return CandidateState::NotAccepting;
    }
    if (!endpoint.isReachable) {
        return CandidateState::Unreachable;
    }
    return endpoint.ejectedUntil > now ? CandidateState::Ejected : CandidateState::Healthy;
}

auto Placement::limitOf(const Endpoint &endpoint) -> std::uint32_t
{
    return endpoint.load.limit > 0 ? endpoint.load.limit : endpoint.member.slots;
}

auto Placement::meanRunTime(const std::string &service) const -> Duration
{
    Duration sum{};
    Duration::rep count{};
    for (const auto &[name, endpoint] : endpoints_) {
        if (endpoint.member.service == service && endpoint.load.runTime > Duration::zero()) {
            sum += endpoint.load.runTime;
            ++count;
        }
    }
    return count == 0 ? settings_.defaultRunTime : sum / count;
}

auto Placement::expectedTime(const Endpoint &endpoint, const Duration meanRunTime, const TimePoint now) const -> double
{
    const auto known = endpoint.load.limit > 0;
    const auto limit = static_cast<double>(known ? endpoint.load.limit : std::max(endpoint.member.slots, 1U));
    const auto reported = known ? endpoint.load.running + endpoint.load.queued : 0U;
    const auto sentSinceReport =
        endpoint.inFlight > endpoint.inFlightAtReport ? endpoint.inFlight - endpoint.inFlightAtReport : 0U;
    const auto hasRun = endpoint.load.runTime > Duration::zero();
    auto runTime = static_cast<double>((hasRun ? endpoint.load.runTime : meanRunTime).count());
    if (endpoint.coldUntil > now) {
        runTime *= settings_.coldFactor;
    }
    const auto load = (static_cast<double>(reported + sentSinceReport) + 1.0) / limit;
    // Below the limit a request starts at once; a small cost for concurrency still spreads the load.
    const auto waiting = load <= 1.0 ? 0.5 * load * load : 0.5 + settings_.queuePenalty * (load - 1.0);
    const auto time = runTime * (1.0 + waiting);
    if (endpoint.member.domain == ownDomain_) {
        return time;
    }
    return time + settings_.crossDomainPenaltyFraction * runTime
         + static_cast<double>(settings_.crossDomainPenalty.count());
}

auto Placement::updateLoad(Endpoint &endpoint, const InstanceLoad &load) -> void
{
    if (load.limit > 0) {
        endpoint.load = load;
        endpoint.inFlightAtReport = endpoint.inFlight;
    }
}

} // namespace jasminelatch::mesh
