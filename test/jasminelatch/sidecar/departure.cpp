#include "departure_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminelatch::sidecar {

TEST_F(DepartureTest, ADepartureOutlastsAPlannedStopOfTheNode)
{
    // Guards against DRAIN of review/2: a planned stop removed the only trace of the departure.
    EXPECT_EQ(deregister().status, 200U);
    back->node->node.stop();
    loopback.runFor(3s);
    startBack();
    expectGone();
}

TEST_F(DepartureTest, ADepartureOutlastsTwoKillsOfTheNode)
{
    // Guards against DRAIN of review/2 after two kills: the first new process forgot what the one before it had known.
    EXPECT_EQ(deregister().status, 200U);
    startBack();
    loopback.runFor(700ms);
    startBack();
    expectGone();
}

TEST_F(DepartureTest, ADepartureOutlastsAKillAndAPlannedStop)
{
    // Guards against DRAIN of review/2 after a kill and a stop in a row.
    EXPECT_EQ(report("draining", 2).status, 200U);
    startBack();
    loopback.runFor(700ms);
    back->node->node.stop();
    loopback.runFor(3s);
    startBack();
    expectGone();
}

TEST_F(DepartureTest, ADepartureIsInTheStoreWhenItIsAcknowledged)
{
    // Guards against DRAIN of review/2 after a kill right after the acknowledgement.
    EXPECT_EQ(deregister().status, 200U);
    EXPECT_TRUE(store.find("jasminelatch/departures/back"));
    startBack();
    expectGone();
}

TEST_F(DepartureTest, ADepartureCostsOneWriteOfTheStore)
{
    EXPECT_EQ(deregister().status, 200U);
    EXPECT_EQ(deregister().status, 200U) << "sent again, as if the first acknowledgement was lost";
    loopback.runFor(500ms);
    const auto metrics = getFrom(loopback, back->node->settings.metrics, "/metrics").body.text();
    EXPECT_NE(metrics.find("jasminelatch_store_keep_total 1\n"), std::string::npos) << metrics;
}

TEST_F(DepartureTest, ADepartureThatTheStoreDoesNotTakeIsNotAcknowledged)
{
    // Guards against DRAIN of review/2 while the store is away.
    store.down = true;
    const auto start = loopback.clock.now();
    EXPECT_EQ(deregister().status, 503U);
    EXPECT_LT(loopback.clock.now() - start, 1s) << "an instance waits no longer";
    const auto before = requestsOf("/m/1");
    EXPECT_EQ(fetch().status, 503U);
    EXPECT_EQ(requestsOf("/m/1"), before) << "it gets no further requests all the same";
    store.down = false;
    EXPECT_TRUE(loopback.runUntil([&] { return deregister().status == 200; }, 2s));
    startBack();
    expectGone();
}

TEST_F(DepartureTest, ALateReportIsNotBelievedBeforeTheStoreHasAnswered)
{
    // Guards against DRAIN of review/2 where the next process starts while the store is away.
    EXPECT_EQ(deregister().status, 200U);
    store.down = true;
    startBack(true);
    EXPECT_EQ(report("ready", 9).status, 200U);
    loopback.runFor(2500ms);
    EXPECT_EQ(report("ready", 10).status, 200U);
    loopback.runFor(300ms);
    EXPECT_EQ(fetchAt(loopback, front, "/o/1", "k1").status, 503U);
    EXPECT_EQ(requestsOf("/o/1"), 0) << "only health checks reach it";
    store.down = false;
    back->node->instance.status = 200;
    back->node->instance.extraFields.clear();
    expectGone();
}

TEST_F(DepartureTest, AnInstanceIsUsedWhileTheStoreIsAway)
{
    // The departure that the store may hold is not known, but the instance itself says that it is healthy.
    loopback.runFor(500ms);
    const auto otherStoreAt = Loopback::freeEndpoint();
    auto &otherStore = store.openAddress(otherStoreAt);
    otherStore.isUnavailable = true;
    const TestNode other{loopback, otherStoreAt, "other", "orders"};
    store.put("jasminelatch/nodes/other",
              base64(mesh::encodeMember({"other", 1, other.settings.peers, "a", "orders", "", 0, false, {}})));
    EXPECT_EQ(report("draining", 2).status, 200U);
    EXPECT_EQ(sendInstanceReport(loopback, other, "ready", 1).status, 200U);
    loopback.runFor(2s);
    EXPECT_EQ(sendInstanceReport(loopback, other, "ready", 2).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-other"; }, 12s));
}

TEST_F(DepartureTest, AnInstanceWhoseHealthCheckSaysThatItLeavesIsNotUsedAfterALateReport)
{
    // Guards against DRAIN of review/2: a statement to leave was dropped while no report had named the instance.
    EXPECT_EQ(report("draining", 2).status, 200U);
    SuspendableLoopback otherLoop;
    otherLoop.runWith(loopback);
    TestNode other{otherLoop, storeAt, "other", "orders"};
    other.instance.status = 503;
    other.instance.extraFields = {{"Server-Leaving", "1"}};
    ASSERT_TRUE(loopback.runUntil([&] { return other.instance.requests.size() == 1; })) << "health check";
    loopback.runFor(300ms);
    EXPECT_EQ(sendInstanceReport(loopback, other, "ready", 9).status, 200U);
    loopback.runFor(300ms);
    EXPECT_EQ(fetch().status, 503U);
    EXPECT_EQ(std::ranges::count(other.instance.requests, "/m/1", &mesh::Request::target), 0);
    other.instance.status = 200;
    other.instance.extraFields.clear();
    EXPECT_EQ(sendInstanceReport(loopback, other, "ready", 1, 1800).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-other"; }, 2s)) << "the next start is used";
}

} // namespace jasminelatch::sidecar
