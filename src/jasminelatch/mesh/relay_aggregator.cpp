#include "relay_aggregator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

auto add(std::map<std::string, double> &sums, const CountTracker::Increments &news) -> void
{
    for (const auto &[name, count] : news) {
        sums[name] += count;
    }
}

auto toCount(const double sum) -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::llround(std::max(sum, 0.0)));
}

auto toCounts(const std::map<std::string, double> &sums) -> Counts
{
    Counts counts;
    for (const auto &[name, sum] : sums) {
        counts[name] = toCount(sum);
    }
    return counts;
}

auto countOf(const std::map<std::string, double> &sums, const std::string &name) -> double
{
    const auto found = sums.find(name);
    return found == sums.end() ? 0.0 : found->second;
}

/*! @brief Returns the counts of other nodes since the start of a session that differ from those sent last. */
auto changedCountsOfOthers(const std::map<std::string, double> &fleet,
                           const std::map<std::string, double> &before,
                           const std::map<std::string, double> &counted,
                           Counts &sent) -> Counts
{
    Counts changed;
    for (const auto &[name, sum] : fleet) {
        const auto count = toCount(sum - countOf(before, name) - countOf(counted, name));
        if (std::exchange(sent[name], count) != count) {
            changed[name] = count;
        }
    }
    return changed;
}

auto isLater(const InstanceStatus &left, const InstanceStatus &right) -> bool
{
    return std::pair{left.incarnation, left.session} > std::pair{right.incarnation, right.session};
}

auto statusOf(const NodeReport &report) -> InstanceStatus
{
    return {report.name, report.incarnation, report.session, report.instanceId, report.accepting, true, report.load};
}

} // namespace internal

RelayAggregator::RelayAggregator(Settings settings)
    : settings_{settings}
{
}

auto RelayAggregator::begin(const std::uint64_t session, const NodeReport &counted) -> void
{
    const auto members = std::exchange(members_, {});
    *this = RelayAggregator{settings_};
    session_ = session;
    for (const auto &[name, record] : members) {
        applyRecord(record.member, false);
    }
    // Sets the baseline, so that requests counted elsewhere are not counted again.
    static_cast<void>(own_.admitted.update(counted, counted.admitted));
    static_cast<void>(own_.offered.update(counted, counted.offered));
}

auto RelayAggregator::applyOwn(const NodeReport &report) -> void
{
    own_.kind = ReportKind::Own;
    own_.profiles = report.profiles;
    count(own_, report);
}

auto RelayAggregator::apply(const NodeReport &report, const TimePoint now) -> bool
{
    const auto [found, isFirst] = sources_.try_emplace(report.name);
    auto &source = found->second;
    // A process that started after a step back of the clock has lower session numbers than the one before.
    const std::pair origin{report.incarnation, report.session};
    const std::pair knownOrigin{source.incarnation, source.session};
    const auto isNewSession = isFirst || origin != knownOrigin || source.kind != report.kind;
    if (isNewSession && origin >= knownOrigin) {
        source.incarnation = report.incarnation;
        source.session = report.session;
        source.kind = report.kind;
        beginSession(source);
    }
    source.lastReportAt = now;
    source.areLeavesReporting = true;
    if (!std::exchange(source.isReporting, true)) {
        restoreReporting(report.name);
    }
    source.nodes = report.nodes;
    if (!report.profiles.empty()) {
        source.profiles = report.profiles;
    }
    count(source, report);
    const auto isLeaf = report.kind == ReportKind::Own;
    if (report.member) {
        applyRecord(*report.member, isLeaf);
    }
    const auto status = internal::statusOf(report);
    applyStatus(status, isLeaf ? std::string{} : report.name);
    for (const auto &member : report.members) {
        applyRecord(member, false);
    }
    for (const auto &instance : report.instances) {
        applyStatus(instance, report.name);
    }
    return isNewSession && isLeaf;
}

auto RelayAggregator::beginSession(Source &source) -> void
{
    source.counted = {};
    source.sent = {};
    source.before = source.kind == ReportKind::Own ? fleet_ : Tally{};
}

auto RelayAggregator::count(Source &source, const NodeReport &report) -> void
{
    const auto admitted = source.admitted.update(report, report.admitted);
    const auto offered = source.offered.update(report, report.offered);
    if (!admitted || !offered) {
        return;
    }
    const auto add = [&](Tally &tally) {
        internal::add(tally.admitted, *admitted);
        internal::add(tally.offered, *offered);
    };
    add(fleet_);
    if (source.kind == ReportKind::Own) {
        add(subtree_);
        add(source.counted);
    }
}

auto RelayAggregator::updateLiveness(const TimePoint now) -> void
{
    for (auto &entry : sources_) {
        const auto &name = entry.first;
        auto &source = entry.second;
        const auto sinceReport = now - source.lastReportAt;
        const auto isReporting = sinceReport < settings_.reportTimeout;
        if (std::exchange(source.isReporting, isReporting) && !isReporting) {
            // The node may have moved to another relay; the status from that relay then takes precedence.
            markNotReporting([&](const TrackedStatus &known) {
                return known.status.name == name && (known.relay.empty() || known.relay == name);
            });
        }
        const auto areLeavesReporting = sinceReport < settings_.reportTimeout + settings_.failoverTime;
        if (std::exchange(source.areLeavesReporting, areLeavesReporting) && !areLeavesReporting) {
            markNotReporting([&](const TrackedStatus &known) { return known.relay == name; });
        }
    }
}

auto RelayAggregator::markNotReporting(const std::function<bool(const TrackedStatus &known)> &matches) -> void
{
    for (auto &[node, known] : statuses_) {
        if (matches(known) && std::exchange(known.status.isReporting, false)) {
            assignChangeId(known);
        }
    }
}

auto RelayAggregator::restoreReporting(const std::string &relay) -> void
{
    // The relay does not resend statuses that have not changed, so that the last ones are restored.
    for (auto &[node, known] : statuses_) {
        if (known.relay == relay
            && std::exchange(known.status.isReporting, known.isReportedByRelay) != known.isReportedByRelay) {
            assignChangeId(known);
        }
    }
}

auto RelayAggregator::removeNode(const std::string &name) -> void
{
    sources_.erase(name);
    if (const auto found = statuses_.find(name); found != statuses_.end()) {
        statusChanges_.erase(found->second.change);
        statuses_.erase(found);
    }
    members_.erase(name);
}

auto RelayAggregator::applyMember(const Member &member) -> void
{
    applyRecord(member, false);
}

auto RelayAggregator::relayReport(const NodeReport &own) const -> NodeReport
{
    auto report = own;
    report.kind = ReportKind::Relay;
    report.session = session_;
    report.admitted = internal::toCounts(subtree_.admitted);
    report.offered = internal::toCounts(subtree_.offered);
    report.nodes = 1 + static_cast<std::uint32_t>(leafCount());
    report.profiles.clear();
    return report;
}

auto RelayAggregator::subtreeProfiles() const -> std::vector<RouteProfile>
{
    return mergedProfiles([](const std::string &, const Source &source) { return source.kind == ReportKind::Own; });
}

auto RelayAggregator::digest(const std::string &leaf, const NodeReport &ownState) -> NodeReport
{
    auto &source = sources_.at(leaf);
    auto report = ownState;
    report.kind = ReportKind::Digest;
    report.session = source.session;
    report.isFull = false;
    report.admitted = internal::changedCountsOfOthers(
        fleet_.admitted, source.before.admitted, source.counted.admitted, source.sent.admitted);
    report.offered = internal::changedCountsOfOthers(
        fleet_.offered, source.before.offered, source.counted.offered, source.sent.offered);
    report.nodes = 1;
    for (const auto &[name, other] : sources_) {
        report.nodes += other.isReporting && name != leaf ? other.nodes : 0;
    }
    if (source.digests++ % settings_.digestsPerProfile == 0) {
        report.profiles = mergedProfiles([&](const std::string &name, const Source &) { return name != leaf; });
    }
    return report;
}

auto RelayAggregator::mergedProfiles(
    const std::function<bool(const std::string &name, const Source &source)> &counts) const -> std::vector<RouteProfile>
{
    std::map<std::string, RouteProfile> merged;
    mergeProfiles(merged, own_.profiles);
    for (const auto &[name, source] : sources_) {
        if (counts(name, source)) {
            mergeProfiles(merged, source.profiles);
        }
    }
    std::vector<RouteProfile> profiles;
    for (auto &[route, profile] : merged) {
        profiles.push_back(std::move(profile));
    }
    return profiles;
}

auto RelayAggregator::addSubtreeStates(NodeReport &report, const bool isFull) -> void
{
    addChanges(report, subtreeCursor_, true, isFull);
}

auto RelayAggregator::addFleetStates(NodeReport &report, const bool isFull) -> void
{
    addChanges(report, fleetCursor_, false, isFull);
}

auto RelayAggregator::isReporting(const std::string &name) const -> std::optional<bool>
{
    const auto found = statuses_.find(name);
    return found == statuses_.end() ? std::nullopt : std::optional{found->second.status.isReporting};
}

auto RelayAggregator::leafCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        sources_, [](const auto &entry) { return entry.second.kind == ReportKind::Own && entry.second.isReporting; }));
}

auto RelayAggregator::addChanges(NodeReport &report, std::uint64_t &cursor, const bool subtreeOnly, const bool isFull)
    -> void
{
    const auto from = isFull ? 0 : cursor;
    auto last = lastChangeId_;
    for (auto change = statusChanges_.upper_bound(from); change != statusChanges_.end(); ++change) {
        if (!isFull && report.instances.size() >= settings_.maxInstancesPerReport) {
            last = std::prev(change)->first;
            break;
        }
        const auto &known = statuses_.at(change->second);
        if (!subtreeOnly || known.relay.empty()) {
            report.instances.push_back(known.status);
        }
    }
    for (const auto &[name, record] : members_) {
        if (record.change > from && record.change <= last && (!subtreeOnly || record.isLeaf)) {
            report.members.push_back(record.member);
        }
    }
    if (!isFull) {
        cursor = last;
    }
}

auto RelayAggregator::applyStatus(const InstanceStatus &status, const std::string &relay) -> void
{
    const auto [found, isFirst] = statuses_.try_emplace(status.name);
    auto &known = found->second;
    if (!isFirst && internal::isLater(known.status, status)) {
        return;
    }
    const auto isSame = !isFirst && !internal::isLater(status, known.status) && known.relay == relay
                     && known.status.instanceId == status.instanceId && known.status.accepting == status.accepting
                     && known.status.isReporting == status.isReporting
                     && isBelowThreshold(known.advertisedLoad, status.load);
    known.status = status;
    known.relay = relay;
    known.isReportedByRelay = status.isReporting;
    if (!isSame) {
        known.advertisedLoad = status.load;
        assignChangeId(known);
    }
}

auto RelayAggregator::isBelowThreshold(const InstanceLoad &before, const InstanceLoad &after) const -> bool
{
    const auto difference = [](const auto left, const auto right) {
        return std::abs(static_cast<double>(left) - static_cast<double>(right));
    };
    const auto busyChange = difference(before.running + before.queued, after.running + after.queued);
    const auto timeChange = difference(before.runTime.count(), after.runTime.count());
    return before.limit == after.limit && busyChange <= settings_.loadChangeThreshold * after.limit
        && timeChange <= settings_.loadChangeThreshold * static_cast<double>(after.runTime.count());
}

auto RelayAggregator::assignChangeId(TrackedStatus &known) -> void
{
    statusChanges_.erase(known.change);
    known.change = ++lastChangeId_;
    statusChanges_.emplace(known.change, known.status.name);
}

auto RelayAggregator::applyRecord(const Member &member, const bool isLeaf) -> void
{
    const auto [found, isFirst] = members_.try_emplace(member.name);
    auto &record = found->second;
    const auto becomesLeaf = isLeaf && !record.isLeaf;
    if (!isFirst && !becomesLeaf && !isOlder(record.member, member)) {
        return;
    }
    if (isFirst || !isOlder(member, record.member)) {
        record.member = member;
    }
    record.isLeaf = isLeaf;
    record.change = ++lastChangeId_;
}

} // namespace jasminelatch::mesh
