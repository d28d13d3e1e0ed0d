#include "fleet.hpp"

#include <gtest/gtest.h>

#include <cstdio>

using namespace std::chrono_literals;

namespace jasminelatch::test {

namespace {

constexpr double boundTolerance = 1e-6; // tokens
constexpr auto tickLength = 5ms;

/*! @brief How a node asks during a phase of the schedule. */
enum class Phase { Idle, Trickle, Hammer };

auto requestsInStep(Fleet &fleet, const Phase phase) -> std::size_t
{
    switch (phase) {
    case Phase::Idle:
        return 0;
    case Phase::Trickle:
        return fleet.chance(0.1) ? 1 : 0;
    case Phase::Hammer:
        break;
    }
    return 4;
}

/*! @brief Lets one fault or one change of phase happen. */
auto disturb(Fleet &fleet, std::vector<Phase> &phases, const std::uint32_t shares) -> void
{
    const auto node = fleet.below(phases.size());
    switch (fleet.below(8)) {
    case 0:
        fleet.pause(node, Duration{static_cast<Duration::rep>(fleet.below(3'000'000))});
        break;
    case 1:
        fleet.start(node);
        break;
    case 2:
        fleet.takeOver(quota::rightName({0, static_cast<std::uint32_t>(fleet.below(shares))}), node);
        break;
    case 3:
        fleet.updateDirectory();
        break;
    default:
        phases[node] = static_cast<Phase>(fleet.below(3));
        break;
    }
}

/*! @brief Runs a random schedule and returns the largest burst over every window. */
auto largestBurstOf(const std::uint64_t seed, const quota::Settings &settings, const record::Account &account) -> double
{
    const record::Fleet limits{.quotaShares = 4};
    const FleetOptions options{
        .nodes = 5, .seed = seed, .clockSpread = settings.clockDrift, .lost = 0.05, .doubled = 0.1, .slow = 0.1};
    Fleet fleet{options, settings, limits, account};
    fleet.takeOverAll({0, 1, 2, 3});
    std::vector<Phase> phases(options.nodes, Phase::Idle);
    for (auto step = 0; step < 3000; ++step) {
        if (fleet.chance(0.02)) {
            disturb(fleet, phases, limits.quotaShares);
        }
        for (std::size_t node = 0; node < phases.size(); ++node) {
            for (auto count = requestsInStep(fleet, phases[node]); count > 0; --count) {
                fleet.acquire(node);
            }
        }
        fleet.step(tickLength);
    }
    return fleet.log().largestBurst(account.rate);
}

} // namespace

TEST(QuotaFleet, RunsNoMoreThanBurstAndRateInAnyWindow)
{
    const quota::Settings settings{.clockDrift = 0.1};
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto small = seed % 3 == 0;
        const record::Account account{AccountName{"club"}, small ? 2.0 : 40.0, small ? 5.0 : 41.0};
        EXPECT_LE(largestBurstOf(seed, settings, account), account.burst + boundTolerance) << "seed " << seed;
    }
}

} // namespace jasminelatch::test
