#include "instance_reports.hpp"

#include <jasminelatch/mesh/instance_departure.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <span>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

TEST(InstanceDepartures, SurviveARoundTrip)
{
    const std::vector<InstanceDeparture> departures{{"i-1", 1700, 1800}, {"i-2", 0, 1900}, {"i-1", 2000, 2100}};
    EXPECT_EQ(decodeDepartures(encodeDepartures(departures)), departures);
    EXPECT_EQ(decodeDepartures(encodeDepartures(std::span{departures}.first(1))), std::vector{departures.front()});
    EXPECT_FALSE(decodeDepartures(encodeDepartures(std::vector{InstanceDeparture{"", 1700, 1800}})));
}

TEST(InstanceDepartures, AreReadAsAnEarlierBuildWroteThem)
{
    const auto *text = R"({"instance":"i-1","instanceStartMs":1700,"recordedMs":1800})";
    EXPECT_EQ(decodeDepartures(text), (std::vector<InstanceDeparture>{{"i-1", 1700, 1800}}));
}

TEST(InstanceDepartures, ShowTheLatestOneToAnEarlierBuild)
{
    const auto json = nlohmann::json::parse(
        encodeDepartures(std::vector<InstanceDeparture>{{"i-1", 1700, 1800}, {"i-2", 1900, 2000}}));
    EXPECT_EQ(json.at("instance"), "i-2");
    EXPECT_EQ(json.at("instanceStartMs"), 1900);
    EXPECT_EQ(json.at("recordedMs"), 2000);
}

TEST(InstanceDepartures, CoverLateReportsOfEachStartThatDepartedAndOfNoOther)
{
    InstanceDepartures departures{{}};
    EXPECT_FALSE(departures.contains(reportOf("i-2", 1700)));
    departures.add({"i-2", 1700, 1800});
    departures.add({"i-1", 1600, 1900});
    EXPECT_TRUE(departures.contains(reportOf("i-2", 1700)));
    EXPECT_TRUE(departures.contains(reportOf("i-1", 1600)));
    EXPECT_TRUE(departures.contains(reportOf("i-2", 0))) << "a health check names no start";
    EXPECT_FALSE(departures.contains(reportOf("i-2", 1900))) << "the same id again";
    EXPECT_FALSE(departures.contains(reportOf("i-3", 1900)));
    EXPECT_FALSE(departures.contains(reportOf("i-3", 0)));
}

TEST(InstanceDepartures, TellAStartThatMayHaveEndedFromALaterOne)
{
    InstanceDepartures departures{{}};
    departures.add({"i-2", 1700, 1800});
    EXPECT_TRUE(departures.mayPrecede(reportOf("i-1", 1600))) << "two departures in a row";
    EXPECT_TRUE(departures.mayPrecede(reportOf("i-2", 1600)));
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-2", 1700)));
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-2", 0)));
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-3", 1900)));
}

TEST(InstanceDepartures, ADepartureWithoutAStartMayBeOfAnyStartOfItsId)
{
    // Guards against a late report that is believed: the departed instance was known from a health check alone.
    InstanceDepartures departures{{}};
    departures.add({"i-2", 0, 1800});
    EXPECT_TRUE(departures.mayPrecede(reportOf("i-2", 1700)));
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-3", 1700)));
    departures.add({"i-2", 1700, 1900});
    EXPECT_TRUE(departures.contains(reportOf("i-2", 1700)));
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-2", 1750))) << "its start is known now";
    departures.add({"i-2", 0, 2000});
    EXPECT_FALSE(departures.mayPrecede(reportOf("i-2", 1750)));
}

TEST(InstanceDepartures, AreKeptInTheOrderOfTheirRecordsAndBounded)
{
    InstanceDepartures departures{{.maxCount = 3, .memoryMs = 1000}};
    departures.add({"i-2", 20, 2000});
    departures.add({"i-1", 10, 1500});
    departures.add({"i-2", 20, 2400});
    EXPECT_EQ(departures.entries().size(), 2U);
    EXPECT_EQ(departures.entries().back(), (InstanceDeparture{"i-2", 20, 2000})) << "as first recorded";
    departures.add({"i-3", 30, 2600});
    EXPECT_EQ(departures.entries().front().instanceId, "i-2") << "the other one is too old";
    departures.add({"i-4", 40, 2700});
    departures.add({"i-5", 50, 2800});
    EXPECT_EQ(departures.entries().size(), 3U);
    EXPECT_EQ(departures.entries().front().instanceId, "i-3");
}

RC_GTEST_PROP(InstanceDepartures, ArbitraryTextIsRejected, (const std::string &text))
{
    RC_ASSERT(!decodeDepartures(text));
}

} // namespace jasminelatch::mesh
