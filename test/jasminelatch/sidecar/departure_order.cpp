#include "departure_fixture.hpp"

#include <gtest/gtest.h>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Departures that arrive in another order than the starts that they end, or of starts that are not known. */
struct DepartureOrderTest: DepartureTest {
    /*! @brief The next instance takes over, and leaves before any of its reports has arrived. */
    auto leaveUnheard(const std::string &id, const int startTimeMs) -> void
    {
        back->node->instance.id = id;
        back->node->instance.status = 503;
        EXPECT_EQ(deregister(id, startTimeMs).status, 200U);
    }

    /*! @brief Expects that a late report does not put the given start into use, and that the next instance is used. */
    auto expectLeft(const std::string &id, const int startTimeMs) -> void
    {
        EXPECT_EQ(reportAs(id, "ready", 1, startTimeMs).status, 200U);
        loopback.runFor(300ms);
        expectUnused(id);
        expectUsed("i-third", 1900);
    }
};

} // namespace

TEST_F(DepartureOrderTest, ADepartureThatOvertakesTheFirstReportHolds)
{
    // Guards against DRAIN of review/7: a departure of a start that the node did not know was acknowledged and dropped.
    EXPECT_EQ(deregister().status, 200U);
    leaveUnheard("i-next", 1800);
    expectLeft("i-next", 1800);
}

TEST_F(DepartureOrderTest, ADepartureThatOvertakesTheFirstReportHoldsWhereTheFormerInstanceHasCrashed)
{
    // Guards against DRAIN of review/7 where the record holds an instance that never left.
    leaveUnheard("i-next", 1800);
    expectLeft("i-next", 1800);
}

TEST_F(DepartureOrderTest, ADepartureHoldsAgainstLateReportsOfAnEarlierStartOfItsId)
{
    // Guards against DRAIN after a crash: requests name the id alone, and the start that crashed had not departed.
    EXPECT_EQ(deregister().status, 200U);
    leaveUnheard("i-next", 1900);
    EXPECT_EQ(reportAs("i-next", "ready", 1, 1800).status, 200U);
    expectUnused("i-next");
    expectUsed("i-next", 2000);
}

TEST_F(DepartureOrderTest, ADepartureThatOvertakesTheFirstReportOutlastsAKillOfTheNode)
{
    // Guards against DRAIN of review/7 after a kill: the departure was not in the store when it was acknowledged.
    EXPECT_EQ(deregister().status, 200U);
    leaveUnheard("i-next", 1800);
    startBack();
    back->node->instance.status = 503;
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
    loopback.runFor(300ms);
    expectLeft("i-next", 1800);
}

TEST_F(DepartureOrderTest, SeveralDeparturesInARowOutlastTwoKillsOfTheNode)
{
    // Guards against DRAIN of review/7: only the latest of several departures was kept, in the order of arrival.
    EXPECT_EQ(deregister().status, 200U);
    leaveUnheard("i-second", 1600);
    startBack();
    // It arrives before the process has heard from the store.
    leaveUnheard("i-third", 1500);
    loopback.runFor(700ms);
    startBack();
    back->node->instance.status = 503;
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
    loopback.runFor(300ms);
    for (const auto &[id, startTimeMs] : {std::pair{"i-back", 1700}, {"i-second", 1600}, {"i-third", 1500}}) {
        EXPECT_EQ(reportAs(id, "ready", 9, startTimeMs).status, 200U);
        loopback.runFor(100ms);
        expectUnused(id);
    }
    keepReporting("i-second", 1600);
    expectUnused("i-second");
    expectUsed("i-fourth", 1800);
}

TEST_F(DepartureOrderTest, ADepartureOfAStartThatSeemsToPrecedeTheLatestHolds)
{
    // Guards against DRAIN of review/7 after a step back of the clock: late reports, each after a pause, were believed.
    leaveUnheard("i-next", 1600);
    keepReporting("i-next", 1600);
    expectUnused("i-next");
    expectUsed("i-third", 1800);
}

TEST_F(DepartureOrderTest, ARepeatedDepartureIsAcknowledgedAndCostsNoWrite)
{
    leaveUnheard("i-next", 1800);
    EXPECT_EQ(deregister("i-next", 1800).status, 200U) << "sent again, as if the first acknowledgement was lost";
    loopback.runFor(500ms);
    const auto metrics = getFrom(loopback, back->node->settings.metrics, "/metrics").body.text();
    EXPECT_NE(metrics.find("jasminelatch_store_keep_total 1\n"), std::string::npos) << metrics;
}

TEST_F(DepartureOrderTest, ADepartureOfAnUnknownStartThatTheStoreDoesNotTakeIsNotAcknowledged)
{
    // Guards against an acknowledgement of what does not outlast the node.
    store.down = true;
    EXPECT_EQ(deregister("i-next", 1800).status, 503U);
    EXPECT_EQ(reportAs("i-next", "ready", 1, 1800).status, 200U);
    expectUnused("i-next");
    store.down = false;
    EXPECT_TRUE(loopback.runUntil([&] { return deregister("i-next", 1800).status == 200; }, 2s));
}

TEST_F(DepartureOrderTest, ALateDepartureOfAnEarlierStartDoesNotRemoveTheOneThatRuns)
{
    // The sound case: the departure of the former start arrives after the next one was used, with the same id or not.
    expectUsed("i-next", 1800);
    EXPECT_EQ(deregister().status, 200U);
    EXPECT_EQ(fetch().body, "from i-next");
    expectUsed("i-next", 1900);
    EXPECT_EQ(deregister("i-next", 1800).status, 200U);
    EXPECT_EQ(fetch().body, "from i-next");
    EXPECT_EQ(reportAs("i-next", "draining", 9, 1800).status, 200U);
    EXPECT_EQ(fetch().body, "from i-next");
}

TEST_F(DepartureOrderTest, ADepartureAfterAStepBackStopsRequestsToItsId)
{
    // Guards against DRAIN after a step back of the clock: an instance started again under its id with a lower start,
    // and its departure was acknowledged and dropped as one of an earlier start.
    leaveUnheard("i-back", 1600);
    loopback.runFor(100ms);
    expectUnused("i-back");
    EXPECT_EQ(reportAs("i-back", "ready", 1, 1600).status, 200U);
    EXPECT_EQ(reportAs("i-back", "ready", 2, 1700).status, 200U) << "of the start before it, which has ended";
    loopback.runFor(100ms);
    expectUnused("i-back");
    expectUsed("i-back", 1800);
}

TEST_F(DepartureOrderTest, ADepartureAfterAStepBackOfAStartThatHasReportedStopsRequestsToItsId)
{
    // Guards against the same where reports of the start arrived, which may have been late by their time.
    EXPECT_EQ(reportAs("i-back", "ready", 1, 1600).status, 200U);
    leaveUnheard("i-back", 1600);
    loopback.runFor(100ms);
    expectUnused("i-back");
}

TEST_F(DepartureOrderTest, AnInstanceThatRunsIsConfirmedAfterALateDepartureOfAnEarlierStart)
{
    // The sound case beside it: a process that has not heard of the earlier start gets its departure late.
    startBack();
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
    EXPECT_EQ(report("ready", 5).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 200; }, 12s));
    EXPECT_EQ(deregister("i-back", 1600).status, 200U);
    loopback.runFor(50ms);
    EXPECT_EQ(fetch().body, "from i-back") << "its health check answers";
    back->node->instance.status = 503;
    EXPECT_EQ(deregister("i-back", 1500).status, 200U);
    loopback.runFor(50ms);
    expectUnused("i-back");
    back->node->instance.status = 200;
    EXPECT_EQ(report("ready", 6).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-back"; }, 3s));
}

TEST_F(DepartureOrderTest, ALateDepartureDoesNotRemoveAnInstanceThatRunsSinceAStepBack)
{
    // Guards against a running instance that is removed: the departure of the start before it has the later time.
    const auto *id = "i-next";
    for (const auto startTimeMs : {1600, 1500}) {
        // First another id, then the same id again.
        back->node->instance.id = id;
        keepReporting(id, startTimeMs);
        EXPECT_EQ(fetch().body, "from i-next");
        const auto *former = startTimeMs == 1600 ? "i-back" : id;
        EXPECT_EQ(reportAs(former, "draining", 9, startTimeMs + 100).status, 200U);
        EXPECT_EQ(fetch().body, "from i-next");
        EXPECT_EQ(deregister(former, startTimeMs + 100).status, 200U);
        EXPECT_EQ(reportAs(former, "ready", 8, startTimeMs + 100).status, 200U);
        loopback.runFor(100ms);
        EXPECT_EQ(fetch().body, "from i-next");
    }
    EXPECT_EQ(deregister(id, 1500).status, 200U);
    expectUnused(id);
}

TEST_F(DepartureOrderTest, ALateReportIsHeldUntilTheStoreAnswersAlsoAfterADeparture)
{
    // Guards against DRAIN while the store is away: once any departure had been reported to a new process, it believed
    // late reports of an instance whose departure it did not know yet.
    EXPECT_EQ(deregister().status, 200U);
    leaveUnheard("i-next", 1800);
    auto &storeOfBack = startBackApart();
    back->node->instance.id = "i-next";
    back->node->instance.status = 503;
    EXPECT_EQ(deregister().status, 503U) << "sent again";
    for (auto sequence = 1; sequence < 3; ++sequence) {
        EXPECT_EQ(reportAs("i-next", "ready", sequence, 1800).status, 200U);
        loopback.runFor(1500ms);
        expectUnused("i-next");
    }
    storeOfBack.isReadOnly = false;
    loopback.runFor(2s);
    expectUnused("i-next");
    expectUsed("i-third", 1900);
}

TEST_F(DepartureOrderTest, AStartThatKeepsReportingIsUsedWhileTheStoreIsAway)
{
    // The sound case beside it: the next instance starts, the store is still away, and the node knows no health path.
    EXPECT_EQ(deregister().status, 200U);
    startBackApart().isUnavailable = true;
    back->node->instance.id = "i-next";
    EXPECT_EQ(deregister().status, 503U);
    keepReporting("i-next", 1800);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-next"; }, 6s));
}

TEST_F(DepartureOrderTest, AHealthyStartIsUsedWhileTheStoreTakesNoWrites)
{
    // The sound case beside it where a health check tells that the next instance runs.
    EXPECT_EQ(deregister().status, 200U);
    startBackApart();
    back->node->instance.id = "i-next";
    EXPECT_EQ(deregister().status, 503U);
    loopback.runFor(1200ms);
    EXPECT_EQ(reportAs("i-next", "ready", 1, 1800).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-next"; }, 12s));
    EXPECT_EQ(reportAs("i-next", "ready", 2, 1800).status, 200U);
    loopback.runFor(100ms);
    EXPECT_EQ(fetch().body, "from i-next");
}

TEST_F(DepartureOrderTest, AStartAfterAStepBackIsNotRemovedWhenTheStoreTellsOfALaterDeparture)
{
    // Guards against a running instance that is marked as leaving for good once the store can be reached.
    EXPECT_EQ(deregister().status, 200U);
    auto &storeOfBack = startBackApart();
    back->node->instance.id = "i-next";
    EXPECT_EQ(reportAs("i-next", "ready", 1, 1600).status, 200U);
    ASSERT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-next"; }, 12s)) << "its health check answers";
    EXPECT_EQ(reportAs("i-next", "ready", 2, 1600).status, 200U);
    storeOfBack.isReadOnly = false;
    loopback.runFor(4s);
    EXPECT_EQ(fetch().body, "from i-next");
}

TEST_F(DepartureOrderTest, AnotherStartOfAnIdIsNotRemovedWhenTheStoreTellsOfItsDeparture)
{
    // Guards against the same where a health check, which names no start, has shown the instance.
    EXPECT_EQ(deregister().status, 200U);
    auto &storeOfBack = startBackApart();
    EXPECT_EQ(report("ready", 1, 1800).status, 200U);
    ASSERT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-back"; }, 12s)) << "its health check answers";
    storeOfBack.isReadOnly = false;
    loopback.runFor(4s);
    EXPECT_EQ(fetch().body, "from i-back");
    EXPECT_EQ(report("ready", 2, 1800).status, 200U);
    EXPECT_EQ(fetch().body, "from i-back");
}

TEST_F(DepartureOrderTest, ADepartureThatAnEarlierProcessHasRecordedIsWrittenAgainAfterARestoration)
{
    // Guards against DRAIN after a restoration of the store from an older copy and a kill: only the process that had
    // recorded a departure wrote it again.
    store.keepCopy();
    EXPECT_EQ(deregister().status, 200U);
    startBack();
    back->node->instance.status = 503;
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
    loopback.runFor(300ms);
    store.restore();
    ASSERT_FALSE(store.find("jasminelatch/departures/back"));
    EXPECT_TRUE(loopback.runUntil([&] { return store.find("jasminelatch/departures/back").has_value(); }, 4s));
    startBack();
    back->node->instance.status = 503;
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
    loopback.runFor(300ms);
    EXPECT_EQ(report("ready", 9).status, 200U);
    expectUnused("i-back");
}

} // namespace jasminelatch::sidecar
