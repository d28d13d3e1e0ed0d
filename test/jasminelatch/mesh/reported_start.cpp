#include <jasminelatch/mesh/reported_start.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

auto report(const std::string &id, const std::uint64_t startTimeMs, const std::uint64_t sequence) -> InstanceReport
{
    return {id, "catalogue", 10, InstanceState::Ready, {}, sequence, startTimeMs};
}

} // namespace

TEST(ReportedStart, AStartThatKeepsReportingIsRunning)
{
    ReportedStart reported{{}};
    for (auto beat = 0; beat < 4; ++beat) {
        EXPECT_FALSE(reported.isRunning(report("i-2", 100, 9)));
        reported.record(report("i-2", 100, 1 + beat), start + beat * 1500ms);
    }
    EXPECT_TRUE(reported.isRunning(report("i-2", 100, 9)));
    EXPECT_FALSE(reported.isRunning(report("i-2", 101, 9)));
    EXPECT_FALSE(reported.isRunning(report("i-1", 100, 9)));
}

TEST(ReportedStart, ABurstOfLateReportsIsNoRunningInstance)
{
    ReportedStart reported{{}};
    for (auto late = 0; late < 20; ++late) {
        reported.record(report("i-1", 100, 70 + late), start + late * 150ms);
    }
    EXPECT_FALSE(reported.isRunning(report("i-1", 100, 99)));
    reported.record(report("i-1", 100, 89), start + 30s);
    EXPECT_FALSE(reported.isRunning(report("i-1", 100, 99))) << "a repeated report shows nothing new";
}

TEST(ReportedStart, LateReportsBetweenThoseOfAnotherStartAreNoRunningInstance)
{
    ReportedStart reported{{}};
    for (auto beat = 0; beat < 10; ++beat) {
        reported.record(report("i-1", 100, 70 + beat), start + beat * 1500ms);
        EXPECT_FALSE(reported.isRunning(report("i-1", 100, 99)));
        reported.record(report("i-2", 200, 1 + beat), start + beat * 1500ms + 700ms);
    }
}

} // namespace jasminelatch::mesh
