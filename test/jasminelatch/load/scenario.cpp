#include <jasminelatch/load/scenario.hpp>

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminelatch;
using namespace jasminelatch::load;

TEST(Scenario, FindingsAreReportedTogether)
{
    Findings findings;
    const auto scenario = parseScenario(R"({
        "duration_ms": 5, "entry": "sideways", "retry": "rude", "typo": 1,
        "load": [{"account": "club", "rate": -1, "mix": [{"share": 2}]}, {"account": "school", "rate": 1}],
        "phases": [{"name": "late", "start_ms": 9, "end_ms": 3}]})",
                                        "bad.json",
                                        findings);
    EXPECT_FALSE(scenario);
    std::vector<std::string> places;
    for (const auto &finding : findings) {
        places.push_back(finding.pointer);
    }
    for (const auto *place : {"/name",
                              "/entry",
                              "/retry",
                              "/typo",
                              "/load/0/rate",
                              "/load/0/mix/0/kind",
                              "/load/1/mix",
                              "/phases/0/end_ms"}) {
        EXPECT_NE(std::find(places.begin(), places.end(), place), places.end()) << place << "\n" << toText(findings);
    }
}

TEST(Scenario, PhasesMultiplyAndReplaceTheHabit)
{
    Findings findings;
    const auto scenario = parseScenario(R"({ // comments are allowed
        "name": "two", "load": [{"account": "club", "rate": 10, "mix": [{"kind": "order"}]}],
        "phases": [{"name": "surge", "start_ms": 100, "end_ms": 300, "demand": 2},
                   {"name": "hog", "start_ms": 200, "end_ms": 400, "account": "club", "account_factor": 3,
                    "retry": "hard"}]})",
                                        "good.json",
                                        findings);
    ASSERT_TRUE(scenario) << toText(findings);
    const auto rate = [&](const int milliseconds) {
        return rateAt(*scenario, scenario->load.front(), std::chrono::milliseconds{milliseconds});
    };
    EXPECT_DOUBLE_EQ(rate(99), 10.0);
    EXPECT_DOUBLE_EQ(rate(100), 20.0);
    EXPECT_DOUBLE_EQ(rate(200), 60.0);
    EXPECT_DOUBLE_EQ(rate(399), 30.0);
    EXPECT_DOUBLE_EQ(rate(400), 10.0);
    EXPECT_EQ(habitAt(*scenario, std::chrono::milliseconds{199}), RetryHabit::Polite);
    EXPECT_EQ(habitAt(*scenario, std::chrono::milliseconds{200}), RetryHabit::Hard);
}
