#include "monitor.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::connection {

namespace {

/*! @brief Most requests in one query. */
constexpr std::size_t longestQuery = 500;

} // namespace

Monitor::Monitor(Settings settings, const Clock &clock, Counters &counters, AnswerCache &cache, Hooks hooks)
    : settings_{settings}
    , clock_{&clock}
    , counters_{&counters}
    , cache_{&cache}
    , hooks_{std::move(hooks)}
    , tickAt_{clock.now()}
{
}

auto Monitor::opened(const NodeAddress &peer) -> void
{
    auto &known = peerFor(peer);
    known.link = Link::Open;
    known.confirmed = false;
    known.unanswered.clear();
    for (auto &[id, pending] : known.pending) {
        pending.inDoubt = true;
    }
    sendHeartbeat(peer, known);
    query(peer, known);
}

auto Monitor::closed(const NodeAddress &peer) -> void
{
    const auto known = peers_.find(peer);
    if (known != peers_.end() && known->second.link == Link::Open) {
        counters_->add("connection.closed");
        startReopening(peer, known->second);
    }
}

auto Monitor::sent(const NodeAddress &peer, const RequestId &id) -> Incarnation
{
    auto &known = peerFor(peer);
    const auto now = clock_->now();
    known.usedAt = now;
    const auto target = known.confirmed ? known.incarnation : Incarnation{};
    known.pending.insert_or_assign(id, Pending{target, now, known.link != Link::Open});
    if (known.link == Link::Lost) {
        startReopening(peer, known);
    } else if (known.link == Link::Open && now - known.heartbeatAt >= settings_.heartbeatInterval) {
        sendHeartbeat(peer, known);
    }
    return target;
}

auto Monitor::answered(const NodeAddress &peer, const RequestId &id) -> bool
{
    const auto known = peers_.find(peer);
    const auto isKnown = known != peers_.end() && known->second.pending.contains(id);
    if (!isKnown) {
        counters_->add("connection.answer_unexpected");
        return false;
    }
    const auto request = known->second.pending.extract(id).mapped();
    if (!request.inDoubt) {
        onProof(known->second, request.sentAt);
    }
    return true;
}

auto Monitor::giveUp(const NodeAddress &peer, const RequestId &id) -> void
{
    const auto known = peers_.find(peer);
    if (known != peers_.end()) {
        known->second.pending.erase(id);
    }
}

auto Monitor::heard(const NodeAddress &peer) -> void
{
    const auto known = peers_.find(peer);
    if (known != peers_.end()) {
        known->second.heardAt = clock_->now();
    }
}

auto Monitor::receive(const NodeAddress &from, const Message &message) -> void
{
    heard(from);
    if (const auto *ping = std::get_if<Ping>(&message)) {
        onPing(from, *ping);
        return;
    }
    if (const auto *pong = std::get_if<Pong>(&message)) {
        onPong(from, *pong);
        return;
    }
    if (const auto *asked = std::get_if<AnswerQuery>(&message)) {
        hooks_.send(from, cache_->report(from, *asked));
        return;
    }
    onReport(from, std::get<AnswerReport>(message));
}

auto Monitor::tick() -> void
{
    forgivePause();
    for (auto &[address, peer] : peers_) {
        watch(address, peer);
    }
    std::erase_if(peers_,
                  [](const auto &entry) { return entry.second.link == Link::Lost && entry.second.pending.empty(); });
}

auto Monitor::isConfirmed(const NodeAddress &peer) const -> bool
{
    const auto known = peers_.find(peer);
    return known != peers_.end() && known->second.confirmed;
}

auto Monitor::pendingCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[address, peer] : peers_) {
        count += peer.pending.size();
    }
    return count;
}

auto Monitor::peerFor(const NodeAddress &address) -> Peer &
{
    const auto [position, isNew] = peers_.try_emplace(address);
    if (isNew) {
        position->second.usedAt = clock_->now();
        position->second.heartbeatAt = clock_->now() - settings_.idleInterval;
    }
    return position->second;
}

auto Monitor::onPing(const NodeAddress &from, const Ping &ping) -> void
{
    const auto known = peers_.find(from);
    const auto isWatched = known != peers_.end() && isInUse(known->second);
    if (ping.afterSilence && !isWatched) {
        // Answers go out on this node's own connection, which nobody else watches.
        counters_->add("connection.reopened_for_peer");
        hooks_.reopen(from);
    }
    hooks_.send(from, Pong{ping.sequence, cache_->incarnation()});
}

auto Monitor::onPong(const NodeAddress &from, const Pong &pong) -> void
{
    const auto known = peers_.find(from);
    if (known == peers_.end()) {
        return;
    }
    auto &peer = known->second;
    const auto heartbeat = std::find_if(peer.unanswered.begin(), peer.unanswered.end(), [&](const Heartbeat &each) {
        return each.sequence == pong.sequence;
    });
    if (heartbeat == peer.unanswered.end()) {
        counters_->add("connection.pong_unexpected");
        return;
    }
    peer.unanswered.erase(peer.unanswered.begin(), heartbeat + 1);
    peer.confirmed = true;
    peer.afterSilence = false;
    const auto isRestart = peer.incarnation != 0 && peer.incarnation != pong.incarnation;
    peer.incarnation = pong.incarnation;
    if (isRestart) {
        onRestart(peer);
    }
}

auto Monitor::onProof(Peer &peer, const TimePoint sentAt) -> void
{
    while (!peer.unanswered.empty() && peer.unanswered.front().sentAt <= sentAt) {
        peer.unanswered.pop_front();
    }
    peer.heartbeatAt = std::max(peer.heartbeatAt, sentAt);
}

auto Monitor::onReport(const NodeAddress &from, const AnswerReport &report) -> void
{
    const auto known = peers_.find(from);
    if (known == peers_.end()) {
        return;
    }
    for (const auto &status : report.statuses) {
        onStatus(known->second, status);
    }
}

auto Monitor::onStatus(Peer &peer, const AnswerStatus &status) -> void
{
    const auto pending = peer.pending.find(status.id);
    if (pending == peer.pending.end() || !pending->second.inDoubt) {
        return;
    }
    switch (status.state) {
    case AnswerState::Done:
    case AnswerState::InProgress:
        return;
    case AnswerState::NotRun: {
        const auto isOld = clock_->now() - pending->second.sentAt >= settings_.notRunTrust;
        settle(peer, status.id, isOld ? Outcome::Unknown : Outcome::NotRun);
        return;
    }
    case AnswerState::Ran:
        settle(peer, status.id, Outcome::Ran);
        return;
    case AnswerState::Unknown:
        settle(peer, status.id, Outcome::Unknown);
        return;
    }
}

auto Monitor::onRestart(Peer &peer) -> void
{
    counters_->add("connection.peer_restarted");
    std::vector<RequestId> gone;
    for (const auto &[id, pending] : peer.pending) {
        if (pending.incarnation != peer.incarnation) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        settle(peer, id, Outcome::Unknown);
    }
}

auto Monitor::watch(const NodeAddress &address, Peer &peer) -> void
{
    switch (peer.link) {
    case Link::Open:
        watchOpen(address, peer);
        return;
    case Link::Reopening:
        watchReopening(address, peer);
        return;
    case Link::Lost:
        return;
    }
}

auto Monitor::watchOpen(const NodeAddress &address, Peer &peer) -> void
{
    const auto now = clock_->now();
    if (!peer.unanswered.empty() && now - peer.unanswered.front().sentAt >= settings_.silentAfter) {
        const auto isOneWay = now - peer.heardAt < settings_.silentAfter;
        counters_->add(isOneWay ? "connection.silent_one_way" : "connection.silent");
        peer.afterSilence = true;
        startReopening(address, peer);
        return;
    }
    const auto interval = isInUse(peer) ? settings_.heartbeatInterval : settings_.idleInterval;
    if (now - peer.heartbeatAt >= interval) {
        sendHeartbeat(address, peer);
    }
    if (now - peer.queryAt >= settings_.queryInterval) {
        query(address, peer);
    }
}

auto Monitor::watchReopening(const NodeAddress &address, Peer &peer) -> void
{
    const auto now = clock_->now();
    if (now - peer.silentSince >= settings_.lostAfter) {
        lose(address, peer);
        return;
    }
    if (now - peer.reopenAt >= settings_.reopenInterval) {
        peer.reopenAt = now;
        hooks_.reopen(address);
    }
}

auto Monitor::startReopening(const NodeAddress &address, Peer &peer) -> void
{
    peer.link = Link::Reopening;
    peer.confirmed = false;
    peer.unanswered.clear();
    peer.silentSince = clock_->now();
    peer.reopenAt = clock_->now();
    for (auto &[id, pending] : peer.pending) {
        pending.inDoubt = true;
    }
    hooks_.reopen(address);
}

auto Monitor::lose(const NodeAddress &address, Peer &peer) -> void
{
    LOG(WARNING) << "connection: lost peer " << address;
    counters_->add("connection.peer_lost");
    peer.link = Link::Lost;
    const auto pending = std::exchange(peer.pending, {});
    for (const auto &[id, request] : pending) {
        counters_->add("connection.outcome_unknown");
        hooks_.outcome(id, Outcome::Unknown);
    }
    hooks_.peerLost(address);
}

auto Monitor::sendHeartbeat(const NodeAddress &address, Peer &peer) -> void
{
    ++sequence_;
    peer.heartbeatAt = clock_->now();
    peer.unanswered.push_back({sequence_, clock_->now()});
    hooks_.send(address, Ping{sequence_, peer.afterSilence});
}

auto Monitor::query(const NodeAddress &address, Peer &peer) -> void
{
    std::vector<AnswerQuery> queries;
    for (const auto &[id, pending] : peer.pending) {
        if (!pending.inDoubt) {
            continue;
        }
        if (queries.empty() || queries.back().missing.size() >= longestQuery) {
            queries.emplace_back();
        }
        queries.back().missing.push_back({id, pending.incarnation});
    }
    for (auto &each : queries) {
        peer.queryAt = clock_->now();
        counters_->add("connection.query");
        hooks_.send(address, std::move(each));
    }
}

auto Monitor::settle(Peer &peer, const RequestId &id, const Outcome outcome) -> void
{
    peer.pending.erase(id);
    counters_->add("connection.outcome_" + std::string{toString(outcome)});
    hooks_.outcome(id, outcome);
}

auto Monitor::forgivePause() -> void
{
    const auto gap = clock_->now() - tickAt_;
    tickAt_ = clock_->now();
    if (gap <= settings_.longestTickGap) {
        return;
    }
    counters_->add("connection.own_pause");
    const auto excess = gap - settings_.longestTickGap;
    for (auto &[address, peer] : peers_) {
        peer.silentSince += excess;
        for (auto &heartbeat : peer.unanswered) {
            heartbeat.sentAt += excess;
        }
    }
}

auto Monitor::isInUse(const Peer &peer) const -> bool
{
    return !peer.pending.empty() || clock_->now() - peer.usedAt < settings_.inUseFor;
}

} // namespace jasminelatch::connection
