#include "fleet.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

using namespace std::chrono_literals;

namespace jasminelatch::test {

namespace {

constexpr double boundTolerance = 1e-6; // tokens
constexpr auto tickLength = 5ms;
constexpr auto stepsOfSchedule = 6000;
constexpr auto requestsAtOnce = 4;
constexpr std::size_t hoardingNodes = 3;
constexpr auto hoardingChance = 0.05;
constexpr std::size_t shortestRound = 100; // steps
constexpr std::size_t longestQuiet = 600; // steps
constexpr auto trickleChance = 0.005;

/*! @brief What can go wrong in one schedule. */
struct Weather {
    double lost{};
    double doubled{};
    double slow{};
    double faults{}; /*!< Chance of a fault in one step. */
    double fast{}; /*!< Part of the nodes whose clock is fast. */
    std::size_t longestSurge{}; /*!< Steps. */
};

constexpr std::array<Weather, 4> weathers{{
    {.fast = 1.0, .longestSurge = 3000},
    {.faults = 0.002, .fast = 0.5, .longestSurge = 300},
    {.lost = 0.05, .doubled = 0.1, .slow = 0.3, .fast = 0.5, .longestSurge = 300},
    {.lost = 0.05, .doubled = 0.1, .slow = 0.1, .faults = 0.005, .fast = 0.8, .longestSurge = 1000},
}};

/*! @brief Lets one fault happen. */
auto disturb(Fleet &fleet, const std::size_t nodes, const std::uint32_t shares) -> void
{
    const auto node = fleet.below(nodes);
    const auto right = quota::rightName({0, static_cast<std::uint32_t>(fleet.below(shares))});
    switch (fleet.below(4)) {
    case 0:
        fleet.pause(node, Duration{static_cast<Duration::rep>(fleet.below(2'000'000))});
        break;
    case 1:
        fleet.start(node);
        fleet.takeOver(right, node);
        fleet.updateDirectory();
        break;
    case 2:
        fleet.takeOver(right, node);
        fleet.updateDirectory();
        break;
    default:
        fleet.takeOver(right, node);
        break;
    }
}

/*! @brief Chances of a request of each node in one step: quiet rounds with some trickle, then a surge at some nodes. */
auto nextRound(Fleet &fleet, const std::size_t surge, std::vector<double> &chances) -> std::size_t
{
    for (auto &chance : chances) {
        chance = fleet.chance(0.5) ? 0.0 : surge > 0 ? 1.0 : trickleChance;
    }
    return shortestRound + fleet.below(surge > 0 ? surge : longestQuiet);
}

/*! @brief Runs a random schedule and returns the largest burst over every window. */
auto largestBurstOf(const std::uint64_t seed, const quota::Settings &settings, const record::Account &account) -> double
{
    const record::Fleet limits{.quotaShares = 4};
    const auto &weather = weathers.at(seed % weathers.size());
    const FleetOptions options{.nodes = 5,
                               .seed = seed,
                               .clockSpread = settings.clockDrift,
                               .fast = weather.fast,
                               .lost = weather.lost,
                               .doubled = weather.doubled,
                               .slow = weather.slow};
    Fleet fleet{options, settings, limits, account};
    fleet.takeOverAll({0, 1, 2, 3});
    std::vector<double> chances(options.nodes, 0.0);
    auto surge = true;
    std::size_t left = 0;
    for (auto step = 0; step < stepsOfSchedule; ++step) {
        if (left-- == 0) {
            surge = !surge;
            left = nextRound(fleet, surge ? weather.longestSurge : 0, chances);
        }
        if (fleet.chance(weather.faults)) {
            disturb(fleet, options.nodes, limits.quotaShares);
        }
        for (std::size_t node = 0; node < options.nodes; ++node) {
            for (auto count = fleet.chance(chances[node]) ? requestsAtOnce : 0; count > 0; --count) {
                fleet.acquire(node);
            }
        }
        fleet.step(tickLength);
    }
    return fleet.log().largestBurst(account.rate);
}

/*! @brief Lets every node ask as fast as it can, or the first one at a trickle, for some steps. */
auto ask(Fleet &fleet, const std::size_t steps, const bool surge) -> void
{
    for (std::size_t step = 0; step < steps; ++step) {
        for (std::size_t node = 0; surge && node < hoardingNodes; ++node) {
            fleet.acquire(node);
        }
        if (!surge && fleet.chance(hoardingChance)) {
            fleet.acquire(0);
        }
        fleet.step(tickLength);
    }
}

/*! @brief One node borrows ahead, the holder changes, then all spend at once; returns the largest burst. */
auto largestBurstOfHoard(const std::uint64_t seed, const quota::Settings &settings, const record::Account &account)
    -> double
{
    const FleetOptions options{.nodes = hoardingNodes,
                               .seed = seed,
                               .clockSpread = settings.clockDrift,
                               .fast = 0.5,
                               .slow = seed % 2 == 0 ? 0.5 : 0.0};
    Fleet fleet{options, settings, {.quotaShares = 1}, account};
    fleet.takeOverAll({1});
    for (auto round = 0; round < 8; ++round) {
        for (auto idle = 100 + fleet.below(600); idle > 0; --idle) {
            fleet.step(tickLength);
        }
        ask(fleet, 100 + fleet.below(300), false);
        if (fleet.chance(0.5)) {
            fleet.takeOver(quota::rightName({0, 0}), fleet.below(hoardingNodes));
            fleet.updateDirectory();
        }
        for (auto idle = fleet.below(300); idle > 0; --idle) {
            fleet.step(tickLength);
        }
        ask(fleet, 40, true);
    }
    return fleet.log().largestBurst(account.rate);
}

} // namespace

TEST(QuotaFleet, StaysWithinTheBoundWhenHoardedTokensOutliveAHolder)
{
    const quota::Settings settings{.clockDrift = 0.1};
    const record::Account account{AccountName{"club"}, 10.0, 10.0};
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        EXPECT_LE(largestBurstOfHoard(seed, settings, account), account.burst + boundTolerance) << "seed " << seed;
    }
}

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
