#include "claim_holder.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jasminelatch::order {

namespace internal {

auto valueKey(const Shard shard) -> std::string
{
    return rightOf(shard).text();
}

} // namespace internal

auto ClaimHolder::serveStore(const Shard shard, State &state) -> void
{
    const auto now = clock_->now();
    if (state.pendingCall != 0 || now < state.nextCall) {
        return;
    }
    if (state.readNow) {
        read(shard, state);
        return;
    }
    const auto replicaChanged = state.confirmed && state.confirmed->replica != desiredReplica(shard, state);
    if (state.loaded && (state.dirty || replicaChanged)) {
        commit(shard, state);
    }
}

auto ClaimHolder::desiredReplica(const Shard shard, const State &state) const -> ReplicaId
{
    if (!settings_.grantFromReplica || handingOver_) {
        return {};
    }
    const auto successor = hooks_.successor(shard);
    const auto peer = state.peers.find(successor);
    if (peer == state.peers.end() || peer->second.incarnation == 0) {
        return {};
    }
    return {successor, peer->second.incarnation};
}

auto ClaimHolder::read(const Shard shard, State &state) -> void
{
    const auto call = ++callCount_;
    state.pendingCall = call;
    state.readNow = false;
    counters_->add("order.store_read");
    hooks_.store({.operation = store::Operation::Get, .key = internal::valueKey(shard)},
                 [this, shard, call](const store::Answer &answer) { afterRead(shard, call, answer); });
}

auto ClaimHolder::valueOf(const Shard shard, const State &state) const -> ShardValue
{
    const auto now = clock_->now();
    ShardValue value;
    value.term = state.term;
    value.through = state.lastSequence;
    value.replica = desiredReplica(shard, state);
    if (state.unknownUntil && *state.unknownUntil > now) {
        value.unknownFor = *state.unknownUntil - now;
    }
    for (const auto &[key, claim] : state.claims) {
        // A pending claim is granted as soon as this value is confirmed.
        const auto stored = claim.state == ClaimState::Pending ? ClaimState::Granted : claim.state;
        value.claims.push_back({key, claim.body, claim.owner, stored, now - claim.since, claim.sequence});
    }
    return value;
}

auto ClaimHolder::commit(const Shard shard, State &state) -> void
{
    auto value = valueOf(shard, state);
    const auto call = ++callCount_;
    value.writeId = self_.text() + '#' + std::to_string(incarnation_) + '#' + std::to_string(call);
    state.pendingCall = call;
    state.dirty = false;
    state.nextCall = clock_->now() + settings_.batchInterval;
    state.unresolved.push_back({value.writeId, value.through, value.replica});
    counters_->add("order.store_write");
    hooks_.store({.operation = store::Operation::Put,
                  .key = internal::valueKey(shard),
                  .value = nlohmann::json(value).dump(),
                  .expected = state.revision},
                 [this, shard, call](const store::Answer &answer) { afterCommit(shard, call, answer); });
}

auto ClaimHolder::afterRead(const Shard shard, const std::uint64_t call, const store::Answer &answer) -> void
{
    auto &state = shards_[shard];
    if (state.pendingCall != call) {
        return;
    }
    state.pendingCall = 0;
    if (answer.status == store::Status::Unknown) {
        counters_->add("order.read_unknown");
        state.readNow = true;
        state.nextCall = clock_->now() + settings_.retryInterval;
        return;
    }
    if (!answer.entries.empty()) {
        settle(shard, state, answer.entries.front());
        return;
    }
    if (!state.loaded) {
        state.loading = ShardValue{};
        finishLoad(state, {}, true);
    }
}

auto ClaimHolder::afterCommit(const Shard shard, const std::uint64_t call, const store::Answer &answer) -> void
{
    auto &state = shards_[shard];
    if (state.pendingCall != call) {
        return;
    }
    state.pendingCall = 0;
    if (answer.status == store::Status::Unknown || answer.entries.empty()) {
        counters_->add("order.commit_unknown");
        state.readNow = true;
        state.dirty = true;
        state.nextCall = clock_->now() + settings_.retryInterval;
        return;
    }
    settle(shard, state, answer.entries.front());
}

auto ClaimHolder::settle(const Shard shard, State &state, const store::Entry &entry) -> void
{
    if (state.loaded && entry.revision <= state.revision) {
        return;
    }
    auto value = parseShardValue(entry.value);
    if (!value) {
        counters_->add("order.malformed_value");
        LOG(ERROR) << "order: value of shard " << shard << " is malformed";
        state.nextCall = clock_->now() + settings_.retryInterval;
        state.readNow = true;
        return;
    }
    if (value->term > state.term) {
        // A later holder wrote it: wait for the loss of the right.
        state.nextCall = clock_->now() + settings_.retryInterval;
        state.readNow = true;
        return;
    }
    // All unresolved commits expected the former revision: at most one can have taken effect, and it shows here.
    const auto unresolved = std::exchange(state.unresolved, {});
    state.revision = entry.revision;
    const auto isWritten = [&](const internal::PendingCommit &pending) {
        return pending.writeId == value->writeId;
    };
    const auto own = std::find_if(unresolved.begin(), unresolved.end(), isWritten);
    if (own != unresolved.end()) {
        value->claims.clear();
        state.confirmed = std::move(value);
        state.committedThrough = std::max(state.committedThrough, own->through);
        grantDurable(shard, state);
        return;
    }
    load(shard, state, std::move(*value));
}

} // namespace jasminelatch::order
