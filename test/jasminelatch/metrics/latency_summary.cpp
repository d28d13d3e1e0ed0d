#include <jasminelatch/metrics/latency_summary.hpp>

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace jasminelatch::metrics {

TEST(LatencySummary, StartsEmpty)
{
    const LatencySummary summary;
    EXPECT_EQ(summary.count(), 0U);
    EXPECT_EQ(summary.mean(), 0us);
    EXPECT_EQ(summary.percentile99(), 0us);
}

TEST(LatencySummary, EstimatesQuantiles)
{
    LatencySummary summary;
    for (int step = 0; step < 7; ++step) {
        for (int value = step; value < 7000; value += 7) {
            summary.add(std::chrono::microseconds{value});
        }
    }
    EXPECT_EQ(summary.count(), 7000U);
    EXPECT_EQ(summary.maximum(), 6999us);
    EXPECT_NEAR(static_cast<double>(summary.median().count()), 3500.0, 200.0);
    EXPECT_NEAR(static_cast<double>(summary.percentile99().count()), 6930.0, 100.0);
}

} // namespace jasminelatch::metrics
