#include <jasminelatch/mesh/instance_departure.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace jasminelatch::mesh {

namespace {

auto reportOf(const std::string &id, const std::uint64_t startTimeMs) -> InstanceReport
{
    InstanceReport report;
    report.id = id;
    report.startTimeMs = startTimeMs;
    return report;
}

} // namespace

TEST(InstanceDeparture, SurvivesARoundTrip)
{
    const InstanceDeparture departure{"i-1", 1700, 1800};
    EXPECT_EQ(decodeDeparture(encodeDeparture(departure)), departure);
    EXPECT_FALSE(decodeDeparture(encodeDeparture({"", 1700, 1800})));
}

TEST(InstanceDeparture, CoversLateReportsOfTheStartThatDepartedAndOfEarlierOnes)
{
    const InstanceDeparture departure{"i-2", 1700, 1800};
    EXPECT_TRUE(covers(departure, reportOf("i-2", 1700)));
    EXPECT_TRUE(covers(departure, reportOf("i-2", 0))) << "a health check names no start";
    EXPECT_TRUE(covers(departure, reportOf("i-1", 1600))) << "two departures in a row";
    EXPECT_FALSE(covers(departure, reportOf("i-2", 1900))) << "the same id again";
    EXPECT_FALSE(covers(departure, reportOf("i-3", 1900)));
    EXPECT_FALSE(covers(departure, reportOf("i-3", 0)));
}

TEST(InstanceDeparture, TellsAnEarlierStartFromTheOneThatDeparted)
{
    const InstanceDeparture departure{"i-2", 1700, 1800};
    EXPECT_TRUE(isOfEarlierStart(departure, reportOf("i-1", 1600)));
    EXPECT_TRUE(isOfEarlierStart(departure, reportOf("i-2", 1600)));
    EXPECT_FALSE(isOfEarlierStart(departure, reportOf("i-2", 1700)));
    EXPECT_FALSE(isOfEarlierStart(departure, reportOf("i-2", 0)));
    EXPECT_FALSE(isOfEarlierStart(departure, reportOf("i-3", 1900)));
}

RC_GTEST_PROP(InstanceDeparture, RejectsArbitraryText, (const std::string &text))
{
    RC_ASSERT(!decodeDeparture(text));
}

} // namespace jasminelatch::mesh
