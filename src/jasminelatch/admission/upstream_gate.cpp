#include "upstream_gate.hpp"

#include "fair_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace jasminelatch::admission {

namespace {

/*! @brief Recent requests below which an account is forgotten. */
constexpr double forgottenDemand = 0.01;

} // namespace

UpstreamGate::UpstreamGate(GateSettings settings, const Clock &clock, Counters &counters, std::mt19937_64 random)
    : settings_{settings}
    , clock_{&clock}
    , counters_{&counters}
    , random_{random}
{
}

auto UpstreamGate::report(const ServiceName &service, const NodeAddress &instance, const Pressure &pressure) -> void
{
    services_[service].reports.insert_or_assign(instance, Report{pressure, clock_->now() - pressure.age});
}

auto UpstreamGate::decide(const ServiceName &service, const record::Importance importance, const AccountName &account)
    -> std::optional<Refusal>
{
    if (settings_.mode != Mode::Adaptive) {
        return std::nullopt;
    }
    auto &known = services_[service];
    const auto rank = std::min(importance, record::leastImportant);
    auto &demand = known.demands.at(rank);
    fade(demand);
    demand.offered[account] += 1.0;
    const auto pressure = pressureOf(known);
    const auto share = admittedShare(openness(pressure), rank);
    if (share >= 1.0 || isAdmitted(demand, share, account)) {
        return std::nullopt;
    }
    if (drawBelow(settings_.probeShare)) {
        counters_->add("admission.gate_probe");
        return std::nullopt;
    }
    counters_->add("admission.gate_shed");
    const auto retryAfter = std::max(pressure.expectedWait, settings_.shortestRetryAfter);
    return Refusal{RefusalReason::Shed, Outcome::NotRun, retryAfter};
}

auto UpstreamGate::pressure(const ServiceName &service) const -> Pressure
{
    const auto known = services_.find(service);
    return known == services_.end() ? Pressure{} : pressureOf(known->second);
}

auto UpstreamGate::tick() -> void
{
    for (auto &[name, service] : services_) {
        std::erase_if(service.reports, [&](const auto &entry) { return weight(entry.second) <= 0; });
        for (auto &demand : service.demands) {
            fade(demand);
        }
    }
    std::erase_if(services_, [](const auto &entry) {
        const auto &demands = entry.second.demands;
        const auto isIdle =
            std::all_of(demands.begin(), demands.end(), [](auto &each) { return each.offered.empty(); });
        return isIdle && entry.second.reports.empty();
    });
}

auto UpstreamGate::fade(Demand &demand) const -> void
{
    const auto age = clock_->now() - demand.fadedAt;
    if (age <= Duration::zero()) {
        return;
    }
    const auto halfLives = static_cast<double>(age.count()) / static_cast<double>(settings_.demandHalfLife.count());
    const auto factor = std::exp2(-halfLives);
    for (auto &[account, offered] : demand.offered) {
        offered *= factor;
    }
    std::erase_if(demand.offered, [](const auto &entry) { return entry.second < forgottenDemand; });
    demand.fadedAt = clock_->now();
}

auto UpstreamGate::updateShare(Demand &demand, const double admittedShare) const -> void
{
    std::vector<double> offered;
    auto total = 0.0;
    for (const auto &[account, count] : demand.offered) {
        offered.push_back(count);
        total += count;
    }
    demand.fairShare = fairShare(std::move(offered), admittedShare * total);
    demand.admittedShare = admittedShare;
    demand.sharedAt = clock_->now();
}

auto UpstreamGate::isAdmitted(Demand &demand, const double admittedShare, const AccountName &account) -> bool
{
    if (admittedShare <= 0) {
        return false;
    }
    const auto isFresh = demand.sharedAt && clock_->now() - *demand.sharedAt < settings_.shareInterval;
    if (!isFresh || demand.admittedShare != admittedShare) {
        updateShare(demand, admittedShare);
    }
    return drawBelow(demand.fairShare / demand.offered.at(account));
}

auto UpstreamGate::weight(const Report &report) const -> double
{
    const auto age = clock_->now() - report.at;
    const auto left = static_cast<double>((settings_.staleAfter - age).count());
    const auto span = static_cast<double>((settings_.staleAfter - settings_.freshFor).count());
    return std::clamp(left / span, 0.0, 1.0);
}

auto UpstreamGate::pressureOf(const Service &service) const -> Pressure
{
    Pressure sum;
    sum.limit = 0;
    auto closedness = 0.0;
    auto closednessAge = 0.0;
    auto wait = 0.0;
    for (const auto &[node, report] : service.reports) {
        const auto &each = report.pressure;
        const auto share = weight(report) * each.limit;
        const auto closed = share * (static_cast<double>(importanceCount) - openness(each));
        closedness += closed;
        closednessAge += closed * static_cast<double>((clock_->now() - report.at).count());
        wait += share * static_cast<double>(each.expectedWait.count());
        sum.inFlight += each.inFlight;
        sum.queued += each.queued;
        sum.limit += each.limit;
    }
    if (sum.limit == 0) {
        return Pressure{};
    }
    setOpenness(sum, static_cast<double>(importanceCount) - closedness / sum.limit);
    sum.expectedWait = Duration{static_cast<Duration::rep>(wait / sum.limit)};
    if (closedness > 0) {
        sum.age = Duration{static_cast<Duration::rep>(closednessAge / closedness)};
    }
    return sum;
}

auto UpstreamGate::drawBelow(const double share) -> bool
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_) < share;
}

} // namespace jasminelatch::admission
