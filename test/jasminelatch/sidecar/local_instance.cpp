#include "loopback.hpp"

#include <jasminelatch/sidecar/local_instance.hpp>

#include <gtest/gtest.h>
#include <platform/dialect.hpp>

#include <optional>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

using namespace std::chrono_literals;

struct LocalInstanceTest: testing::Test {
    LocalInstanceTest()
    {
        mesh::InstanceReport report;
        report.id = "i-1";
        report.service = "orders";
        report.slots = 20;
        report.sequence = 1;
        instance.report(report, false);
    }

    [[nodiscard]] auto request(const mesh::Fingerprint fingerprint) const -> mesh::HopRequest
    {
        mesh::HopRequest hop;
        hop.attemptId = "1";
        hop.service = "orders";
        hop.route = "r";
        hop.fingerprint = fingerprint;
        hop.deadline = loopback.clock.now() + 2s;
        hop.waitLimit = 200ms;
        hop.request = {"GET", "/", {{"Host", "x"}}, {}};
        return hop;
    }

    Loopback loopback;
    RawServer server{loopback};
    Dialect dialect{platform::makeDialect()};
    DecisionLog log{{}, loopback.clock, "node"};
    Counters counters;
    mesh::CallLearner learner{{}};
    mesh::ByteBudget budget{std::size_t{4} << 20};
    mesh::CrashTracker crashes{{}};
    LocalInstance instance{{loopback.loop, dialect, log, counters, learner, budget, crashes},
                           server.endpoint,
                           "orders",
                           {[] {},
                            [] {
                            }}};
};

} // namespace

TEST_F(LocalInstanceTest, ARequestOfACrashThatWaitsAloneIsRefusedAtItsWaitLimit)
{
    // Guards against a queue of such requests only, which was not looked at before the end of a run or a deadline.
    crashes.recordCrash(1, std::vector<mesh::Fingerprint>{7, 8}, loopback.clock.now());
    std::optional<mesh::HopReply> running;
    std::optional<mesh::HopReply> waiting;
    instance.submit(request(7), [&](mesh::HopReply reply) { running = std::move(reply); });
    ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
    instance.submit(request(8), [&](mesh::HopReply reply) { waiting = std::move(reply); });
    ASSERT_TRUE(loopback.runUntil([&] { return waiting.has_value(); }, 400ms));
    EXPECT_EQ(waiting->outcome, mesh::HopOutcome::NotRun);
    EXPECT_FALSE(running);
}

TEST_F(LocalInstanceTest, AWithdrawnRequestIsRefusedOnlyWhileItWaits)
{
    crashes.recordCrash(1, std::vector<mesh::Fingerprint>{7, 8}, loopback.clock.now());
    std::optional<mesh::HopReply> running;
    std::optional<mesh::HopReply> waiting;
    const auto first = instance.submit(request(7), [&](mesh::HopReply reply) { running = std::move(reply); });
    ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
    const auto second = instance.submit(request(8), [&](mesh::HopReply reply) { waiting = std::move(reply); });
    instance.withdraw(first);
    instance.withdraw(second);
    ASSERT_TRUE(loopback.runUntil([&] { return waiting.has_value(); }, 100ms));
    EXPECT_EQ(waiting->outcome, mesh::HopOutcome::NotRun);
    EXPECT_EQ(waiting->reason, mesh::HopReason::Cancelled);
    loopback.runFor(50ms);
    EXPECT_FALSE(running);
    EXPECT_EQ(instance.activeRequests(), 1U);
}

// What was learned of one start of an instance must not limit the next one.
TEST_F(LocalInstanceTest, TheStatedSlownessIsKnownUntilTheInstanceStartsAnew)
{
    std::optional<mesh::HopReply> answered;
    instance.submit(request(7), [&](mesh::HopReply reply) { answered = std::move(reply); });
    ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
    server.streams.back()->write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nInstance-Load: 1,0,20,250\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(loopback.runUntil([&] { return answered.has_value(); }));
    EXPECT_EQ(instance.capacity().slowness(), 2.5);
    EXPECT_EQ(instance.capacity().learnedLimit(), 18U);
    auto report = instance.latest();
    report.startTimeMs = 1'000'000;
    ++report.sequence;
    ASSERT_TRUE(instance.report(report, false));
    report.startTimeMs = 2'000'000;
    ASSERT_TRUE(instance.report(report, false));
    EXPECT_EQ(instance.capacity().slowness(), 1.0);
}

} // namespace jasminelatch::sidecar
