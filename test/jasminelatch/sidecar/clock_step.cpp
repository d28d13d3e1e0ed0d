#include "test_node.hpp"

#include <jasminelatch/mesh/instance_departure.hpp>
#include <jasminelatch/mesh/peer_message.hpp>
#include <jasminelatch/sidecar/wall_clock.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Time by which the clock was ahead when the earlier process or instance started. */
constexpr std::uint64_t stepMs = 5000;

/*! @brief Two nodes, one of which has an instance of the requested service, and the store. */
struct ClockStep: testing::Test {
    ClockStep()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        EXPECT_TRUE(loopback.runUntil([&] { return isReady(front) && isReady(back); }));
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 200; }));
    }

    auto isReady(const TestNode &node) -> bool
    {
        return getFrom(loopback, node.settings.ready, "/v1/ready").status == 200;
    }

    auto fetch() -> mesh::Answer { return fetchAt(loopback, front, "/m/1", "k1"); }

    /*! @brief Record of a process that started while the clock was ahead. */
    [[nodiscard]] static auto earlierRecord(const std::string &name, const event::Endpoint &address) -> mesh::Member
    {
        return {name, wallClockMilliseconds() + stepMs, address, "a", "orders", {}, 0, false, {}, 0, 0};
    }

    auto storeRecord(const mesh::Member &member) -> void
    {
        store.put("jasminelatch/nodes/" + member.name, base64(mesh::encodeMember(member)));
    }

    [[nodiscard]] auto storedIncarnation(const std::string &name) const -> std::uint64_t
    {
        const auto text = store.find("jasminelatch/nodes/" + name);
        std::string plain(text ? text->size() : 0, '\0');
        std::size_t size{};
        if (!text
            || sodium_base642bin(reinterpret_cast<unsigned char *>(plain.data()),
                                 plain.size(),
                                 text->data(),
                                 text->size(),
                                 nullptr,
                                 &size,
                                 nullptr,
                                 sodium_base64_VARIANT_ORIGINAL)
                   != 0) {
            return 0;
        }
        plain.resize(size);
        const auto member = mesh::decodeMember(plain);
        return member ? member->incarnation : 0;
    }

    auto peersOf(const TestNode &node) -> std::string
    {
        const auto text = getFrom(loopback, node.settings.metrics, "/metrics").body.text();
        const auto at = text.find("\njasminelatch_peers ");
        return at == std::string::npos ? "" : text.substr(at + 20, text.find('\n', at + 1) - at - 20);
    }

    /*! @brief Reports of a start of the instance, one a second; its id is that of `back.instance`. */
    auto keepReporting(const int count, const int startTimeMs) -> void
    {
        for (auto sequence = 1; sequence <= count; ++sequence) {
            EXPECT_EQ(sendInstanceReport(loopback, back, "ready", sequence, startTimeMs).status, 200U);
            loopback.runFor(1s);
        }
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue"};
    TestNode back{loopback, storeAt, "back", "orders"};
};

} // namespace

TEST_F(ClockStep, APeerThatKnowsAnEarlierProcessBelievesTheOneThatFollowedAStepBack)
{
    // Guards against a node that is ignored for as long as it runs: the process before it had the greater incarnation,
    // and its record left the store with a planned stop, so that only peers remember it.
    RawClient earlier{loopback, front.settings.peers};
    mesh::NodeReport report;
    report.name = "back";
    report.member = earlierRecord("back", back.settings.peers);
    report.incarnation = report.member->incarnation;
    report.session = report.incarnation;
    earlier.stream.write(mesh::encodeFrame(mesh::ReportMessage{report}, loopback.clock.now()));
    ASSERT_TRUE(loopback.runUntil([&] { return !earlier.received.empty(); }));
    earlier.stream.close();
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 200; }, 2s));
    EXPECT_GT(storedIncarnation("back"), report.incarnation);
    EXPECT_EQ(sendInstanceReport(loopback, back, "draining", 2).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 503; }, 1s)) << "later states count too";
}

TEST_F(ClockStep, ANodeIsBelievedAlthoughItsFormerRecordInTheStoreIsLater)
{
    // Guards against the same after a crash; here the record has another address.
    const auto former = earlierRecord("late", Loopback::freeEndpoint());
    storeRecord(former);
    ASSERT_TRUE(loopback.runUntil([&] { return peersOf(front) == "2"; }, 10s));
    const TestNode late{loopback, storeAt, "late", "orders"};
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(late); }));
    EXPECT_EQ(sendInstanceReport(loopback, late, "ready", 1).status, 200U);
    // The other instance answers some of the requests.
    auto wasUsed = false;
    EXPECT_TRUE(loopback.runUntil([&] { return wasUsed = wasUsed || fetch().body == "from i-late"; }, 4s));
    EXPECT_GT(storedIncarnation("late"), former.incarnation);
}

TEST_F(ClockStep, ANodeIsUsedAlthoughALostOneAtItsAddressStartedWithTheClockAhead)
{
    // Guards against a lost VM that supersedes the one which has taken over its address: their clocks differ.
    storeRecord(earlierRecord("ghost", back.settings.peers));
    const TestNode late{loopback, storeAt, "late", "catalogue"};
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(late); }));
    EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, late, "/m/1", "k1").body == "from i-back"; }, 4s));
}

TEST_F(ClockStep, AnInstanceThatStartedAfterAStepBackIsUsedOnceItKeepsReporting)
{
    // Guards against an instance that is never used: its start seems to precede that of the one before.
    EXPECT_EQ(sendInstanceReport(loopback, back, "draining", 2, 1700).status, 200U);
    back.instance.id = "i-next";
    EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 1, 1600).status, 200U);
    loopback.runFor(300ms);
    EXPECT_EQ(fetch().status, 503U) << "one report may be a late one";
    keepReporting(6, 1600);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-next"; }, 1s));
}

TEST_F(ClockStep, ANodeThatKnowsALaterDepartureUsesAnInstanceThatKeepsReporting)
{
    // Guards against the same after a restart of the node, which compares with the departure in the store.
    store.put(
        "jasminelatch/departures/late",
        base64(mesh::encodeDepartures(std::vector{mesh::InstanceDeparture{"i-old", 1700, wallClockMilliseconds()}})));
    const TestNode late{loopback, storeAt, "late", "orders"};
    ASSERT_TRUE(loopback.runUntil([&] { return isReady(late); }));
    EXPECT_EQ(sendInstanceReport(loopback, back, "draining", 2).status, 200U);
    for (auto sequence = 1; sequence <= 6; ++sequence) {
        EXPECT_EQ(sendInstanceReport(loopback, late, "ready", sequence, 1600).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from i-late"; }, 2s)) << "its health check answers";
        loopback.runFor(900ms);
    }
    EXPECT_EQ(sendInstanceReport(loopback, late, "draining", 7, 1600).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 503; }, 1s));
}

TEST_F(ClockStep, LateReportsOfAnEarlierStartDoNotReplaceTheInstanceThatReports)
{
    // The sound case beside it: both starts report, as after a partition.
    const auto id = back.instance.id;
    for (auto sequence = 2; sequence <= 7; ++sequence) {
        back.instance.id = "i-earlier";
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 90 + sequence, 1600).status, 200U);
        back.instance.id = id;
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", sequence, 1700).status, 200U);
        loopback.runFor(900ms);
        EXPECT_EQ(fetch().body, "from i-back");
    }
}

} // namespace jasminelatch::sidecar
