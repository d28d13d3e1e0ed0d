#include "call_learner.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Prior count of calls to every route, so that none is ruled out before the first is observed. */
constexpr double priorCalls = 0.5;
/*! @brief Prior slot time in seconds, before the first run. */
constexpr double priorSeconds = 1.0;

} // namespace internal

CallLearner::CallLearner(Settings settings)
    : settings_{settings}
{
}

auto CallLearner::runStarted(const std::string &route, const TimePoint deadline) -> void
{
    running_.emplace(deadline, route);
}

auto CallLearner::runEnded(const std::string &route, const TimePoint deadline, const Duration time) -> void
{
    const auto [first, last] = running_.equal_range(deadline);
    const auto run = std::find_if(first, last, [&](const auto &entry) { return entry.second == route; });
    if (run != last) {
        running_.erase(run);
    }
    auto &observed = routes_[route];
    observed.runs += 1.0;
    observed.seconds += std::chrono::duration<double>(time).count();
}

auto CallLearner::callMade(const std::string &route, const TimePoint deadline) -> void
{
    const auto [first, last] = candidateParents(deadline);
    std::map<std::string, double> shares;
    auto total = 0.0;
    for (auto run = first; run != last; ++run) {
        const auto rate = callRate(routes_[run->second], route);
        shares[run->second] += rate;
        total += rate;
    }
    const auto isUnambiguous = shares.size() == 1;
    for (const auto &[name, share] : shares) {
        auto &calls = routes_[name].calls[route];
        calls.attributed += share / total;
        calls.unambiguous += isUnambiguous ? 1.0 : 0.0;
    }
}

auto CallLearner::decay(const Duration elapsed) -> void
{
    const auto halfLives = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(settings_.halfLife);
    const auto factor = std::exp2(-halfLives);
    for (auto &[name, observed] : routes_) {
        observed.runs *= factor;
        observed.seconds *= factor;
        for (auto &[call, count] : observed.calls) {
            count.attributed *= factor;
            count.unambiguous *= factor;
        }
    }
}

auto CallLearner::profiles() const -> std::vector<RouteProfile>
{
    constexpr double minCallsPerRun = 0.02;
    std::vector<RouteProfile> profiles;
    for (const auto &[name, observed] : routes_) {
        if (observed.runs < settings_.minRuns) {
            continue;
        }
        RouteProfile profile{name, observed.runs, {}, {}};
        profile.runTime = Duration{static_cast<Duration::rep>(observed.seconds / observed.runs * 1e6)};
        for (const auto &[call, count] : observed.calls) {
            if (count.attributed / observed.runs > minCallsPerRun) {
                profile.calls.emplace(call, count.attributed / observed.runs);
            }
        }
        profiles.push_back(std::move(profile));
    }
    return profiles;
}

auto CallLearner::candidateParents(const TimePoint deadline) const
    -> std::pair<Runs::const_iterator, Runs::const_iterator>
{
    const auto first = running_.lower_bound(deadline - settings_.lateTolerance);
    const auto last = running_.upper_bound(deadline + settings_.earlyTolerance);
    if (first != last) {
        return {first, last};
    }
    // A call with a shorter timeout of its own expires before its run. If no run ends later, the clocks disagree and
    // all running requests are candidates.
    return last != running_.end() ? std::pair{last, running_.end()} : std::pair{running_.begin(), running_.end()};
}

auto CallLearner::callRate(const Observed &observed, const std::string &call) const -> double
{
    const auto entry = observed.calls.find(call);
    const auto calls = entry == observed.calls.end() ? Calls{} : entry->second;
    return (calls.attributed + settings_.unambiguousWeight * calls.unambiguous + internal::priorCalls)
         / (observed.seconds + internal::priorSeconds);
}

auto mergeProfiles(std::map<std::string, RouteProfile> &merged, const std::vector<RouteProfile> &profiles) -> void
{
    for (const auto &profile : profiles) {
        auto &mean = merged[profile.route];
        mean.route = profile.route;
        const auto fraction = profile.runs / (mean.runs + profile.runs);
        mean.runTime += Duration{
            static_cast<Duration::rep>(fraction * static_cast<double>((profile.runTime - mean.runTime).count()))};
        for (auto &[call, count] : mean.calls) {
            count *= 1.0 - fraction;
        }
        for (const auto &[call, count] : profile.calls) {
            mean.calls[call] += fraction * count;
        }
        mean.runs += profile.runs;
    }
}

} // namespace jasminelatch::mesh
