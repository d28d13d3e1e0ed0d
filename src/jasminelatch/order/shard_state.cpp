#include "shard_state.hpp"

#include <algorithm>

namespace jasminelatch::order::internal {

auto ShardState::requiredReplicas() const -> std::optional<std::set<ReplicaId>>
{
    if (!confirmed || confirmed->term != term || confirmed->replica.node.empty()) {
        return std::nullopt;
    }
    std::set<ReplicaId> replicas{confirmed->replica};
    for (const auto &commit : unresolved) {
        if (commit.replica.node.empty()) {
            return std::nullopt;
        }
        replicas.insert(commit.replica);
    }
    return replicas;
}

auto ShardState::isReplicated(const std::uint64_t sequence) const -> bool
{
    const auto replicas = requiredReplicas();
    if (!replicas) {
        return false;
    }
    return std::all_of(replicas->begin(), replicas->end(), [&](const ReplicaId &replica) {
        const auto peer = peers.find(replica.node);
        return peer != peers.end() && peer->second.incarnation == replica.incarnation
            && peer->second.ackedThrough >= sequence;
    });
}

auto ShardState::change(Claim &claim, const ClaimState state) -> void
{
    claim.state = state;
    claim.sequence = ++lastSequence;
    dirty = true;
}

} // namespace jasminelatch::order::internal
