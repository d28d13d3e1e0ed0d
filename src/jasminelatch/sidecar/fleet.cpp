#include "fleet.hpp"

#include "wall_clock.hpp"

#include <jasminelatch/mesh/peer_message.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Interval between reports in a small fleet, where they reach all nodes directly. */
constexpr Duration directReportInterval = std::chrono::milliseconds{250};
/*! @brief Interval between reports through relays, which need up to three intervals to reach all nodes. A flood of 7.5
 * times an account's usual requests stays within its cap at intervals of up to 200 ms. */
constexpr Duration relayedReportInterval = std::chrono::milliseconds{150};
/*! @brief Number of peers per relay that lengthens the interval by one step, so that reports cost a relay no more in a
 * larger fleet. */
constexpr std::size_t peersPerIntervalStep = 40;
/*! @brief Number of reports of which one contains cost profiles, which change slowly. */
constexpr std::uint64_t reportsPerProfile = 4;
/*! @brief Time in which the link to a new peer opens and stale reads of the store begin to show its record; the peer
 * counts as live meanwhile. */
constexpr Duration newPeerGracePeriod = std::chrono::seconds{3};
/*! @brief Time after a failed connection in which a node is not live, and so not chosen as a relay, unless the link
 * recovers. */
constexpr Duration failureHoldTime = std::chrono::seconds{2};
/*! @brief Time after its last relay report for which a node counts as a relay. */
constexpr Duration relayTimeout = std::chrono::seconds{1};
/*! @brief Time after its start in which a node takes a later record of its own name for that of a process that has
 * ended, whatever its address: the lease of that process's record. Afterwards it may be of a VM that replaces this one.
 */
constexpr Duration takeoverTime = RegistryClient::Settings{}.leaseDuration;

/*! @brief Tells whether a VM has taken over the address of a lost one whose record has not expired yet. */
auto supersedes(const mesh::Member &later, const mesh::Member &earlier) -> bool
{
    return later.name != earlier.name && later.address == earlier.address && later.incarnation > earlier.incarnation;
}

} // namespace internal

Fleet::Fleet(Context context, const mesh::Member &own, Hooks hooks)
    : context_{context}
    , hooks_{std::move(hooks)}
    , self_{own}
    , startedAt_{context.loop.now()}
    , aggregator_{{}}
{
    plan_.relays = {self_.name};
    plan_.isRelay = true;
    becomeRelay();
}

auto Fleet::isOutrankedBy(const mesh::Member &member) const -> bool
{
    const auto isStarting = context_.loop.now() - startedAt_ < internal::takeoverTime;
    const auto isEarlierProcess = isStarting && member.name == self_.name && member.incarnation > self_.incarnation;
    return isEarlierProcess || mesh::isEndedButLater(self_, member);
}

auto Fleet::setIncarnation(const std::uint64_t incarnation) -> void
{
    self_.incarnation = incarnation;
    if (isRelay_) {
        becomeRelay();
    } else if (!relay_.empty()) {
        startSession(relay_);
    }
    dropSuperseded(self_);
}

auto Fleet::updateMember(const mesh::Member &member) -> void
{
    if (isOutrankedBy(member)) {
        hooks_.outranked(member.incarnation);
    }
    if (member.name == self_.name) {
        return;
    }
    const auto later = std::ranges::find_if(
        peers_, [&](const auto &entry) { return internal::supersedes(entry.second.member, member); });
    if (internal::supersedes(self_, member) || later != peers_.end()) {
        const auto &by = later == peers_.end() ? self_.name : later->first;
        context_.log.write("peer_superseded", {{"peer", member.name}, {"by", by}});
        dropPeer(member.name);
        return;
    }
    auto &peer = peers_[member.name];
    if (peer.link && !mesh::isOlder(peer.member, member)) {
        return;
    }
    const auto hasNewAddress = !peer.link || peer.member.address != member.address;
    if (!hasNewAddress && peer.member.incarnation < member.incarnation) {
        // Requests in flight at the previous process are lost with it.
        peer.link->fail();
    }
    if (hasNewAddress) {
        peer.addedAt = context_.loop.now();
        closeLink(std::exchange(peer.link, makeLink(member.name, member.address)));
    }
    peer.member = member;
    aggregator_.applyMember(member);
    context_.placement.setMember(member, context_.loop.now());
    updatePeerCount();
    dropSuperseded(member);
}

auto Fleet::makeLink(const std::string &name, const event::Endpoint &to) -> std::unique_ptr<PeerLink>
{
    return std::make_unique<PeerLink>(
        context_.loop,
        to,
        PeerLink::Settings{.budget = &context_.budget},
        PeerLink::Hooks{
            [this](const mesh::StoreConfirmation &confirmation) { context_.registry.applyConfirmation(confirmation); },
            [this, name] {
                if (name == relay_) {
                    session_.acknowledged();
                }
            },
            [this, name](const mesh::NodeReport &report) { handleReportAnswer(name, report); },
            [this](const mesh::ConfigurationMessage &message) { context_.registry.applyRelayedConfiguration(message); },
            [this, name] {
                handleRelayFailure(name);
            }});
}

auto Fleet::handleRelayFailure(const std::string &name) -> void
{
    if (name != relay_) {
        return;
    }
    relayFailed_ = true;
    if (const auto peer = peers_.find(name); peer != peers_.end()) {
        // Reports of other relays may set it again.
        peer->second.isReporting = false;
    }
}

auto Fleet::closeLink(std::unique_ptr<PeerLink> link) -> void
{
    if (link) {
        link->fail();
        context_.loop.destroyLater(std::move(link));
    }
}

auto Fleet::dropSuperseded(const mesh::Member &member) -> void
{
    std::vector<std::string> superseded;
    for (const auto &[name, peer] : peers_) {
        if (internal::supersedes(member, peer.member)) {
            superseded.push_back(name);
        }
    }
    for (const auto &name : superseded) {
        context_.log.write("peer_superseded", {{"peer", name}, {"by", member.name}});
        dropPeer(name);
    }
}

auto Fleet::dropUnlistedPeers(const std::set<std::string> &names) -> void
{
    // The listing may be older than a record, and leases expire while the store is unreachable, so live nodes are kept.
    std::vector<std::string> stale;
    for (const auto &[name, peer] : peers_) {
        if (!names.contains(name) && !isLive(peer)) {
            stale.push_back(name);
        }
    }
    for (const auto &name : stale) {
        dropPeer(name);
    }
}

auto Fleet::dropPeer(const std::string &name) -> void
{
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return;
    }
    closeLink(std::move(found->second.link));
    peers_.erase(found);
    aggregator_.removeNode(name);
    context_.placement.removeMember(name);
    context_.caps.removePeer(name);
    updatePeerCount();
}

auto Fleet::updatePeerCount() -> void
{
    context_.caps.setPeerCount(peers_.size());
    context_.caps.setReportInterval(reportInterval());
    context_.retryBudget.setNodeCount(peers_.size() + 1);
}

auto Fleet::reportInterval() const -> Duration
{
    const auto steps = 1 + plan_.peersPerRelay / internal::peersPerIntervalStep;
    const auto isDirect = plan_.relays.size() == peers_.size() + 1;
    const auto shortest = isDirect ? internal::directReportInterval : internal::relayedReportInterval;
    return shortest * static_cast<Duration::rep>(steps);
}

auto Fleet::peerCount() const -> std::size_t
{
    return peers_.size();
}

auto Fleet::isRelay() const -> bool
{
    return isRelay_;
}

auto Fleet::send(const std::string &node, const mesh::HopRequest &request, PeerLink::Finished callback) -> std::uint64_t
{
    return peers_.at(node).link->send(request, std::move(callback));
}

auto Fleet::cancel(const std::string &node, const std::uint64_t exchange) -> void
{
    if (const auto found = peers_.find(node); found != peers_.end()) {
        found->second.link->cancel(exchange);
    }
}

auto Fleet::withdraw(const std::string &node, const std::uint64_t exchange) -> void
{
    if (const auto found = peers_.find(node); found != peers_.end()) {
        found->second.link->withdraw(exchange);
    }
}

auto Fleet::isLive(const Peer &peer) const -> bool
{
    const auto now = context_.loop.now();
    const auto failedAt = peer.link->failedAt();
    const auto isNew = now - peer.addedAt < internal::newPeerGracePeriod;
    return peer.isReporting.value_or(isNew) && (!failedAt || now - *failedAt > internal::failureHoldTime);
}

auto Fleet::updateReporting() -> void
{
    for (auto &[name, peer] : peers_) {
        if (const auto isReporting = aggregator_.isReporting(name)) {
            peer.isReporting = isReporting;
        }
    }
}

auto Fleet::update() -> void
{
    const auto now = context_.loop.now();
    if (isRelay_) {
        aggregator_.updateLiveness(now);
        updateReporting();
    }
    for (auto &[name, peer] : peers_) {
        peer.link->checkLiveness();
        context_.placement.setReachable(name, isLive(peer));
    }
    updatePlan();
    sendReports();
    if (isRelay_) {
        broadcastStates();
    }
}

auto Fleet::updatePlan() -> void
{
    std::vector<mesh::RelayCandidate> live;
    live.reserve(peers_.size() + 1);
    live.push_back({self_.name, self_.domain});
    for (const auto &[name, peer] : peers_) {
        if (isLive(peer)) {
            live.push_back({name, peer.member.domain});
        }
    }
    std::ranges::sort(live, {}, &mesh::RelayCandidate::name);
    plan_ = mesh::planRelays(live, {self_.name, relay_, peers_.size() + 1}, {});
    context_.caps.setReportInterval(reportInterval());
    // A node that receives reports acts as a relay, whatever its own plan says.
    const auto relays = plan_.isRelay || (isRelay_ && aggregator_.leafCount() > 0);
    if (relays != isRelay_) {
        if (relays) {
            becomeRelay();
        } else {
            becomeLeaf();
        }
    }
    const auto before = std::ranges::lower_bound(plan_.relays, self_.name) - plan_.relays.begin();
    context_.registry.setRelayRank(isRelay_, static_cast<std::size_t>(before), peers_.size(), live.size() - 1);
}

auto Fleet::becomeRelay() -> void
{
    resetPeerCounts();
    isRelay_ = true;
    relay_.clear();
    sentReport_.resetCounts();
    reportedCrashChange_ = 0;
    auto counted = session_.countedReport();
    // Counts of an earlier incarnation would be counted again.
    counted.incarnation = self_.incarnation;
    aggregator_.begin(nextSession(), counted);
    context_.log.write("relay_role", {{"relay", true}, {"peers", peers_.size()}, {"relays", plan_.relays.size()}});
}

auto Fleet::becomeLeaf() -> void
{
    resetPeerCounts();
    isRelay_ = false;
    context_.log.write("relay_role", {{"relay", false}, {"peers", peers_.size()}, {"relays", plan_.relays.size()}});
}

auto Fleet::resetPeerCounts() -> void
{
    for (const auto &[name, peer] : peers_) {
        context_.caps.removePeer(name);
        context_.admission.removeNode(name);
    }
}

auto Fleet::nextSession() -> std::uint64_t
{
    lastSession_ = std::max(lastSession_ + 1, wallClockMilliseconds());
    return lastSession_;
}

auto Fleet::sendReports() -> void
{
    const auto now = context_.loop.now();
    const auto own = hooks_.ownReport();
    context_.caps.reportSent(now);
    context_.placement.applyReport(own);
    auto counted = own;
    // The counts of this process go on when its incarnation is raised.
    counted.incarnation = 0;
    context_.admission.applyReport(counted, now);
    if (isRelay_) {
        reportToRelays(own);
    } else {
        reportToRelay(own);
    }
}

auto Fleet::relayTargets() const -> std::set<std::string>
{
    std::set<std::string> targets{plan_.relays.begin(), plan_.relays.end()};
    for (const auto &[name, at] : relaysSeenAt_) {
        if (context_.loop.now() - at < internal::relayTimeout) {
            targets.insert(name);
        }
    }
    return targets;
}

auto Fleet::reportToRelays(const mesh::NodeReport &own) -> void
{
    const auto now = context_.loop.now();
    aggregator_.applyOwn(own);
    session_.countLocally(own);
    const auto report = aggregator_.relayReport(own);
    auto changes = report;
    if (reportCount_++ % internal::reportsPerProfile == 0) {
        changes.profiles = aggregator_.subtreeProfiles();
    }
    changes.isFull = false;
    sentReport_.removeUnchanged(changes);
    aggregator_.addSubtreeStates(changes, false);
    changes.crashes = context_.crashes.recordsSince(reportedCrashChange_, now);
    changes.evacuation = context_.registry.evacuation();
    reportedCrashChange_ = context_.crashes.lastChange();
    const auto changesFrame = mesh::encodeFrame(mesh::ReportMessage{std::move(changes)}, now);
    std::string fullFrame;
    const auto fullReport = [&]() -> std::string_view {
        if (fullFrame.empty()) {
            auto all = report;
            all.profiles = aggregator_.subtreeProfiles();
            aggregator_.addSubtreeStates(all, true);
            all.crashes = context_.crashes.recordsSince(0, now);
            all.evacuation = context_.registry.evacuation();
            fullFrame = mesh::encodeFrame(mesh::ReportMessage{std::move(all)}, now);
        }
        return fullFrame;
    };
    for (const auto &name : relayTargets()) {
        if (const auto peer = peers_.find(name); peer != peers_.end()) {
            peer->second.link->sendReport(changesFrame, fullReport);
        }
    }
}

auto Fleet::reportToRelay(const mesh::NodeReport &own) -> void
{
    if (relay_ != plan_.relay || relayFailed_) {
        startSession(plan_.relay);
    }
    const auto peer = peers_.find(relay_);
    if (session_.isAwaitingAck() || peer == peers_.end()) {
        return;
    }
    auto report = session_.next(own);
    if (reportCount_++ % internal::reportsPerProfile != 0) {
        report.profiles.clear();
    }
    report.configurationRevision = context_.registry.configurationRevision();
    report.configurationVersion = context_.registry.configurationVersion();
    report.evacuation = context_.registry.evacuation();
    const auto now = context_.loop.now();
    report.crashes = context_.crashes.recordsSince(reportedCrashChange_, now);
    const auto frame = mesh::encodeFrame(mesh::ReportMessage{std::move(report)}, now);
    if (peer->second.link->sendReport(frame, [&]() -> std::string_view { return frame; })) {
        reportedCrashChange_ = context_.crashes.lastChange();
    } else {
        session_.sendFailed();
    }
}

auto Fleet::startSession(const std::string &relay) -> void
{
    if (!relay_.empty()) {
        context_.caps.removePeer(relay_);
        context_.admission.removeNode(relay_);
    }
    context_.log.write("relay", {{"relay", relay}, {"before", relay_}, {"failed", relayFailed_}});
    relay_ = relay;
    relayFailed_ = false;
    session_.begin(nextSession());
    reportedCrashChange_ = 0;
}

auto Fleet::broadcastStates() -> void
{
    if (aggregator_.leafCount() == 0) {
        return;
    }
    mesh::NodeReport states;
    states.name = self_.name;
    states.kind = mesh::ReportKind::Digest;
    aggregator_.addFleetStates(states, false);
    const auto now = context_.loop.now();
    states.crashes = context_.crashes.recordsSince(broadcastCrashChange_, now);
    broadcastCrashChange_ = context_.crashes.lastChange();
    if (!states.instances.empty() || !states.members.empty() || !states.crashes.empty()) {
        hooks_.broadcast(mesh::encodeFrame(mesh::ReportMessage{std::move(states)}, now));
    }
}

auto Fleet::handleReport(const mesh::NodeReport &report) -> std::string
{
    if (report.kind == mesh::ReportKind::Digest || report.name == self_.name) {
        context_.log.write("report_unexpected", {{"peer", report.name}});
        return {};
    }
    const auto now = context_.loop.now();
    auto outranking = recordsOutranking(report);
    if (report.member && report.member->name == report.name) {
        updateMember(*report.member);
    }
    if (report.kind == mesh::ReportKind::Own && !isRelay_) {
        becomeRelay();
    }
    if (report.kind == mesh::ReportKind::Relay) {
        relaysSeenAt_[report.name] = now;
    }
    context_.placement.applyReport(report);
    applyCrashes(report);
    applyEvacuation(report);
    applyStates(report);
    auto isNewSession = false;
    if (isRelay_) {
        context_.caps.applyReport(report, now);
        context_.admission.applyReport(report, now);
        isNewSession = aggregator_.apply(report, now);
        if (report.kind == mesh::ReportKind::Own) {
            return encodeAnswer(report, isNewSession, std::move(outranking));
        }
    }
    if (outranking.empty()) {
        return {};
    }
    mesh::NodeReport answer;
    answer.name = self_.name;
    answer.kind = mesh::ReportKind::Digest;
    answer.members = std::move(outranking);
    return mesh::encodeFrame(mesh::ReportMessage{std::move(answer)}, now);
}

auto Fleet::recordsOutranking(const mesh::NodeReport &report) const -> std::vector<mesh::Member>
{
    std::vector<mesh::Member> records;
    const auto addIfLater = [&](const std::string &name, const std::uint64_t incarnation) {
        const auto known = peers_.find(name);
        if (known != peers_.end() && known->second.member.incarnation > incarnation) {
            records.push_back(known->second.member);
        }
    };
    addIfLater(report.name, report.incarnation);
    for (const auto &member : report.members) {
        addIfLater(member.name, member.incarnation);
    }
    if (report.member) {
        for (const auto &[name, peer] : peers_) {
            if (name != report.name && mesh::isEndedButLater(*report.member, peer.member)) {
                records.push_back(peer.member);
            }
        }
    }
    return records;
}

auto Fleet::encodeAnswer(const mesh::NodeReport &report, const bool isNewSession, std::vector<mesh::Member> outranking)
    -> std::string
{
    const auto now = context_.loop.now();
    auto digest = aggregator_.digest(report.name, hooks_.ownState());
    if (isNewSession) {
        aggregator_.addFleetStates(digest, true);
        digest.crashes = context_.crashes.recordsSince(0, now);
    }
    std::ranges::move(outranking, std::back_inserter(digest.members));
    const auto &registry = context_.registry;
    if (report.evacuation && mesh::isNewer(registry.evacuation(), *report.evacuation)) {
        digest.evacuation = registry.evacuation();
    }
    auto frames = mesh::encodeFrame(mesh::ReportMessage{std::move(digest)}, now);
    const auto lacksConfiguration = report.configurationVersion
                                      ? *report.configurationVersion < registry.configurationVersion()
                                      : report.configurationRevision < registry.configurationRevision();
    if (lacksConfiguration && registry.hasConfiguration()) {
        frames += mesh::encodeFrame(
            mesh::ConfigurationMessage{registry.configurationRevision(), registry.configurationText()}, now);
    }
    return frames;
}

auto Fleet::handleReportAnswer(const std::string &relay, const mesh::NodeReport &report) -> void
{
    applyCrashes(report);
    applyEvacuation(report);
    for (const auto &member : report.members) {
        updateMember(member);
    }
    // A record may have superseded that of the relay.
    const auto peer = peers_.find(relay);
    if (isRelay_ || relay != relay_ || peer == peers_.end()) {
        return;
    }
    const auto now = context_.loop.now();
    peer->second.isReporting = true;
    if (report.session == lastSession_) {
        context_.placement.applyReport(report);
        context_.caps.applyReport(report, now);
        context_.admission.applyReport(report, now);
    }
    applyStates(report);
}

auto Fleet::applyCrashes(const mesh::NodeReport &report) -> void
{
    for (const auto &record : report.crashes) {
        context_.crashes.merge(record, context_.loop.now());
    }
}

auto Fleet::applyEvacuation(const mesh::NodeReport &report) -> void
{
    if (report.evacuation) {
        context_.registry.applyEvacuation(*report.evacuation);
    }
}

auto Fleet::applyStates(const mesh::NodeReport &report) -> void
{
    for (const auto &member : report.members) {
        updateMember(member);
    }
    for (const auto &status : report.instances) {
        if (const auto peer = peers_.find(status.name); peer != peers_.end()) {
            peer->second.isReporting = status.isReporting;
            context_.placement.applyStatus(status);
        }
    }
}

} // namespace jasminelatch::sidecar
