#ifndef JASMINELATCH_TEST_SIDECAR_DEPARTURE_FIXTURE_HPP
#define JASMINELATCH_TEST_SIDECAR_DEPARTURE_FIXTURE_HPP

#include "test_node.hpp"

#include <jasminelatch/sidecar/wall_clock.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::sidecar {

/*! @brief A node that receives client requests, and one beside an instance that leaves, whose process ends. */
struct DepartureTest: testing::Test {
    DepartureTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        startBack();
        EXPECT_TRUE(loopback.runUntil([&] { return isReady(front) && isReady(*back); }));
        EXPECT_EQ(report("ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 200; }));
    }

    /*! @brief Starts a process of the node beside the instance; the one before it ends without a word. */
    auto startBack(const bool isInstanceLeaving = false) -> void
    {
        if (back) {
            loops.back()->isSuspended = true;
            retired.push_back(std::move(back));
            retired.back()->node.reset();
        }
        loops.push_back(std::make_unique<SuspendableLoopback>());
        loops.back()->runWith(loopback);
        back = std::make_unique<Process>(*loops.back(), backStoreAt);
        if (isInstanceLeaving) {
            back->node->instance.status = 503;
            back->node->instance.extraFields = {{"Server-Leaving", "1"}};
        }
    }

    /*! @brief Starts a process of that node which can only read from the store; its peer still learns of it. */
    auto startBackApart() -> test::PlatformStore::Address &
    {
        backStoreAt = Loopback::freeEndpoint();
        auto &address = store.openAddress(backStoreAt);
        address.isReadOnly = true;
        startBack();
        store.put("jasminelatch/nodes/back",
                  base64(mesh::encodeMember(
                      {"back", wallClockMilliseconds(), back->node->settings.peers, "a", "orders", "", 0, false, {}})));
        return address;
    }

    struct Process {
        Process(SuspendableLoopback &loop, const event::Endpoint &store)
            : node{std::make_unique<TestNode>(loop, store, "back", "orders")}
        {
        }
        std::unique_ptr<TestNode> node;
    };

    auto isReady(const TestNode &node) -> bool
    {
        return getFrom(loopback, node.settings.ready, "/v1/ready").status == 200;
    }
    auto isReady(const Process &process) -> bool { return isReady(*process.node); }

    auto report(const std::string &state, const int sequence, const int startTimeMs = 1700) -> mesh::Answer
    {
        return sendInstanceReport(loopback, *back->node, state, sequence, startTimeMs);
    }

    auto deregister(const std::string &id = "i-back", const int startTimeMs = 1700) -> mesh::Answer
    {
        const nlohmann::json body{{"born", startTimeMs}};
        return sendTo(loopback,
                      back->node->settings.reports,
                      {"POST", "/v1/Instances.Deregister/" + id, {{"Host", "x"}}, body.dump()});
    }

    /*! @brief Sends a status report of the instance with the given id, which need not be the one that answers requests.
     */
    auto reportAs(const std::string &id, const std::string &state, const int sequence, const int startTimeMs)
        -> mesh::Answer
    {
        const auto running = std::exchange(back->node->instance.id, id);
        auto answer = report(state, sequence, startTimeMs);
        back->node->instance.id = running;
        return answer;
    }

    /*! @brief Sends reports of a start for several seconds, as an instance that is running. */
    auto keepReporting(const std::string &id, const int startTimeMs) -> void
    {
        constexpr auto reports = 5;
        for (auto sequence = 1; sequence <= reports; ++sequence) {
            EXPECT_EQ(reportAs(id, "ready", sequence, startTimeMs).status, 200U);
            loopback.runFor(1200ms);
        }
    }

    /*! @brief Sends requests for a while and expects that none reaches the instance with the given id. */
    auto expectUnused(const std::string &id) -> void
    {
        const auto before = requestsTo(id);
        for (auto count = 0; count < 10; ++count) {
            fetch();
            loopback.runFor(50ms);
        }
        EXPECT_EQ(requestsTo(id), before) << id;
    }

    /*! @brief Expects that a new start of the instance with the given id is used soon. */
    auto expectUsed(const std::string &id, const int startTimeMs) -> void
    {
        back->node->instance.id = id;
        back->node->instance.status = 200;
        EXPECT_EQ(report("ready", 1, startTimeMs).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetch().body == "from " + id; }, 2s)) << id;
    }

    auto fetch() -> mesh::Answer { return fetchAt(loopback, front, "/m/1", "k1"); }

    /*! @brief Expects that a late report does not bring the instance back. */
    auto expectGone() -> void
    {
        ASSERT_TRUE(loopback.runUntil([&] { return isReady(*back); }));
        loopback.runFor(300ms);
        EXPECT_EQ(report("ready", 9).status, 200U) << "sent before the instance began to leave";
        loopback.runFor(500ms);
        EXPECT_EQ(fetch().status, 503U);
        EXPECT_LE(requestsOf("/m/1"), 0) << "only health checks reach it";
        EXPECT_EQ(report("ready", 1, 1800).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetch().status == 200; }, 2s)) << "another start is used";
    }

    [[nodiscard]] auto requestsOf(const std::string &target) const -> std::ptrdiff_t
    {
        return std::ranges::count(back->node->instance.requests, target, &mesh::Request::target);
    }

    /*! @brief Returns the number of requests that were sent to the instance with the given id; health checks name none.
     */
    [[nodiscard]] auto requestsTo(const std::string &id) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(back->node->instance.requests, [&](const auto &request) {
            const auto *target = mesh::findField(request.fields, "Target-Instance");
            return target != nullptr && *target == id;
        });
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    event::Endpoint backStoreAt{storeAt};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue"};
    std::vector<std::unique_ptr<SuspendableLoopback>> loops;
    std::vector<std::unique_ptr<Process>> retired;
    std::unique_ptr<Process> back;
};

} // namespace jasminelatch::sidecar

#endif
