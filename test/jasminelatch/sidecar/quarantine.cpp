#include "test_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Processes of all nodes: one that receives client requests and four beside instances of one service. */
struct NodeProcesses {
    explicit NodeProcesses(Loopback &outer, const event::Endpoint &store)
    {
        loop.runWith(outer);
        front = std::make_unique<TestNode>(loop, store, "front", "catalogue");
        for (const auto *name : {"back1", "back2", "back3", "back4"}) {
            backs.push_back(std::make_unique<TestNode>(loop, store, name, "orders"));
            backs.back()->instance.deadlyTarget = "/m/deadly";
        }
    }

    SuspendableLoopback loop;
    std::unique_ptr<TestNode> front;
    std::vector<std::unique_ptr<TestNode>> backs;
};

/*! @brief A fleet whose nodes all end at the same moment, and its store, which stays. */
struct QuarantineTest: testing::Test {
    QuarantineTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        startAll();
    }

    /*! @brief Starts all nodes; those that ran before end without a word. */
    auto startAll() -> void
    {
        if (fleet) {
            fleet->loop.isSuspended = true;
            fleet->front.reset();
            fleet->backs.clear();
            ended.push_back(std::move(fleet));
        }
        fleet = std::make_unique<NodeProcesses>(loopback, storeAt);
        ASSERT_TRUE(loopback.runUntil(
            [&] { return getFrom(loopback, fleet->front->settings.ready, "/v1/ready").status == 200; }));
        ++lastStart;
        for (const auto &back : fleet->backs) {
            sendInstanceReport(loopback, *back, "ready", 1, lastStart);
        }
        ASSERT_TRUE(loopback.runUntil([&] { return fetch("/m/1").status == 200; }));
        loopback.runFor(500ms);
    }

    auto fetch(const std::string &path) -> mesh::Answer { return fetchAt(loopback, *fleet->front, path, "k1"); }

    /*! @brief Sends the request that crashes instances, which start again after it. */
    auto sendDeadly(const int count) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            lastStatus = fetch("/m/deadly").status;
            for (const auto &back : fleet->backs) {
                if (!back->instance.server) {
                    back->instance.start();
                    sendInstanceReport(loopback, *back, "ready", 1, ++lastStart);
                }
            }
            loopback.runFor(50ms);
        }
    }

    [[nodiscard]] auto crashes() const -> std::ptrdiff_t
    {
        std::ptrdiff_t runs{};
        for (const auto &back : fleet->backs) {
            runs += std::ranges::count(back->instance.requests, "/m/deadly", &mesh::Request::target);
        }
        return runs;
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    std::vector<std::unique_ptr<NodeProcesses>> ended;
    std::unique_ptr<NodeProcesses> fleet;
    int lastStart{1700};
    unsigned lastStatus{};
};

} // namespace

TEST_F(QuarantineTest, ARequestStaysQuarantinedAfterAllNodesAreKilled)
{
    // Guards against BUDGET of review/5: only the memory of nodes held what was known of a request that crashes
    // instances.
    sendDeadly(4);
    EXPECT_EQ(lastStatus, 503U);
    EXPECT_GE(crashes(), 2);
    loopback.runFor(500ms);
    for (auto round = 0; round < 2; ++round) {
        startAll();
        sendDeadly(4);
        EXPECT_EQ(lastStatus, 503U) << round;
        EXPECT_EQ(crashes(), 0) << round;
    }
    EXPECT_EQ(fetch("/m/1").status, 200U);
}

TEST_F(QuarantineTest, AQuarantineCostsFewWritesOfTheStore)
{
    sendDeadly(6);
    loopback.runFor(1s);
    auto writes = 0.0;
    for (const auto &back : fleet->backs) {
        const auto metrics = getFrom(loopback, back->settings.metrics, "/metrics").body.text();
        const std::string name = "jasminelatch_store_keep_total ";
        const auto at = metrics.find('\n' + name);
        writes += at == std::string::npos ? 0.0 : std::stod(metrics.substr(at + 1 + name.size()));
    }
    RecordProperty("writes", std::to_string(writes));
    EXPECT_GE(writes, 1.0);
    EXPECT_LE(writes, 2.0 * static_cast<double>(crashes())) << "two for each node beside a crashed instance";
}

TEST_F(QuarantineTest, ARequestStaysQuarantinedAfterAllNodesAreStopped)
{
    // Guards against BUDGET of review/5 after planned stops.
    sendDeadly(4);
    fleet->front->node.stop();
    for (const auto &back : fleet->backs) {
        back->node.stop();
    }
    loopback.runFor(3s);
    startAll();
    sendDeadly(4);
    EXPECT_EQ(crashes(), 0);
}

TEST_F(QuarantineTest, AQuarantineThatTheStoreHasLostIsWrittenAgain)
{
    // Guards against BUDGET of review/5 after the store has been replaced by an older copy.
    store.keepCopy();
    sendDeadly(4);
    loopback.runFor(500ms);
    store.restore();
    store.put("op/config", configuration("0000000c", R"("k1")"));
    loopback.runFor(4s);
    startAll();
    sendDeadly(4);
    EXPECT_EQ(crashes(), 0);
}

TEST_F(QuarantineTest, AQuarantineIsWrittenAgainAfterTheNodesThatWroteItHaveEnded)
{
    // Guards against BUDGET of review/5: after a kill of all nodes and a replaced store, nobody had recorded the
    // crashes.
    store.keepCopy();
    sendDeadly(4);
    loopback.runFor(500ms);
    startAll();
    store.restore();
    store.put("op/config", configuration("0000000c", R"("k1")"));
    loopback.runFor(4s);
    startAll();
    sendDeadly(4);
    EXPECT_EQ(crashes(), 0);
}

TEST_F(QuarantineTest, AQuarantineIsStoredOnceTheStoreIsBack)
{
    // Guards against BUDGET of review/5 where the store is away while the instances crash.
    store.down = true;
    sendDeadly(4);
    loopback.runFor(300ms);
    store.down = false;
    loopback.runFor(2s);
    startAll();
    sendDeadly(4);
    EXPECT_EQ(crashes(), 0);
}

} // namespace jasminelatch::sidecar
