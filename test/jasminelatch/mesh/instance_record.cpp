#include <jasminelatch/mesh/instance_record.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::mesh {

namespace {

auto report(const std::string &id,
            const std::uint64_t startTimeMs,
            const std::uint64_t sequence,
            const InstanceState state) -> InstanceReport
{
    return {id, "catalogue", 10, state, {}, sequence, startTimeMs};
}

} // namespace

TEST(InstanceRecord, IsNotReadyBeforeTheFirstReport)
{
    EXPECT_FALSE(InstanceRecord{}.isReady());
}

TEST(InstanceRecord, IgnoresAStaleReportOfTheSameStart)
{
    InstanceRecord record;
    EXPECT_TRUE(record.apply(report("i-1", 100, 5, InstanceState::Draining)));
    EXPECT_FALSE(record.apply(report("i-1", 100, 4, InstanceState::Ready)));
    EXPECT_FALSE(record.isReady());
}

TEST(InstanceRecord, IgnoresAReportOfAnEarlierStart)
{
    InstanceRecord record;
    EXPECT_TRUE(record.apply(report("i-2", 200, 1, InstanceState::Ready)));
    EXPECT_FALSE(record.apply(report("i-1", 100, 90, InstanceState::Draining)));
    EXPECT_TRUE(record.isReady());
    EXPECT_EQ(record.report().id, "i-2");
}

TEST(InstanceRecord, DoesNotReturnToReadyWithinOneStart)
{
    InstanceRecord record;
    record.apply(report("i-1", 100, 5, InstanceState::Draining));
    record.apply(report("i-1", 100, 6, InstanceState::Ready));
    EXPECT_FALSE(record.isReady());
}

TEST(InstanceRecord, AcceptsADeregistrationWithoutAStartTime)
{
    InstanceRecord record;
    record.apply(report("i-1", 100, 5, InstanceState::Ready));
    EXPECT_TRUE(record.apply(report("i-1", 0, 0, InstanceState::Gone)));
    EXPECT_FALSE(record.isReady());
    EXPECT_EQ(record.report().slots, 10U);
}

TEST(InstanceRecord, IgnoresTheDeregistrationOfAnotherInstance)
{
    InstanceRecord record;
    record.apply(report("i-2", 200, 1, InstanceState::Ready));
    EXPECT_FALSE(record.apply(report("i-1", 0, 0, InstanceState::Gone)));
    EXPECT_TRUE(record.isReady());
}

TEST(InstanceRecord, AcceptsARestartWithTheSameId)
{
    InstanceRecord record;
    record.apply(report("i-1", 100, 50, InstanceState::Draining));
    EXPECT_TRUE(record.apply(report("i-1", 300, 1, InstanceState::Ready)));
    EXPECT_TRUE(record.isReady());
}

TEST(InstanceRecord, ARunningStartReplacesOneWhoseTimeIsLater)
{
    // Guards against an instance that is ignored for good: its clock was stepped back before it started.
    InstanceRecord record;
    record.apply(report("i-1", 300, 50, InstanceState::Draining));
    EXPECT_FALSE(record.apply(report("i-2", 100, 1, InstanceState::Ready))) << "it may be late";
    EXPECT_TRUE(record.apply(report("i-2", 100, 4, InstanceState::Ready), true));
    EXPECT_TRUE(record.isReady());
    EXPECT_FALSE(record.apply(report("i-2", 100, 3, InstanceState::Draining), true)) << "sequence numbers still count";
    EXPECT_TRUE(record.apply(report("i-1", 300, 51, InstanceState::Ready))) << "the later start reports after all";
}

} // namespace jasminelatch::mesh
