#include "test_node.hpp"

#include <gtest/gtest.h>

namespace jasminelatch::sidecar {

namespace {

/*! @brief A node that receives client requests, and a node beside an instance whose event loop can be suspended. */
struct SilenceTest: testing::Test {
    SilenceTest()
    {
        store.put("op/config", base64(withTimeout(plainConfiguration("0000000c", R"("k1")"), "5s")));
        suspendable.runWith(loopback);
        EXPECT_TRUE(loopback.runUntil([&] { return ready(front) && ready(slow); }));
        EXPECT_EQ(sendInstanceReport(loopback, slow, "ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, front, "/m/1", "k1").status == 200; }));
    }

    static auto withTimeout(std::string text, const std::string &timeout) -> std::string
    {
        for (const std::string old : {R"("timeout":"1s")", R"("timeout":"600ms")"}) {
            text.replace(text.find(old), old.size(), R"("timeout":")" + timeout + '"');
        }
        return text;
    }

    auto ready(const TestNode &machine) -> bool
    {
        return getFrom(loopback, machine.settings.ready, "/v1/ready").status == 200;
    }

    Loopback loopback;
    SuspendableLoopback suspendable;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue"};
    TestNode slow{suspendable, storeAt, "slow", "orders"};
};

} // namespace

TEST_F(SilenceTest, ANonIdempotentRequestWaitsWhileItsNodeIsSilent)
{
    slow.instance.answersAtOnce = false;
    const auto before = slow.instance.requests.size();
    RawClient client{loopback, front.settings.callers};
    client.stream.write("POST /o/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: order\r\nAuthorization: Bearer k1\r\n"
                        "Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nab");
    ASSERT_TRUE(loopback.runUntil([&] { return slow.instance.requests.size() > before; }));
    suspendable.isSuspended = true;
    loopback.runFor(1700ms);
    EXPECT_EQ(client.received, "") << "the node is only suspended and may still reply";
    suspendable.isSuspended = false;
    loopback.runFor(100ms);
    slow.instance.answer(slow.instance.requests.size() - 1);
    EXPECT_TRUE(loopback.runUntil([&] { return client.received.find("from i-slow") != std::string::npos; }, 2s))
        << client.received;
    EXPECT_EQ(slow.instance.requests.size(), before + 1);
}

} // namespace jasminelatch::sidecar
