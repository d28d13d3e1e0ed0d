#include "scenarios.hpp"

#include <jasminelatch/model/simulation.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jasminelatch::model {

using namespace std::chrono_literals;

TEST(Simulation, RepeatsARunBySeed)
{
    SimulationSettings settings;
    settings.seed = 7;
    const auto first = Simulation{test::shop(2.0, 3s), settings}.run();
    const auto second = Simulation{test::shop(2.0, 3s), settings}.run();
    EXPECT_EQ(toJson(first), toJson(second));
    settings.seed = 8;
    EXPECT_NE(toJson(Simulation{test::shop(2.0, 3s), settings}.run()), toJson(first));
}

TEST(Simulation, ServesACalmDayWholeWithEveryPolicy)
{
    for (const auto policy : {Policy::Nodes, Policy::NoAdmission, Policy::FirstCome}) {
        SimulationSettings settings;
        settings.policy = policy;
        const auto outcome = Simulation{test::shop(0.8, 5s), settings}.run();
        EXPECT_EQ(outcome.total().servedFraction(), 1.0);
        EXPECT_EQ(outcome.total().refusals, 0);
    }
}

TEST(Simulation, AccountsForEveryRequestUnderEveryTrouble)
{
    auto scenario = test::shop(1.5, 6s);
    using Kind = TroubleModel::Kind;
    scenario.troubles = {{Kind::Reject, 1s, 2s, "stock", 0, 0.8},
                         {Kind::Slow, 2s, 3s, "orders", 1, 5.0},
                         {Kind::Away, 3s, 5s, "stock", 2, 1.0},
                         {Kind::Surge, 4s, 5s, {}, 0, 2.0}};
    const auto total = Simulation{scenario, {}}.run().total();
    EXPECT_EQ(total.inTarget + total.late + total.refused + total.failed, total.asked);
    EXPECT_GT(total.failed, 0U);
}

TEST(Scenario, CollectsAllFindings)
{
    const auto json = nlohmann::json::parse(R"({
        "length_s": 1,
        "services": [{"name": "stock", "instances": [{"slots": 4}]}],
        "kinds": [{"name": "level", "service": "stocks", "calls": [{"kind": "pack"}]}],
        "troubles": [{"kind": "slow", "service": "shelf"}]
    })");
    Findings findings;
    EXPECT_FALSE(parseScenario(json, "scenario.json", findings));
    ASSERT_EQ(findings.size(), 3U);
    EXPECT_EQ(findings[0].pointer, "/kinds/0/service");
    EXPECT_EQ(findings[1].pointer, "/kinds/0/calls");
    EXPECT_EQ(findings[2].pointer, "/troubles/0/service");
}

} // namespace jasminelatch::model
