#include <jasminelatch/load/arrivals.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace jasminelatch;
using namespace jasminelatch::load;

namespace {

auto twoAccounts() -> Scenario
{
    Scenario scenario;
    scenario.duration = std::chrono::seconds{30};
    scenario.load = {{AccountName{"club"}, 40.0, {{KindName{"order"}, 1.0}, {KindName{"file"}, 3.0}}},
                     {AccountName{"school"}, 10.0, {{KindName{"file"}, 1.0}}}};
    return scenario;
}

auto draw(const Scenario &scenario, const std::uint64_t seed) -> std::vector<Arrival>
{
    Arrivals arrivals{scenario, seed};
    std::vector<Arrival> list;
    while (const auto arrival = arrivals.next()) {
        list.push_back(*arrival);
    }
    return list;
}

auto timesOf(const std::vector<Arrival> &arrivals, const std::string &account) -> std::vector<Duration>
{
    std::vector<Duration> times;
    for (const auto &arrival : arrivals) {
        if (arrival.account.text() == account) {
            times.push_back(arrival.at);
        }
    }
    return times;
}

} // namespace

// Any count further than 5 standard deviations from its mean fails.
RC_GTEST_PROP(Arrivals, ComeInOrderAtTheRateOfEachPhase, (std::uint64_t seed))
{
    auto scenario = twoAccounts();
    Phase surge;
    surge.start = std::chrono::seconds{10};
    surge.end = std::chrono::seconds{20};
    surge.demand = 3.0;
    scenario.phases = {surge};
    const auto arrivals = draw(scenario, seed);
    RC_ASSERT(
        std::is_sorted(arrivals.begin(), arrivals.end(), [](const auto &a, const auto &b) { return a.at < b.at; }));
    std::map<std::int64_t, double> counts;
    for (const auto at : timesOf(arrivals, "club")) {
        counts[at / std::chrono::seconds{10}] += 1.0;
    }
    RC_ASSERT(std::abs(counts[0] - 400.0) < 100.0);
    RC_ASSERT(std::abs(counts[1] - 1200.0) < 175.0);
    RC_ASSERT(std::abs(counts[2] - 400.0) < 100.0);
}

RC_GTEST_PROP(Arrivals, OfOtherAccountsDoNotMoveWithOneAccountsFactor, (std::uint64_t seed))
{
    const auto calm = twoAccounts();
    auto excessive = calm;
    Phase phase;
    phase.end = std::chrono::seconds{30};
    phase.account = AccountName{"club"};
    phase.accountFactor = 5.0;
    excessive.phases = {phase};
    RC_ASSERT(timesOf(draw(calm, seed), "school") == timesOf(draw(excessive, seed), "school"));
    RC_ASSERT(timesOf(draw(calm, seed), "club").size() < timesOf(draw(excessive, seed), "club").size());
}
