#include "test_node.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace jasminelatch::sidecar {

namespace {

/*! @brief An entry node and two nodes with instances of the requested service, each in a failure domain of its own. */
struct EvacuationTest: testing::Test {
    EvacuationTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        for (const auto *node : {&front, &first, &second}) {
            EXPECT_TRUE(
                loopback.runUntil([&] { return getFrom(loopback, node->settings.ready, "/v1/ready").status == 200; }));
            sendInstanceReport(loopback, *node, "ready", 1);
        }
        EXPECT_TRUE(loopback.runUntil([&] { return servedBy(first) && servedBy(second); }));
    }

    /*! @brief Returns whether one of several requests is served by the node's instance. */
    auto servedBy(const TestNode &node) -> bool
    {
        const auto before = node.instance.requests.size();
        for (auto count = 0; count < 12; ++count) {
            last = fetchAt(loopback, front, "/m/1", "k1");
        }
        return node.instance.requests.size() > before;
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    event::Endpoint frontStoreAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    test::PlatformStore::Address &frontStore{store.openAddress(frontStoreAt)};
    TestNode front{loopback, frontStoreAt, "front", "catalogue", "a", 30s};
    TestNode first{loopback, storeAt, "first", "orders", "b", 30s};
    TestNode second{loopback, storeAt, "second", "orders", "c", 30s};
    mesh::Answer last;
};

} // namespace

TEST_F(EvacuationTest, AnEvacuatedDomainGetsNoRequestsUntilItIsTakenBack)
{
    store.put("op/evacuate/b", base64("{}"));
    loopback.runFor(600ms);
    EXPECT_FALSE(servedBy(first));
    EXPECT_EQ(last.status, 200U);
    store.erase("op/evacuate/b");
    EXPECT_TRUE(loopback.runUntil([&] { return servedBy(first); }, 3s));
}

TEST_F(EvacuationTest, RequestsAreRefusedWhenAllDomainsOfAServiceAreEvacuated)
{
    store.put("op/evacuate/b", base64("{}"));
    store.put("op/evacuate/c", base64("{}"));
    loopback.runFor(600ms);
    EXPECT_FALSE(servedBy(first));
    EXPECT_FALSE(servedBy(second));
    EXPECT_EQ(last.status, 503U);
}

// The entry node hears of it from nobody: the node beside the instance alone must keep requests away.
TEST_F(EvacuationTest, ANodeThatIsCutOffFromTheStoreSendsNothingThere)
{
    frontStore.isUnavailable = true;
    store.put("op/evacuate/b", base64("{}"));
    loopback.runFor(600ms);
    EXPECT_FALSE(servedBy(first));
    EXPECT_EQ(last.status, 200U);
}

TEST_F(EvacuationTest, ANodeThatStartsDuringAnEvacuationKnowsOfIt)
{
    store.put("op/evacuate/b", base64("{}"));
    loopback.runFor(600ms);
    const TestNode late{loopback, storeAt, "late", "orders", "b", 30s};
    ASSERT_TRUE(loopback.runUntil([&] { return getFrom(loopback, late.settings.ready, "/v1/ready").status == 200; }));
    sendInstanceReport(loopback, late, "ready", 1);
    EXPECT_FALSE(servedBy(late));
    EXPECT_EQ(last.status, 200U);
}

TEST_F(EvacuationTest, ASetThatAnOlderCopyOfTheStoreShowsReplacesTheKnownOne)
{
    store.put("op/evacuate/b", base64("{}"));
    store.keepCopy();
    store.erase("op/evacuate/b");
    store.put("op/evacuate/c", base64("{}"));
    EXPECT_TRUE(loopback.runUntil([&] { return servedBy(first); }, 3s));
    store.down = true;
    loopback.runFor(300ms);
    store.restore();
    store.down = false;
    EXPECT_TRUE(loopback.runUntil([&] { return servedBy(second); }, 5s));
    EXPECT_FALSE(servedBy(first));
}

TEST_F(EvacuationTest, AnUnreadableItemOfTheOperatorIsIgnored)
{
    store.put("op/evacuate/", base64("{}"));
    store.put("op/evacuated", base64("{}"));
    store.put("op/evacuate/x/y", "?");
    loopback.runFor(600ms);
    EXPECT_TRUE(servedBy(first));
    EXPECT_TRUE(servedBy(second));
}

} // namespace jasminelatch::sidecar
