#include "tree_admission.hpp"

#include "ewma.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Returns the name of a kind of request in reports: its rank, a space and its route. */
auto kindName(const std::uint32_t rank, const std::string &route) -> std::string
{
    return std::to_string(rank) + ' ' + route;
}

auto parseKind(const std::string &name) -> std::pair<std::uint32_t, std::string>
{
    std::uint32_t rank{};
    const auto space = name.find(' ');
    std::from_chars(name.data(), name.data() + std::min(space, name.size()), rank);
    return {rank, space == std::string::npos ? std::string{} : name.substr(space + 1)};
}

/*! @brief Fraction below which a kind is refused entirely: the few admitted requests would not be worth the retries. */
constexpr double minFraction = 0.01;

} // namespace internal

TreeAdmission::TreeAdmission(Settings settings)
    : settings_{settings}
{
}

auto TreeAdmission::setRoutes(const Configuration &configuration) -> void
{
    routes_.clear();
    for (const auto &route : configuration.routes) {
        routes_.emplace(route.name, route.services);
    }
    std::erase_if(kinds_, [&](const auto &entry) { return !routes_.contains(entry.second.route); });
}

auto TreeAdmission::recordOffer(const std::uint32_t rank, const std::string &route) -> void
{
    ++offered_[internal::kindName(rank, route)];
}

auto TreeAdmission::admit(const std::uint32_t rank, const std::string &route) -> bool
{
    const auto found = kinds_.find(internal::kindName(rank, route));
    if (found == kinds_.end() || found->second.fraction >= 1.0) {
        return true;
    }
    auto &kind = found->second;
    kind.credit += kind.fraction;
    if (kind.credit < 1.0) {
        return false;
    }
    kind.credit -= 1.0;
    return true;
}

auto TreeAdmission::applyReport(const NodeReport &report, const TimePoint now) -> void
{
    const auto [found, isFirst] = nodes_.try_emplace(report.name);
    auto &node = found->second;
    const auto increments = node.counts.update(report, report.offered);
    if (!increments) {
        return;
    }
    if (!report.profiles.empty()) {
        node.profiles = report.profiles;
    }
    const auto elapsed = std::max<Duration>(now - std::exchange(node.reportedAt, now), minElapsed);
    if (isFirst) {
        return;
    }
    const auto weight = ewmaWeight(elapsed, settings_.rateWindow);
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    for (auto &[kind, rate] : node.rates) {
        rate *= 1.0 - weight;
    }
    for (const auto &[kind, count] : *increments) {
        node.rates[kind] += weight * std::max(count, 0.0) / seconds;
    }
}

auto TreeAdmission::removeNode(const std::string &name) -> void
{
    nodes_.erase(name);
}

auto TreeAdmission::update(const std::function<ServiceCapacity(const std::string &)> &capacity, const TimePoint now)
    -> void
{
    aggregateRates(now);
    mergeAllProfiles();
    std::map<std::string, Costs> evaluated;
    std::map<std::string, double> remaining;
    std::vector<Kind *> order;
    for (auto &[name, kind] : kinds_) {
        order.push_back(&kind);
        kind.costs = costsOf(kind.route, evaluated);
        for (const auto &[service, cost] : kind.costs) {
            if (!remaining.contains(service)) {
                remaining[service] = plannedCapacity(service, capacity(service));
            }
        }
    }
    for (auto &[name, service] : services_) {
        service.isOverloaded = false;
    }
    std::map<std::string, double> planned;
    std::ranges::stable_sort(order, std::less{}, &Kind::rank);
    for (auto first = order.begin(); first != order.end();) {
        const auto last =
            std::find_if(first, order.end(), [&](const Kind *kind) { return kind->rank != (*first)->rank; });
        // Kinds of the same rank share the capacity left by higher priorities in proportion to their needs.
        std::map<std::string, double> needs;
        for (auto kind = first; kind != last; ++kind) {
            for (const auto &[service, cost] : (*kind)->costs) {
                needs[service] += (*kind)->rate * cost;
            }
        }
        for (auto kind = first; kind != last; ++kind) {
            (*kind)->fraction = 1.0;
            for (const auto &[service, cost] : (*kind)->costs) {
                const auto isNegligible =
                    (*kind)->rate * cost <= settings_.negligibleFraction * services_.at(service).capacity.limit;
                if (remaining.at(service) < needs.at(service) && !isNegligible) {
                    (*kind)->fraction =
                        std::min((*kind)->fraction, std::max(remaining.at(service), 0.0) / needs.at(service));
                    services_[service].isOverloaded = true;
                }
            }
            if ((*kind)->fraction < internal::minFraction) {
                (*kind)->fraction = 0.0;
            }
        }
        for (auto kind = first; kind != last; ++kind) {
            for (const auto &[service, cost] : (*kind)->costs) {
                const auto load = (*kind)->rate * (*kind)->fraction * cost;
                remaining.at(service) -= load;
                planned[service] += load;
            }
        }
        first = last;
    }
    for (const auto &[service, load] : planned) {
        services_[service].planned = load;
    }
}

auto TreeAdmission::offered() const -> const std::map<std::string, std::uint64_t> &
{
    return offered_;
}

auto TreeAdmission::admittedFraction(const std::uint32_t rank, const std::string &route) const -> double
{
    const auto found = kinds_.find(internal::kindName(rank, route));
    return found == kinds_.end() ? 1.0 : found->second.fraction;
}

auto TreeAdmission::kinds() const -> std::vector<KindPlan>
{
    std::vector<KindPlan> plans;
    for (const auto &[name, kind] : kinds_) {
        plans.push_back(kind);
    }
    return plans;
}

auto TreeAdmission::services() const -> const std::map<std::string, ServicePlan> &
{
    return services_;
}

auto TreeAdmission::profiles() const -> const std::map<std::string, RouteProfile> &
{
    return profiles_;
}

auto TreeAdmission::mergeAllProfiles() -> void
{
    profiles_.clear();
    for (const auto &[name, node] : nodes_) {
        mergeProfiles(profiles_, node.profiles);
    }
}

auto TreeAdmission::costsOf(const std::string &route, std::map<std::string, Costs> &evaluated) const -> const Costs &
{
    // A route that is being evaluated counts as free, which terminates the recursion on cyclic calls.
    const auto [found, isNew] = evaluated.try_emplace(route);
    const auto profile = profiles_.find(route);
    const auto services = routes_.find(route);
    if (!isNew || profile == profiles_.end() || services == routes_.end()) {
        return found->second;
    }
    Costs costs;
    auto weightSum = 0.0;
    for (const auto &choice : services->second) {
        weightSum += choice.weight;
    }
    const auto seconds = std::chrono::duration<double>(profile->second.runTime).count();
    for (const auto &choice : services->second) {
        costs[choice.service] += weightSum > 0.0 ? seconds * choice.weight / weightSum : 0.0;
    }
    for (const auto &[call, count] : profile->second.calls) {
        for (const auto &[service, cost] : costsOf(call, evaluated)) {
            costs[service] += count * cost;
        }
    }
    return evaluated[route] = std::move(costs);
}

auto TreeAdmission::aggregateRates(const TimePoint now) -> void
{
    for (auto &[name, kind] : kinds_) {
        kind.rate = 0.0;
    }
    std::erase_if(nodes_, [&](const auto &entry) { return now - entry.second.reportedAt > 10 * settings_.staleAfter; });
    for (const auto &[nodeName, node] : nodes_) {
        if (now - node.reportedAt > settings_.staleAfter) {
            continue;
        }
        for (const auto &[name, rate] : node.rates) {
            auto [rank, route] = internal::parseKind(name);
            if (routes_.contains(route)) {
                auto &kind = kinds_[name];
                kind.rank = rank;
                kind.route = std::move(route);
                kind.rate += rate;
            }
        }
    }
}

auto TreeAdmission::plannedCapacity(const std::string &service, const ServiceCapacity &capacity) -> double
{
    const auto [found, isNew] = services_.try_emplace(service);
    auto &plan = found->second;
    if (isNew) {
        plan.overcommit = settings_.maxOvercommit;
    }
    plan.capacity = capacity;
    plan.observed += settings_.utilizationWeight * (capacity.running - plan.observed);
    const auto load = capacity.running + capacity.queued;
    const auto inUse = std::max(plan.observed, load);
    // Admitting everything as soon as some capacity is free makes the load oscillate between overload and idleness.
    if (inUse < settings_.highUtilization * capacity.limit) {
        plan.overcommit = plan.isOverloaded
                            ? std::min(plan.overcommit * settings_.overcommitIncrease, settings_.maxOvercommit)
                            : plan.overcommit;
    } else {
        plan.overcommit = std::max(plan.overcommit / settings_.overcommitDecrease, 1.0);
    }
    // A queue is worked off within moments, so the fraction follows its present length; one that remembers past queues
    // leaves capacity unused after them.
    const auto maxLoad = settings_.maxLoad * capacity.limit;
    plan.plannedFraction = load > maxLoad ? std::max(maxLoad / load, settings_.minPlannedFraction) : 1.0;
    return capacity.limit * settings_.targetUtilization * plan.plannedFraction * plan.overcommit;
}

} // namespace jasminelatch::mesh
