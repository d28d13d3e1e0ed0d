#include "claim_holder.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace jasminelatch::order {

namespace internal {

constexpr std::size_t maxSentReplicates = 64;
constexpr Duration fetchInterval = std::chrono::milliseconds{250};

/*! @brief Keeps a claim unless a later state of it is kept already. */
auto keep(Kept &kept, StoredClaim claim, const std::uint64_t term, const TimePoint now) -> void
{
    auto &slot = kept[claim.key];
    if (std::pair{slot.term, slot.claim.sequence} >= std::pair{term, claim.sequence}) {
        return;
    }
    const auto since = now - claim.age;
    slot = {std::move(claim), term, since};
}

} // namespace internal

auto ClaimHolder::load(const Shard shard, State &state, ShardValue value) -> void
{
    const auto replica = value.replica;
    state.loaded = false;
    state.confirmed = value;
    state.confirmed->claims.clear();
    state.loading = std::move(value);
    if (replica.node.empty()) {
        finishLoad(state, {}, true);
        return;
    }
    if (replica.node == self_) {
        finishLoad(state, kept_[shard], replica.incarnation == incarnation_);
        return;
    }
    state.fetchUntil = clock_->now() + settings_.fetchPatience;
    state.nextFetch = clock_->now();
}

auto ClaimHolder::fetch(const Shard shard, State &state) -> void
{
    const auto now = clock_->now();
    if (state.loaded || !state.loading) {
        return;
    }
    if (now >= state.fetchUntil) {
        finishLoad(state, {}, false);
        return;
    }
    if (now >= state.nextFetch) {
        state.nextFetch = now + internal::fetchInterval;
        const auto &value = *state.loading;
        hooks_.send(value.replica.node, FetchReplica{shard, value.term, value.replica.incarnation});
    }
}

auto ClaimHolder::finishLoad(State &state, const internal::Kept &kept, const bool complete) -> void
{
    const auto now = clock_->now();
    const auto value = std::exchange(state.loading, std::nullopt).value_or(ShardValue{});
    const auto take = [&](const StoredClaim &stored, const TimePoint since) {
        auto &claim = state.claims[stored.key];
        if (claim.state == ClaimState::Done || claim.state == ClaimState::Unknown) {
            return;
        }
        claim = {stored.body, stored.owner, stored.state, since};
        state.change(claim, stored.state);
    };
    for (const auto &stored : value.claims) {
        take(stored, now - stored.age);
    }
    for (const auto &[key, item] : kept) {
        if (item.term == value.term && item.claim.sequence > value.through) {
            take(item.claim, item.since);
        }
    }
    if (value.unknownFor > Duration::zero()) {
        state.unknownUntil = std::max(state.unknownUntil.value_or(now), now + value.unknownFor);
    }
    if (!complete) {
        counters_->add("order.take_over_incomplete");
        LOG(WARNING) << "order: a former holder's claims may be lost, unknown keys get an unknown outcome";
        state.unknownUntil = now + settings_.retention;
    }
    state.loaded = true;
    state.dirty = true;
}

auto ClaimHolder::replicate(const Shard shard, State &state) -> void
{
    if (!settings_.grantFromReplica || !state.loaded) {
        return;
    }
    const auto now = clock_->now();
    std::set<NodeAddress> nodes{hooks_.successor(shard)};
    for (const auto &replica : state.requiredReplicas().value_or(std::set<ReplicaId>{})) {
        nodes.insert(replica.node);
    }
    for (const auto &node : nodes) {
        if (node.empty() || node == self_) {
            continue;
        }
        const auto &peer = state.peers[node];
        const auto hasNews = state.lastSequence > std::max(peer.ackedThrough, state.committedThrough);
        const auto interval = hasNews ? settings_.batchInterval : settings_.replicaInterval;
        if (now >= peer.lastSend + interval) {
            sendReplicate(shard, state, node);
        }
    }
}

auto ClaimHolder::sendReplicate(const Shard shard, State &state, const NodeAddress &to) -> void
{
    const auto now = clock_->now();
    auto &peer = state.peers[to];
    peer.lastSend = now;
    const auto base = std::max(peer.ackedThrough, state.committedThrough);
    Replicate replicate{shard, state.term, ++messageCount_, peer.incarnation, state.committedThrough, {}};
    for (const auto &[key, claim] : state.claims) {
        if (claim.sequence > base) {
            const auto stored = claim.state == ClaimState::Pending ? ClaimState::Granted : claim.state;
            replicate.claims.push_back({key, claim.body, claim.owner, stored, now - claim.since, claim.sequence});
        }
    }
    state.sent.push_back({replicate.message, to, peer.incarnation, base, state.lastSequence});
    if (state.sent.size() > internal::maxSentReplicates) {
        state.sent.pop_front();
    }
    hooks_.send(to, std::move(replicate));
}

auto ClaimHolder::handle(const NodeAddress &from, const Replicate &replicate) -> void
{
    const auto isMeant = replicate.toIncarnation == 0 || replicate.toIncarnation == incarnation_;
    if (isMeant) {
        auto &kept = kept_[replicate.shard];
        std::erase_if(kept, [&](const auto &item) {
            const auto &claim = item.second;
            return claim.term == replicate.term && claim.claim.sequence <= replicate.committedThrough;
        });
        for (const auto &claim : replicate.claims) {
            internal::keep(kept, claim, replicate.term, clock_->now());
        }
    }
    hooks_.send(from, ReplicateAck{replicate.shard, replicate.term, replicate.message, incarnation_, isMeant});
}

auto ClaimHolder::handle(const NodeAddress &from, const ReplicateAck &ack) -> void
{
    const auto position = shards_.find(ack.shard);
    if (position == shards_.end() || position->second.term != ack.term) {
        return;
    }
    auto &state = position->second;
    const auto isAcked = [&](const internal::SentReplicate &sent) {
        return sent.message == ack.message && sent.to == from;
    };
    const auto sent = std::find_if(state.sent.begin(), state.sent.end(), isAcked);
    if (sent == state.sent.end()) {
        return;
    }
    auto &peer = state.peers[from];
    if (peer.incarnation != ack.incarnation) {
        peer = {ack.incarnation, 0, peer.lastSend};
    }
    if (!ack.accepted) {
        return;
    }
    if (sent->base <= std::max(peer.ackedThrough, state.committedThrough)) {
        peer.ackedThrough = std::max(peer.ackedThrough, sent->through);
    }
    grantDurable(ack.shard, state);
}

auto ClaimHolder::keptClaims(const Shard shard, const std::uint64_t term) const -> std::vector<StoredClaim>
{
    std::vector<StoredClaim> claims;
    const auto position = kept_.find(shard);
    if (position == kept_.end()) {
        return claims;
    }
    for (const auto &[key, kept] : position->second) {
        if (kept.term == term) {
            claims.push_back(kept.claim);
            claims.back().age = clock_->now() - kept.since;
        }
    }
    return claims;
}

auto ClaimHolder::handle(const NodeAddress &from, const FetchReplica &fetch) -> void
{
    if (fetch.incarnation != incarnation_) {
        return;
    }
    hooks_.send(from, ReplicaClaims{fetch.shard, fetch.term, incarnation_, keptClaims(fetch.shard, fetch.term)});
}

auto ClaimHolder::handle(const NodeAddress &from, const ReplicaClaims &replica) -> void
{
    const auto position = shards_.find(replica.shard);
    if (position == shards_.end() || !position->second.loading || position->second.loaded) {
        return;
    }
    auto &state = position->second;
    const auto &value = *state.loading;
    if (value.replica != ReplicaId{from, replica.incarnation} || value.term != replica.term) {
        return;
    }
    internal::Kept kept;
    for (const auto &claim : replica.claims) {
        internal::keep(kept, claim, replica.term, clock_->now());
    }
    finishLoad(state, kept, true);
}

auto ClaimHolder::forgetKept() -> void
{
    const auto limit = clock_->now() - settings_.retention;
    for (auto &[shard, kept] : kept_) {
        std::erase_if(kept, [&](const auto &item) { return item.second.since < limit; });
    }
}

} // namespace jasminelatch::order
