#include "test_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Two entry nodes and four instances of one service, which a request crashes. */
struct CrashingRequestTest: testing::Test {
    CrashingRequestTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1","k2")"));
        for (const auto *name : {"back1", "back2", "back3", "back4"}) {
            backs.push_back(std::make_unique<TestNode>(loopback, storeAt, name, "orders"));
            backs.back()->instance.deadlyTarget = "/m/deadly";
        }
        for (const auto *front : {&first, &second}) {
            EXPECT_TRUE(
                loopback.runUntil([&] { return getFrom(loopback, front->settings.ready, "/v1/ready").status == 200; }));
        }
        for (const auto &back : backs) {
            sendInstanceReport(loopback, *back, "ready", 1);
        }
        for (const auto *front : {&first, &second}) {
            EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, *front, "/m/1", "k1").status == 200; }));
        }
        loopback.runFor(500ms);
    }

    /*! @brief Starts crashed instances again, as a supervisor does. */
    auto restartCrashed() -> void
    {
        for (const auto &back : backs) {
            if (!back->instance.server) {
                back->instance.start();
                sendInstanceReport(loopback, *back, "ready", 1, ++lastStart);
            }
        }
        loopback.runFor(50ms);
    }

    [[nodiscard]] auto runsOf(const std::string &target) const -> std::size_t
    {
        std::size_t runs{};
        for (const auto &back : backs) {
            runs +=
                static_cast<std::size_t>(std::ranges::count(back->instance.requests, target, &mesh::Request::target));
        }
        return runs;
    }

    [[nodiscard]] auto runningInstances() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(backs, [](const auto &back) { return back->instance.server != nullptr; }));
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode first{loopback, storeAt, "front1", "catalogue"};
    TestNode second{loopback, storeAt, "front2", "catalogue"};
    std::vector<std::unique_ptr<TestNode>> backs;
    int lastStart{1700};
};

} // namespace

TEST_F(CrashingRequestTest, ARequestThatCrashesInstancesIsNotRunAgainAndAgain)
{
    for (auto count = 0; count < 12; ++count) {
        const auto &front = count % 2 == 0 ? first : second;
        const auto status = fetchAt(loopback, front, "/m/deadly", "k1").status;
        EXPECT_TRUE(status == 502 || status == 503) << status;
        EXPECT_GE(runningInstances(), 1U);
        EXPECT_EQ(fetchAt(loopback, front, "/m/1", "k1").status, 200U);
        restartCrashed();
    }
    EXPECT_LE(runsOf("/m/deadly"), 3U);
}

TEST_F(CrashingRequestTest, ANodeThatStartsLearnsWhichRequestIsQuarantined)
{
    for (auto count = 0; count < 4; ++count) {
        fetchAt(loopback, first, "/m/deadly", "k1");
        restartCrashed();
    }
    const auto runs = runsOf("/m/deadly");
    const TestNode late{loopback, storeAt, "late", "catalogue"};
    ASSERT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, late, "/m/1", "k1").status == 200; }));
    loopback.runFor(500ms);
    const auto answer = fetchAt(loopback, late, "/m/deadly", "k1");
    EXPECT_EQ(answer.status, 503U);
    EXPECT_GT(std::stod(*mesh::findField(answer.fields, "Retry-After")), 30.0);
    EXPECT_EQ(runsOf("/m/deadly"), runs);
}

TEST_F(CrashingRequestTest, ARequestThatOnlyRanBesideItIsServed)
{
    for (auto count = 0; count < 4; ++count) {
        std::vector<std::unique_ptr<HttpConnection>> connections;
        for (auto index = 0; index < 8; ++index) {
            connections.push_back(std::make_unique<HttpConnection>(loopback.loop,
                                                                   first.settings.callers,
                                                                   HttpConnection::Settings{},
                                                                   HttpConnection::Hooks{[](const auto &) {},
                                                                                         [] {
                                                                                         }}));
            connections.back()->send({"GET",
                                      "/m/popular",
                                      {{"Host", "a.example"},
                                       {"Attempt-Id", "p" + std::to_string(8 * count + index)},
                                       {"Authorization", "Bearer k1"},
                                       {"Deadline-Ms", "900"}},
                                      {}});
        }
        for (const auto &back : backs) {
            back->instance.answersAtOnce = false;
        }
        loopback.runFor(20ms);
        for (const auto &back : backs) {
            back->instance.answersAtOnce = true;
        }
        fetchAt(loopback, second, "/m/deadly", "k1");
        loopback.runFor(700ms);
        restartCrashed();
        EXPECT_EQ(fetchAt(loopback, first, "/m/popular", "k1").status, 200U) << count;
    }
    EXPECT_EQ(fetchAt(loopback, second, "/m/popular", "k1").status, 200U);
    EXPECT_EQ(fetchAt(loopback, second, "/m/deadly", "k1").status, 503U);
}

} // namespace jasminelatch::sidecar
