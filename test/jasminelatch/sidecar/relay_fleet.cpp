#include "test_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Fleet too large for direct reports, in two failure domains; every third node has an instance of the requested
 * service.
 *
 * The first node is a relay with a separate event loop, so that it can be suspended.
 */
struct RelayFleetTest: testing::Test {
    RelayFleetTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        for (auto index = 0; index < nodeCount; ++index) {
            const auto name = "vm" + std::to_string(10 + index);
            const auto *service = index % 3 == 0 ? "orders" : "catalogue";
            const auto *domain = index % 2 == 0 ? "a" : "b";
            auto &loop = index == 0 ? ownLoopback : loopback;
            nodes.push_back(std::make_unique<TestNode>(loop, storeAt, name, service, domain, 5s));
        }
        ownLoopback.runWith(loopback);
        EXPECT_TRUE(loopback.runUntil([&] { return relayCount() == relays && peersOfAll(nodeCount - 1); }, 10s));
        for (const auto &node : nodes) {
            sendInstanceReport(loopback, *node, "ready", 1);
        }
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, leaf(), "/m/1", "k1").status == 200; }));
    }

    [[nodiscard]] auto metric(const TestNode &node, const std::string &name) -> double
    {
        const auto text = getFrom(loopback, node.settings.metrics, "/metrics").body.text();
        const auto line = "\njasminelatch_" + name + " ";
        const auto at = text.find(line);
        return at == std::string::npos ? -1.0 : std::stod(text.substr(at + line.size()));
    }

    auto relayCount() -> int
    {
        return static_cast<int>(
            std::ranges::count_if(nodes, [&](const auto &node) { return metric(*node, "relay") > 0.5; }));
    }

    auto peersOfAll(const int count) -> bool
    {
        return std::ranges::all_of(nodes, [&](const auto &node) { return metric(*node, "peers") == count; });
    }

    /*! @brief Returns a node that is not a relay and has no instance of the requested service. */
    auto leaf() -> TestNode & { return *nodes.back(); }

    static constexpr int nodeCount = 18;
    static constexpr int relays = 4;

    Loopback loopback;
    SuspendableLoopback ownLoopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    std::vector<std::unique_ptr<TestNode>> nodes;
};

} // namespace

TEST_F(RelayFleetTest, ANodeThatDoesNotWatchTheStoreReceivesConfigurationsInTime)
{
    store.put("op/config", configuration("0000000d", R"("k2")"));
    // The platform allows two seconds.
    EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, leaf(), "/m/1", "k2").status == 200; }, 2s));
    EXPECT_EQ(fetchAt(loopback, leaf(), "/m/1", "k1").status, 401U);
}

TEST_F(RelayFleetTest, ANodeThatDoesNotWatchTheStoreHearsOfAnEvacuation)
{
    store.put("op/evacuate/a", base64("{}"));
    EXPECT_TRUE(loopback.runUntil([&] { return metric(leaf(), "evacuated_domains") == 1; }, 5s));
    store.erase("op/evacuate/a");
    EXPECT_TRUE(loopback.runUntil([&] { return metric(leaf(), "evacuated_domains") == 0; }, 5s));
}

TEST_F(RelayFleetTest, AConfigurationWhoseRevisionARestoredStoreGivesOutAgainIsInForceAtAllNodesInTime)
{
    for (const std::string round : {"1", "2"}) {
        store.keepCopy();
        store.put("op/other", base64("x"));
        store.put("op/config", configuration("000000" + round + "2", R"("k2")"));
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, leaf(), "/m/1", "k2").status == 200; }, 2s));
        store.down = true;
        loopback.runFor(500ms);
        store.restore();
        store.down = false;
        // The operator writes again what the store has lost; its next change gets the revision of the lost one.
        store.put("op/config", configuration("000000" + round + "2", R"("k2")"));
        loopback.runFor(1s);
        store.put("op/config", configuration("000000" + round + "3", R"("k1")"));
        const auto isInForce = [&](const auto &node) {
            return fetchAt(loopback, *node, "/m/1", "k2").status == 401;
        };
        EXPECT_TRUE(loopback.runUntil([&] { return std::ranges::all_of(nodes, isInForce); }, 2s)) << round;
        EXPECT_EQ(fetchAt(loopback, leaf(), "/m/1", "k1").status, 200U) << round;
    }
}

TEST_F(RelayFleetTest, OnlyRelaysPollTheStore)
{
    loopback.runFor(3s);
    const auto callsBefore = store.calls - store.renewals;
    const auto time = 10s;
    loopback.runFor(time);
    const auto calls = static_cast<double>(store.calls - store.renewals - callsBefore);
    // The first relay polls once a second, and each node lists records at intervals of at least 7.5 s once it has
    // started.
    EXPECT_LT(calls, 12.0 + 2.0 * nodeCount);
}

TEST_F(RelayFleetTest, ACapHoldsAcrossNodesThatDoNotReportToEachOther)
{
    store.put("op/config", configuration("0000000d", R"("k1")", R"(,"rate-per-s":0.1,"burst":100)"));
    loopback.runFor(1s);
    auto admitted = 0;
    for (auto round = 0; round < 20; ++round) {
        for (const auto &node : nodes) {
            admitted += fetchAt(loopback, *node, "/m/1", "k1").status == 200 ? 1 : 0;
        }
    }
    // A token bucket starts with 0.3 of the burst.
    EXPECT_GE(admitted, 28);
    // Rate x 5 s plus the burst, a tenth of both, and an excess of 20.
    EXPECT_LE(admitted, 130);
}

TEST_F(RelayFleetTest, NodesOfASuspendedRelaySwitchToAnotherRelay)
{
    ownLoopback.isSuspended = true;
    const std::span others{nodes.begin() + 1, nodes.end()};
    loopback.runFor(2500ms);
    store.put("op/config", configuration("0000000d", R"("k2")"));
    EXPECT_TRUE(loopback.runUntil(
        [&] {
            return std::ranges::all_of(
                others, [&](const auto &node) { return fetchAt(loopback, *node, "/m/1", "k2").status == 200; });
        },
        2s));
    const auto relayNow = [&](const auto &node) {
        return metric(*node, "relay") > 0.5;
    };
    EXPECT_TRUE(loopback.runUntil([&] { return std::ranges::count_if(others, relayNow) == relays; }));
    ownLoopback.isSuspended = false;
    EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, *nodes.front(), "/m/1", "k2").status == 200; }, 4s));
}

TEST_F(RelayFleetTest, AllNodesLearnOfInstancesThatLeaveAndJoin)
{
    for (const auto &node : nodes) {
        if (node->settings.service == "orders") {
            sendInstanceReport(loopback, *node, "draining", 2);
        }
    }
    EXPECT_EQ(fetchAt(loopback, leaf(), "/m/1", "k1").status, 503U);
    TestNode late{loopback, storeAt, "vm99", "orders", "b"};
    ASSERT_TRUE(loopback.runUntil([&] { return metric(late, "peers") == nodeCount; }));
    sendInstanceReport(loopback, late, "ready", 1);
    EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, leaf(), "/m/1", "k1").body == "from i-vm99"; }, 2s));
}

} // namespace jasminelatch::sidecar
