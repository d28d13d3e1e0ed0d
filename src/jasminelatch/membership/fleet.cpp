#include "fleet.hpp"

#include "hash.hpp"

#include <utility>

namespace jasminelatch::membership {

namespace internal {

auto isLater(const MemberRecord &left, const MemberRecord &right) -> bool
{
    return std::pair{left.incarnation, left.joins} > std::pair{right.incarnation, right.joins};
}

} // namespace internal

auto Fleet::setCell(const LeaseName &cell, FleetCell value) -> void
{
    cells_.insert_or_assign(cell, std::move(value));
}

auto Fleet::removeCell(const LeaseName &cell) -> void
{
    cells_.erase(cell);
}

auto Fleet::refresh() -> FleetChanges
{
    ++refreshCount_;
    const auto nodes = latestByNode();
    size_ = nodes.size();
    FleetChanges changes;
    changes.services = refreshServices(nodes);
    refreshClaims(nodes);
    changes.directory = refreshDirectory();
    refreshCandidates(nodes);
    return changes;
}

auto Fleet::endpoints(const ServiceName &service) const -> std::span<const Endpoint>
{
    const auto position = services_.find(service);
    if (position == services_.end()) {
        return {};
    }
    return position->second.endpoints;
}

auto Fleet::version(const ServiceName &service) const -> ContentVersion
{
    const auto position = services_.find(service);
    return position == services_.end() ? internal::versionOf(std::span<const Endpoint>{}) : position->second.version;
}

auto Fleet::latestByNode() const -> Nodes
{
    Nodes nodes;
    for (const auto &[name, cell] : cells_) {
        for (const auto &member : cell.members) {
            auto &latest = nodes[member.endpoint.node];
            if (latest == nullptr || internal::isLater(member, *latest)) {
                latest = &member;
            }
        }
    }
    return nodes;
}

auto Fleet::refreshServices(const Nodes &nodes) -> std::vector<ServiceName>
{
    std::map<ServiceName, ServiceView> next;
    for (const auto &[address, member] : nodes) {
        next[member->endpoint.service].endpoints.push_back(member->endpoint);
    }
    // A service stays known when its last endpoint goes, so that the loss shows as a change.
    for (const auto &[name, view] : services_) {
        next.try_emplace(name);
    }
    std::vector<ServiceName> changed;
    for (auto &[name, view] : next) {
        view.service = name;
        view.version = internal::versionOf(view.endpoints);
        if (view.version != version(name)) {
            changed.push_back(name);
        }
    }
    services_ = std::move(next);
    return changed;
}

auto Fleet::refreshClaims(const Nodes &nodes) -> void
{
    std::map<Claim, std::uint64_t> next;
    for (const auto &[address, member] : nodes) {
        for (const auto &right : member->rights) {
            const Claim claim{right, address};
            const auto position = claims_.find(claim);
            next[claim] = position == claims_.end() ? ++claimCount_ : position->second;
        }
    }
    claims_ = std::move(next);
}

auto Fleet::refreshDirectory() -> bool
{
    Directory next;
    std::uint64_t latest = 0;
    for (const auto &[claim, order] : claims_) {
        const auto &[right, node] = claim;
        if (next.rights.empty() || next.rights.back().right != right) {
            next.rights.push_back({right, node});
            latest = order;
        } else if (order > latest) {
            next.rights.back().holder = node;
            latest = order;
        }
    }
    next.version = internal::versionOf(next.rights);
    const auto changed = next.version != directory_.version;
    directory_ = std::move(next);
    return changed;
}

auto Fleet::refreshCandidates(const Nodes &nodes) -> void
{
    candidates_.clear();
    for (const auto &[address, member] : nodes) {
        if (member->endpoint.state != EndpointState::Draining) {
            candidates_.push_back({address, member->endpoint.domain});
        }
    }
}

} // namespace jasminelatch::membership
