#include "test_node.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace jasminelatch::sidecar {

namespace {

/*! @brief A node beside an instance whose service states what cold instances tolerate. */
struct ColdInstanceTest: testing::Test {
    ColdInstanceTest()
    {
        auto text = plainConfiguration("0000000c", R"("k1")");
        const std::string spec = R"("max-connections":100)";
        text.insert(text.find(spec) + spec.size(), R"(,"cold-start":"3s","cold-per-s":2.0)");
        store.put("op/config", base64(text));
        EXPECT_TRUE(
            loopback.runUntil([&] { return getFrom(loopback, node.settings.ready, "/v1/ready").status == 200; }));
        report(1, 1700);
        EXPECT_TRUE(loopback.runUntil([&] { return !isLimited(); }));
    }

    auto report(const int sequence, const int startTimeMs, const std::string &coldLeft = "0ms") -> void
    {
        const nlohmann::json body{{"service", "orders"},
                                  {"slots", 20},
                                  {"state", "ready"},
                                  {"sequence", sequence},
                                  {"cold-left", coldLeft},
                                  {"born", startTimeMs}};
        EXPECT_EQ(sendTo(loopback,
                         node.settings.reports,
                         {"POST", "/v1/Instances.Heartbeat/" + node.instance.id, {{"Host", "x"}}, body.dump()})
                      .status,
                  200U);
    }

    /*! @brief Sends a burst of requests and returns whether most of them were kept from the instance. */
    auto isLimited() -> bool
    {
        const auto isRequest = [](const mesh::Request &request) {
            return request.target.starts_with("/m/");
        };
        const auto before = std::ranges::count_if(node.instance.requests, isRequest);
        for (auto count = 0; count < 12; ++count) {
            sendTo(loopback,
                   node.settings.callers,
                   {"GET",
                    "/m/1",
                    {{"Host", "a.example"},
                     {"Attempt-Id", "id-" + std::to_string(++lastId)},
                     {"Authorization", "Bearer k1"},
                     {"Deadline-Ms", "20"}},
                    {}});
        }
        return std::ranges::count_if(node.instance.requests, isRequest) - before <= 3;
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode node{loopback, storeAt, "vm", "orders", "a", 30s};
    int lastId{};
};

} // namespace

TEST_F(ColdInstanceTest, AHeartbeatThatSaysColdLimitsTheRate)
{
    report(2, 1700, "20s");
    EXPECT_TRUE(isLimited());
}

// The new start is known before the instance has said for how long it is cold, and its health check tells.
TEST_F(ColdInstanceTest, AnInstanceThatStartsAnewIsColdUntilItsHealthCheckSaysOtherwise)
{
    node.instance.extraFields = {{"Cold-Ms", "20000"}};
    report(1, 1800);
    EXPECT_TRUE(isLimited());
    EXPECT_TRUE(isLimited());
    node.instance.extraFields.clear();
    report(1, 1900);
    EXPECT_TRUE(loopback.runUntil([&] { return !isLimited(); }, 3s));
}

TEST_F(ColdInstanceTest, AnInstanceIsColdAfterAnEvacuation)
{
    node.instance.extraFields = {{"Cold-Ms", "20000"}};
    store.put("op/evacuate/a", base64("{}"));
    loopback.runFor(600ms);
    store.erase("op/evacuate/a");
    loopback.runFor(600ms);
    EXPECT_TRUE(isLimited());
    EXPECT_TRUE(isLimited());
}

TEST_F(ColdInstanceTest, AnInstanceThatComesBackWithoutAWordIsHeldForCold)
{
    node.instance.crash();
    fetchAt(loopback, node, "/m/1", "k1");
    node.instance.extraFields = {{"Cold-Ms", "20000"}};
    node.instance.start();
    loopback.runFor(1500ms);
    EXPECT_TRUE(isLimited());
    EXPECT_TRUE(isLimited());
}

} // namespace jasminelatch::sidecar
