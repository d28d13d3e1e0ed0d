#include "measures.hpp"

#include <algorithm>

namespace jasminelatch::load {

namespace internal {

constexpr double recoveredShare = 0.9;
constexpr double keptRateShare = 0.95;

auto isWrongful(const FailedAttempt &attempt) -> bool
{
    return attempt.withinRate && (attempt.reason == "account_rate" || attempt.reason == "quota_unavailable");
}

auto goodputBetween(std::string name, const Duration start, const Duration end, const std::span<const Sample> samples)
    -> Goodput
{
    Goodput goodput;
    goodput.name = std::move(name);
    goodput.start = start;
    goodput.end = end;
    for (const auto &sample : samples) {
        if (sample.at < start || sample.at >= end) {
            continue;
        }
        goodput.offered += sample.weight;
        goodput.whole += sample.whole ? sample.weight : 0.0;
    }
    const auto seconds = std::chrono::duration<double>{end - start}.count();
    if (seconds > 0.0) {
        goodput.offered /= seconds;
        goodput.whole /= seconds;
    }
    return goodput;
}

auto intervalsOf(const Scenario &scenario, const std::span<const Sample> samples) -> std::vector<Goodput>
{
    std::vector<Goodput> intervals;
    for (Duration start{}; start + interval <= scenario.duration; start += interval) {
        intervals.push_back(goodputBetween("", start, start + interval, samples));
    }
    return intervals;
}

/*! @brief Returns when the next trigger begins at or after a point in time; the end of the run without one. */
auto nextStart(const Scenario &scenario, const Duration after) -> Duration
{
    auto next = scenario.duration;
    for (const auto &phase : scenario.phases) {
        if (phase.start >= after) {
            next = std::min(next, phase.start);
        }
    }
    return next;
}

auto recoveryAfter(const Duration end,
                   const Duration until,
                   const std::span<const Goodput> intervals,
                   const double shareBefore) -> std::optional<Duration>
{
    auto recovered = end;
    auto known = false;
    for (const auto &part : intervals) {
        if (part.start < end || part.end > until) {
            continue;
        }
        known = part.share() >= recoveredShare * shareBefore;
        if (!known) {
            recovered = part.end;
        }
    }
    return known ? std::optional{recovered - end} : std::nullopt;
}

auto firstStart(const Scenario &scenario) -> Duration
{
    return std::max(scenario.warmUp, nextStart(scenario, Duration::zero()));
}

auto phasesOf(const Scenario &scenario, const std::span<const Sample> samples, const std::span<const Goodput> intervals)
    -> std::vector<Goodput>
{
    std::vector<Goodput> phases{goodputBetween("before", scenario.warmUp, firstStart(scenario), samples)};
    const auto before = phases.front().share();
    for (const auto &phase : scenario.phases) {
        auto goodput = goodputBetween(phase.name, phase.start, phase.end, samples);
        goodput.recovery = recoveryAfter(phase.end, nextStart(scenario, phase.end), intervals, before);
        phases.push_back(std::move(goodput));
    }
    return phases;
}

auto accountsOf(const Scenario &scenario, const std::span<const Sample> samples) -> std::vector<AccountFigures>
{
    std::map<AccountName, AccountFigures> figures;
    for (const auto &sample : samples) {
        if (sample.at < scenario.warmUp || sample.account.empty()) {
            continue;
        }
        auto &own = figures[sample.account];
        own.account = sample.account;
        ++own.requests;
        own.withinRate += sample.withinRate ? 1 : 0;
        own.served += sample.withinRate && sample.whole ? 1 : 0;
    }
    std::vector<AccountFigures> list;
    for (auto &[name, own] : figures) {
        list.push_back(own);
    }
    return list;
}

auto worstOf(const std::span<const AccountFigures> accounts) -> std::optional<AccountFigures>
{
    std::optional<AccountFigures> worst;
    for (const auto &own : accounts) {
        if (own.keptRate() && (!worst || own.share() < worst->share())) {
            worst = own;
        }
    }
    return worst;
}

auto countFailures(const Scenario &scenario, const std::span<const Sample> samples, Measures &measures) -> void
{
    for (const auto &sample : samples) {
        if (sample.at < scenario.warmUp) {
            continue;
        }
        measures.attempts += sample.attemptsWithinRate;
        for (const auto &failure : sample.failures) {
            ++measures.failures[failure.reason];
            measures.wrongful += isWrongful(failure) ? 1 : 0;
        }
    }
}

} // namespace internal

auto AccountFigures::share() const -> double
{
    return withinRate == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(withinRate);
}

auto AccountFigures::keptRate() const -> bool
{
    return static_cast<double>(withinRate) >= internal::keptRateShare * static_cast<double>(requests);
}

auto Measures::wrongfulShare() const -> double
{
    return attempts == 0 ? 0.0 : static_cast<double>(wrongful) / static_cast<double>(attempts);
}

auto computeMeasures(const Scenario &scenario, const std::span<const Sample> samples) -> Measures
{
    Measures measures;
    measures.intervals = internal::intervalsOf(scenario, samples);
    measures.phases = internal::phasesOf(scenario, samples, measures.intervals);
    measures.all = internal::goodputBetween("all", scenario.warmUp, scenario.duration, samples);
    measures.accounts = internal::accountsOf(scenario, samples);
    measures.worst = internal::worstOf(measures.accounts);
    internal::countFailures(scenario, samples, measures);
    return measures;
}

} // namespace jasminelatch::load
