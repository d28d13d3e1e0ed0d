#include <jasminelatch/probe/paired_samples.hpp>

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <vector>

namespace jasminelatch::probe {

using Latencies = std::array<std::optional<Duration>, 2>;

TEST(Percentile, IsTheValueThatTheShareStaysWithin)
{
    std::vector<Duration> values;
    for (int i = 100; i >= 1; --i) {
        values.emplace_back(i);
    }
    EXPECT_EQ(percentile(values, 0.99), Duration{99});
    EXPECT_EQ(percentile(values, 0.5), Duration{50});
    EXPECT_EQ(percentile(values, 0.0), Duration{1});
    EXPECT_EQ(percentile({}, 0.5), Duration::zero());
}

TEST(PairedSamples, ComparesWithinARound)
{
    PairedSamples samples{2};
    samples.add(Latencies{Duration{100}, Duration{300}});
    samples.add(Latencies{Duration{900}, Duration{1000}});
    samples.add(Latencies{Duration{10}, Duration{310}});
    const auto summary = samples.summary(1);
    EXPECT_EQ(summary.median, Duration{310});
    EXPECT_EQ(summary.addedMedian, Duration{200});
    EXPECT_EQ(summary.added99, Duration{300});
}

TEST(PairedSamples, LeavesOutRoundsWithAFailedCall)
{
    PairedSamples samples{2};
    samples.add(Latencies{std::nullopt, Duration{300}});
    samples.add(Latencies{Duration{100}, std::nullopt});
    samples.add(Latencies{Duration{100}, Duration{150}});
    EXPECT_EQ(samples.failures(0), 1U);
    EXPECT_EQ(samples.failures(1), 1U);
    EXPECT_EQ(samples.summary(1).samples, 2U);
    EXPECT_EQ(samples.summary(1).addedMedian, Duration{50});
}

} // namespace jasminelatch::probe
