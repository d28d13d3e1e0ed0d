#include "assigner.hpp"

#include "contender.hpp"
#include "hash.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::membership::internal {

Assigner::Assigner(const Context &context)
    : context_{&context}
{
}

auto Assigner::tick(const Fleet &fleet) -> void
{
    const auto now = context_->now();
    if (assignedAt_ && now < *assignedAt_ + context_->settings.dutyInterval) {
        return;
    }
    assignedAt_ = now;
    auto rights = wantedRights();
    if (refreshCount_ == fleet.refreshCount() && rights == rights_) {
        return;
    }
    refreshCount_ = fleet.refreshCount();
    rights_ = std::move(rights);
    assign(fleet);
}

auto Assigner::wantedRights() const -> std::vector<LeaseName>
{
    if (!context_->hooks.wantedRights) {
        return {};
    }
    auto rights = context_->hooks.wantedRights();
    std::ranges::sort(rights);
    return rights;
}

auto Assigner::assign(const Fleet &fleet) -> void
{
    fleetSize_ = fleet.size();
    duties_.clear();
    const auto candidates = fleet.candidates();
    std::map<NodeAddress, const Candidate *> byNode;
    for (const auto &candidate : candidates) {
        byNode.emplace(candidate.node, &candidate);
    }
    std::map<LeaseName, const Candidate *> holders;
    for (const auto &entry : fleet.directory().rights) {
        if (const auto position = byNode.find(entry.holder); position != byNode.end()) {
            holders.emplace(entry.right, position->second);
        }
    }
    for (const auto &right : rights_) {
        // A right that somebody holds stays there; only its successor is chosen anew.
        if (const auto position = holders.find(right); position != holders.end()) {
            const auto &holder = *position->second;
            const auto successor = rightSuccessor(right, holder, candidates);
            duties_[holder.node].push_back({right, successor.value_or(NodeAddress{})});
            continue;
        }
        const auto chosen = rightContenders(right, candidates);
        if (chosen.holder) {
            duties_[*chosen.holder].push_back({right, chosen.successor.value_or(NodeAddress{})});
        }
    }
}

auto Assigner::assignment(const NodeAddress &node, const Cell &cell) const -> Assignment
{
    Assignment assignment;
    for (const auto &[address, member] : cell.members()) {
        if (address != node) {
            assignment.peers.push_back(address);
        }
    }
    assignment.fleetSize = fleetSize_;
    if (const auto position = duties_.find(node); position != duties_.end()) {
        assignment.duties = position->second;
    }
    assignment.version = versionOf(assignment);
    return assignment;
}

auto cellSuccessor(const Context &context, const LeaseName &right, const Cell &cell) -> std::optional<NodeAddress>
{
    std::vector<Candidate> candidates;
    for (const auto &[address, member] : cell.members()) {
        if (member.record.endpoint.state != EndpointState::Draining) {
            candidates.push_back({address, context.domain});
        }
    }
    return rightSuccessor(right, {context.self, context.domain}, candidates);
}

} // namespace jasminelatch::membership::internal
