#include <jasminelatch/load/measures.hpp>

#include <gtest/gtest.h>

using namespace jasminelatch;
using namespace jasminelatch::load;
using namespace std::chrono_literals;

namespace {

/*! @brief Ten requests a second of one account for ten seconds, with a trigger from 4 s to 6 s. */
class MeasuresTest: public testing::Test
{
public:
    MeasuresTest()
    {
        scenario.duration = 10s;
        scenario.warmUp = 1s;
        Phase phase;
        phase.name = "slow";
        phase.start = 4s;
        phase.end = 6s;
        scenario.phases = {phase};
        for (Duration at{}; at < scenario.duration; at += 100ms) {
            samples.push_back({AccountName{"club"}, KindName{"order"}, 2.0, at, 10ms, true, true, 1, {}});
        }
    }

    auto failBetween(const Duration start, const Duration end, const std::string &reason) -> void
    {
        for (auto &sample : samples) {
            if (sample.at >= start && sample.at < end) {
                sample.whole = false;
                sample.failures = {{sample.at, reason, sample.withinRate}};
            }
        }
    }

    Scenario scenario;
    std::vector<Sample> samples;
};

} // namespace

TEST_F(MeasuresTest, GoodputIsWeightedAndOnlyOfWholeAnswers)
{
    failBetween(4s, 5s, "shed");
    const auto measures = computeMeasures(scenario, samples);
    EXPECT_DOUBLE_EQ(measures.phases[0].whole, 20.0);
    EXPECT_DOUBLE_EQ(measures.phases[1].offered, 20.0);
    EXPECT_DOUBLE_EQ(measures.phases[1].whole, 10.0);
    EXPECT_EQ(measures.failures.at("shed"), 10U);
}

TEST_F(MeasuresTest, RecoveryEndsWithTheLastBadInterval)
{
    failBetween(4s, 6500ms, "shed");
    failBetween(7s, 7100ms, "shed");
    const auto measures = computeMeasures(scenario, samples);
    ASSERT_TRUE(measures.phases[1].recovery);
    EXPECT_EQ(*measures.phases[1].recovery, 1500ms);
}

TEST_F(MeasuresTest, NoRecoveryWhenTheRunEndsBadly)
{
    failBetween(4s, 10s, "shed");
    EXPECT_FALSE(computeMeasures(scenario, samples).phases[1].recovery);
}

TEST_F(MeasuresTest, OnlyRefusalsWithinTheRateAreWrongful)
{
    failBetween(2s, 3s, "account_rate");
    failBetween(3s, 4s, "shed");
    for (auto &sample : samples) {
        if (sample.at >= 2500ms && sample.at < 3s) {
            sample.failures.front().withinRate = false;
        }
    }
    const auto measures = computeMeasures(scenario, samples);
    EXPECT_EQ(measures.wrongful, 5U);
    EXPECT_EQ(measures.attempts, 90U);
}

TEST_F(MeasuresTest, WorstServedIsAmongThoseThatKeptTheirRate)
{
    for (Duration at = 1s; at < 5s; at += 100ms) {
        samples.push_back({AccountName{"hog"}, KindName{"order"}, 2.0, at, 10ms, at < 2s, false, 1, {}});
        samples.push_back({AccountName{"school"}, KindName{"order"}, 2.0, at, 10ms, true, at >= 2s, 1, {}});
    }
    const auto measures = computeMeasures(scenario, samples);
    ASSERT_TRUE(measures.worst);
    EXPECT_EQ(measures.worst->account.text(), "school");
    EXPECT_DOUBLE_EQ(measures.worst->share(), 0.75);
}
