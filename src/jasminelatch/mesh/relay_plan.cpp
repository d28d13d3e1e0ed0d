#include "relay_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Returns the number of relays in each failure domain. */
auto relaysPerDomain(const std::size_t nodes, const std::size_t domains, const RelaySettings &settings) -> std::size_t
{
    if (nodes <= settings.fullMeshLimit) {
        return nodes;
    }
    const auto all = std::sqrt(static_cast<double>(nodes) / 2.0);
    const auto each = std::ceil(all / static_cast<double>(domains));
    return std::max(static_cast<std::size_t>(each), settings.minPerDomain);
}

} // namespace internal

auto planRelays(const std::span<const RelayCandidate> live, const RelayPlanContext &own, const RelaySettings &settings)
    -> RelayPlan
{
    std::map<std::string_view, std::vector<std::string_view>> domains;
    std::string_view ownDomain;
    for (const auto &node : live) {
        domains[node.domain].push_back(node.name);
        if (node.name == own.name) {
            ownDomain = node.domain;
        }
    }
    RelayPlan plan;
    const auto each = internal::relaysPerDomain(own.fleetSize, domains.size(), settings);
    for (auto &[domain, names] : domains) {
        names.resize(std::min(names.size(), each));
        plan.relays.insert(plan.relays.end(), names.begin(), names.end());
    }
    std::ranges::sort(plan.relays);
    plan.isRelay = std::ranges::binary_search(plan.relays, own.name);
    plan.peersPerRelay = plan.relays.size() + own.fleetSize / std::max<std::size_t>(plan.relays.size(), 1);
    if (!plan.isRelay) {
        const auto &domainRelays = domains.at(ownDomain);
        const auto isKept = std::ranges::find(domainRelays, own.relay) != domainRelays.end();
        plan.relay = isKept ? own.relay : domainRelays[std::hash<std::string_view>{}(own.name) % domainRelays.size()];
    }
    return plan;
}

} // namespace jasminelatch::mesh
