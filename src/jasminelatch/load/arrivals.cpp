#include "arrivals.hpp"

#include <algorithm>

namespace jasminelatch::load {

namespace internal {

auto peakRate(const Scenario &scenario, const AccountLoad &load) -> double
{
    auto peak = load.rate;
    for (const auto &phase : scenario.phases) {
        // Rates change only where a phase begins or ends.
        peak = std::max({peak, rateAt(scenario, load, phase.start), rateAt(scenario, load, phase.end)});
    }
    return peak;
}

} // namespace internal

Arrivals::Arrivals(const Scenario &scenario, const std::uint64_t seed)
    : scenario_{&scenario}
{
    std::uint64_t offset{};
    for (const auto &load : scenario.load) {
        std::seed_seq sequence{seed, ++offset};
        Source source{&load, std::mt19937_64{sequence}, Duration::zero(), internal::peakRate(scenario, load)};
        advance(source);
        sources_.push_back(source);
    }
}

auto Arrivals::next() -> std::optional<Arrival>
{
    const auto earliest = std::min_element(
        sources_.begin(), sources_.end(), [](const Source &a, const Source &b) { return a.at < b.at; });
    if (earliest == sources_.end() || earliest->at >= scenario_->duration) {
        return std::nullopt;
    }
    Arrival arrival{earliest->at, earliest->load->account, drawKind(*earliest)};
    advance(*earliest);
    return arrival;
}

auto Arrivals::advance(Source &source) const -> void
{
    if (source.peakRate <= 0.0) {
        source.at = scenario_->duration;
        return;
    }
    // Thinning: candidates at the peak rate, kept with the probability of the present rate.
    std::exponential_distribution<double> gap{source.peakRate};
    std::uniform_real_distribution<double> chance{0.0, source.peakRate};
    do {
        const std::chrono::duration<double> step{gap(source.random)};
        source.at += std::chrono::duration_cast<Duration>(step);
    } while (source.at < scenario_->duration && chance(source.random) >= rateAt(*scenario_, *source.load, source.at));
}

auto Arrivals::drawKind(Source &source) -> KindName
{
    std::vector<double> shares;
    for (const auto &entry : source.load->mix) {
        shares.push_back(entry.share);
    }
    std::discrete_distribution<std::size_t> choice{shares.begin(), shares.end()};
    return source.load->mix[choice(source.random)].kind;
}

} // namespace jasminelatch::load
