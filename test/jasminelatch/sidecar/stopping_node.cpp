#include "test_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Order of a client that keeps its connection open until the answer. */
struct PendingOrder {
    PendingOrder(Loopback &loopback, const TestNode &at, std::string name)
        : attempt{std::move(name)}
        , client{loopback, at.settings.callers}
    {
        client.stream.write("POST /o/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt
                            + "\r\nAuthorization: Bearer k1\r\nContent-Length: 2\r\n\r\nab");
    }

    /*! @brief Returns whether it was answered with a status that begins like this. */
    [[nodiscard]] auto isAnswered(const std::string &status) const -> bool
    {
        return client.received.starts_with("HTTP/1.1 " + status)
            && client.received.find("\r\n\r\n") != std::string::npos;
    }

    std::string attempt;
    RawClient client;
};

/*! @brief A node that stops, and another one beside an instance with few slots. The grace period is 4 s. */
struct StoppingNodeTest: testing::Test {
    StoppingNodeTest()
    {
        store.put("op/config", base64(slowConfiguration()));
        frontLoop.runWith(loopback);
        backLoop.runWith(loopback);
        front = std::make_unique<TestNode>(frontLoop, storeAt, "front", "catalogue");
        EXPECT_TRUE(
            loopback.runUntil([&] { return getFrom(loopback, front->settings.ready, "/v1/ready").status == 200; }));
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, *front, "/m/1", "k1").status == 200; }));
        back.instance.answersAtOnce = false;
        back.instance.requests.clear();
        back.instance.responders.clear();
    }

    /*! @brief Returns a configuration with requests that may outlast the grace period, in the queue too. */
    static auto slowConfiguration() -> std::string
    {
        auto text = plainConfiguration("0000000c", R"("k1")");
        const std::string timeout = R"("timeout":"1s","target-latency":"1s")";
        text.replace(text.find(timeout), timeout.size(), R"("timeout":"8s","target-latency":"60s")");
        return text;
    }

    /*! @brief Sends as many orders as the instance runs at once. */
    auto fillSlots() -> void
    {
        for (auto count = 0U; count < slots; ++count) {
            orders.push_back(std::make_unique<PendingOrder>(loopback, *front, "running-" + std::to_string(count)));
        }
        ASSERT_TRUE(loopback.runUntil([&] { return back.instance.requests.size() == slots; }));
    }

    auto sendWaiting(const std::size_t count) -> void
    {
        for (std::size_t index = 0; index < count; ++index) {
            waiting.push_back(
                std::make_unique<PendingOrder>(loopback, *front, "waiting-" + std::to_string(waiting.size())));
        }
        loopback.runFor(200ms);
    }

    auto answerAll() -> void
    {
        for (std::size_t index = 0; index < back.instance.requests.size(); ++index) {
            back.instance.answer(index);
        }
    }

    [[nodiscard]] auto areWaitingAnswered(const std::string &status) const -> bool
    {
        return std::ranges::all_of(waiting, [&](const auto &order) { return order->isAnswered(status); });
    }

    /*! @brief Number of the 20 reported slots that a node uses. */
    static constexpr auto slots = 18U;

    Loopback loopback;
    SuspendableLoopback frontLoop;
    SuspendableLoopback backLoop;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode back{backLoop, storeAt, "back", "orders"};
    std::unique_ptr<TestNode> front;
    std::vector<std::unique_ptr<PendingOrder>> orders;
    std::vector<std::unique_ptr<PendingOrder>> waiting;
};

} // namespace

TEST_F(StoppingNodeTest, RequestsThatWaitBesideAnotherNodeAreAnsweredBeforeTheNodeEnds)
{
    // Guards against LOST of review/3: a stopped node cut off requests that were waiting for a slot.
    fillSlots();
    sendWaiting(2);
    front->node.stop();
    loopback.runFor(1s);
    sendWaiting(2);
    EXPECT_TRUE(loopback.runUntil([&] { return areWaitingAnswered("503"); }, 2300ms));
    for (const auto &order : waiting) {
        EXPECT_NE(order->client.received.find("Retry-After: "), std::string::npos) << order->attempt;
    }
    EXPECT_TRUE(std::ranges::none_of(orders, [](const auto &order) { return order->isAnswered(""); }))
        << "a request at which its instance is at work is not broken off early";
    answerAll();
    EXPECT_TRUE(loopback.runUntil(
        [&] { return std::ranges::all_of(orders, [](const auto &order) { return order->isAnswered("200"); }); },
        100ms));
    EXPECT_EQ(back.instance.requests.size(), slots) << "a request that was answered as not run does not run later";
}

TEST_F(StoppingNodeTest, RequestsBesideASilentNodeAreAnsweredBeforeTheNodeEnds)
{
    // Guards against LOST of review/3 where the other node does not reply any more.
    fillSlots();
    sendWaiting(2);
    backLoop.isSuspended = true;
    front->node.stop();
    EXPECT_TRUE(loopback.runUntil([&] { return areWaitingAnswered("502"); }, 3600ms));
}

TEST_F(StoppingNodeTest, RequestsThatWaitBesideAnotherNodeDoNotRunAfterTheirNodeIsKilled)
{
    // Guards against runs that nobody receives, seen in review/3 after the node's end.
    fillSlots();
    sendWaiting(2);
    frontLoop.isSuspended = true;
    front.reset();
    loopback.runFor(100ms);
    answerAll();
    loopback.runFor(300ms);
    EXPECT_EQ(back.instance.requests.size(), slots);
}

TEST_F(StoppingNodeTest, WaitingRequestsAreAnsweredWhenBothNodesStop)
{
    // Guards against LOST of review/3 where the node that holds the queue stops as well.
    fillSlots();
    sendWaiting(2);
    front->node.stop();
    back.node.stop();
    EXPECT_TRUE(loopback.runUntil([&] { return areWaitingAnswered("503"); }, 3500ms));
    EXPECT_EQ(back.instance.requests.size(), slots);
}

} // namespace jasminelatch::sidecar
