#include "picker.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace jasminelatch::balance {

using membership::Endpoint;
using membership::EndpointState;

Picker::Picker(Settings settings, FailureDomain own, const Clock &clock, Counters &counters, std::mt19937_64 random)
    : settings_{settings}
    , own_{std::move(own)}
    , clock_{&clock}
    , counters_{&counters}
    , random_{random}
{
}

auto Picker::setEndpoints(const ServiceName &service, std::vector<Endpoint> endpoints) -> void
{
    endpoints_.insert_or_assign(service, std::move(endpoints));
    std::set<NodeAddress> present;
    for (const auto &[name, known] : endpoints_) {
        for (const auto &endpoint : known) {
            present.insert(endpoint.node);
            auto &track = tracks_[endpoint.node];
            const auto isStarting = endpoint.state == EndpointState::Starting;
            track.coldSince = isStarting ? track.coldSince.value_or(clock_->now()) : std::optional<TimePoint>{};
        }
    }
    std::erase_if(tracks_, [&](const auto &entry) { return !present.contains(entry.first); });
}

auto Picker::pick(const ServiceName &service, const std::span<const NodeAddress> exclude) -> std::optional<NodeAddress>
{
    const auto known = endpoints_.find(service);
    if (known == endpoints_.end()) {
        return std::nullopt;
    }
    auto choices = candidates(known->second, exclude, false);
    if (choices.empty()) {
        choices = candidates(known->second, exclude, true);
        counters_->add(choices.empty() ? "balance.no_endpoint" : "balance.all_avoided");
    }
    if (choices.empty()) {
        return std::nullopt;
    }
    const auto preferred = preferOwnDomain(std::move(choices));
    const auto &node = drawBetter(preferred).endpoint->node;
    auto &track = tracks_.at(node);
    if (track.avoidedUntil && clock_->now() >= *track.avoidedUntil) {
        track.probeAt = clock_->now();
        counters_->add("balance.probe");
    }
    return node;
}

auto Picker::started(const NodeAddress &node) -> void
{
    const auto track = tracks_.find(node);
    if (track != tracks_.end()) {
        ++track->second.inFlight;
    }
}

auto Picker::finished(const NodeAddress &node, const Result result, const std::optional<admission::Pressure> &pressure)
    -> void
{
    const auto found = tracks_.find(node);
    if (found == tracks_.end()) {
        return;
    }
    auto &track = found->second;
    track.inFlight -= std::min(track.inFlight, 1U);
    if (pressure) {
        track.report = pressure;
        track.inFlightAtReport = track.inFlight;
        track.reportAt = clock_->now();
    }
    switch (result) {
    case Result::Ok:
        track.avoidances -= std::min(track.avoidances, 1U);
        endAvoidance(track);
        return;
    case Result::Refused:
        endAvoidance(track);
        return;
    case Result::Failed:
        ++track.failures;
        if (track.failures >= settings_.failuresBeforeAvoidance || track.probeAt) {
            avoid(track);
        }
        return;
    case Result::Silent:
        avoid(track);
        return;
    }
}

auto Picker::inFlight(const NodeAddress &node) const -> std::uint32_t
{
    const auto track = tracks_.find(node);
    return track == tracks_.end() ? 0 : track->second.inFlight;
}

auto Picker::avoid(Track &track) -> void
{
    if (track.avoidedUntil && clock_->now() < *track.avoidedUntil) {
        return;
    }
    auto length = settings_.firstAvoidance;
    for (std::uint32_t step = 0; step < track.avoidances && length < settings_.longestAvoidance; ++step) {
        length *= 2;
    }
    ++track.avoidances;
    track.failures = 0;
    track.probeAt.reset();
    track.avoidedUntil = clock_->now() + std::min(length, settings_.longestAvoidance);
    counters_->add("balance.avoided");
}

auto Picker::endAvoidance(Track &track) const -> void
{
    track.failures = 0;
    if (track.avoidedUntil && clock_->now() >= *track.avoidedUntil) {
        track.avoidedUntil.reset();
        track.probeAt.reset();
    }
}

auto Picker::candidates(const std::vector<Endpoint> &endpoints,
                        const std::span<const NodeAddress> exclude,
                        const bool includeAvoided) const -> std::vector<Candidate>
{
    std::vector<Candidate> found;
    for (const auto &endpoint : endpoints) {
        const auto &track = tracks_.at(endpoint.node);
        const auto isExcluded = std::find(exclude.begin(), exclude.end(), endpoint.node) != exclude.end();
        if (isExcluded || endpoint.state == EndpointState::Draining) {
            continue;
        }
        if (includeAvoided || !isAvoided(track)) {
            found.push_back(candidate(endpoint, track));
        }
    }
    return found;
}

auto Picker::candidate(const Endpoint &endpoint, const Track &track) const -> Candidate
{
    auto load = static_cast<double>(track.inFlight);
    auto capacity = std::max(1.0, static_cast<double>(endpoint.slots));
    if (track.report) {
        const auto age = static_cast<double>((clock_->now() - track.reportAt).count());
        const auto weight = std::exp2(-age / static_cast<double>(settings_.reportHalfLife.count()));
        const auto reported = static_cast<double>(track.report->inFlight) + track.report->queued;
        load += weight * std::max(0.0, reported - track.inFlightAtReport);
        capacity += weight * (std::max(1.0, static_cast<double>(track.report->limit)) - capacity);
    }
    return Candidate{&endpoint, load, capacity * rampShare(track)};
}

auto Picker::rampShare(const Track &track) const -> double
{
    if (!track.coldSince) {
        return 1.0;
    }
    const auto age = static_cast<double>((clock_->now() - *track.coldSince).count());
    const auto progress = age / static_cast<double>(settings_.rampTime.count());
    return std::clamp(settings_.rampFloor + (1.0 - settings_.rampFloor) * progress, settings_.rampFloor, 1.0);
}

auto Picker::isAvoided(const Track &track) const -> bool
{
    if (!track.avoidedUntil) {
        return false;
    }
    const auto isProbed = track.probeAt && clock_->now() < *track.probeAt + settings_.probeTimeout;
    return clock_->now() < *track.avoidedUntil || isProbed;
}

auto Picker::preferOwnDomain(std::vector<Candidate> all) const -> std::vector<Candidate>
{
    std::vector<Candidate> own;
    auto ownLoad = 0.0;
    auto ownCapacity = 0.0;
    auto otherLoad = 0.0;
    auto otherCapacity = 0.0;
    for (const auto &each : all) {
        const auto isOwn = each.endpoint->domain == own_;
        (isOwn ? ownLoad : otherLoad) += each.load;
        (isOwn ? ownCapacity : otherCapacity) += each.capacity;
        if (isOwn) {
            own.push_back(each);
        }
    }
    if (own.empty() || own.size() == all.size()) {
        return all;
    }
    const auto ownUse = ownLoad / ownCapacity;
    const auto copes =
        ownUse <= settings_.ownDomainLoad || ownUse <= settings_.ownDomainRatio * otherLoad / otherCapacity;
    return copes ? own : all;
}

auto Picker::draw(const std::span<const Candidate> candidates, const Candidate *without) -> const Candidate &
{
    auto total = 0.0;
    for (const auto &each : candidates) {
        total += &each == without ? 0.0 : each.capacity;
    }
    auto left = std::uniform_real_distribution<double>{0.0, total}(random_);
    const Candidate *last = nullptr;
    for (const auto &each : candidates) {
        if (&each == without) {
            continue;
        }
        last = &each;
        left -= each.capacity;
        if (left < 0) {
            break;
        }
    }
    return *last;
}

auto Picker::drawBetter(const std::span<const Candidate> candidates) -> const Candidate &
{
    const auto relativeLoad = [](const Candidate &each) {
        return (each.load + 1.0) / each.capacity;
    };
    const auto &first = draw(candidates, nullptr);
    if (candidates.size() == 1) {
        return first;
    }
    const auto &second = draw(candidates, &first);
    return relativeLoad(first) <= relativeLoad(second) ? first : second;
}

} // namespace jasminelatch::balance
