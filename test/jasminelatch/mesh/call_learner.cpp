#include <jasminelatch/mesh/call_learner.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1s};

auto callsOf(const CallLearner &learner, const std::string &route, const std::string &call) -> double
{
    const auto profiles = learner.profiles();
    const auto found = std::ranges::find(profiles, route, &RouteProfile::route);
    return found != profiles.end() && found->calls.contains(call) ? found->calls.at(call) : 0.0;
}

} // namespace

TEST(CallLearner, SplitsCallsAmongTheCurrentRuns)
{
    // Two routes run at one instance: one makes two calls, the other none. No call shares a run's deadline.
    CallLearner learner{{}};
    for (auto round = 0; round < 400; ++round) {
        const auto *const kind = round % 2 == 0 ? "order" : "status";
        learner.runStarted(kind, start);
        if (round % 4 == 1) {
            learner.runStarted("order", start);
            learner.callMade("tiles", start + 1s);
            learner.callMade("tiles", start + 1s);
            learner.runEnded("order", start, 100ms);
        }
        if (round % 2 == 0) {
            learner.callMade("tiles", start + 1s);
            learner.callMade("tiles", start + 1s);
        }
        learner.runEnded(kind, start, 100ms);
    }
    EXPECT_EQ(learner.profiles().size(), 2U);
    EXPECT_NEAR(callsOf(learner, "order", "tiles"), 2.0, 0.2);
    EXPECT_NEAR(callsOf(learner, "status", "tiles"), 0.0, 0.2);
}

TEST(CallLearner, AttributesACallToTheRunWithTheSameDeadline)
{
    // Runs of both routes always overlap, so only deadlines identify the parent; downloads make no calls.
    CallLearner learner{{}};
    auto now = start;
    for (auto round = 0; round < 100; ++round, now += 40ms) {
        const auto tileDeadline = now + 700ms;
        const auto downloadDeadline = now + 2500ms;
        learner.runStarted("download", downloadDeadline);
        learner.runStarted("tile", tileDeadline);
        for (const auto late : {-2ms, 0ms, 4ms, 10ms}) {
            learner.callMade("symbol", tileDeadline + late);
        }
        learner.runEnded("tile", tileDeadline, 240ms);
        learner.runEnded("download", downloadDeadline, 180ms);
    }
    EXPECT_NEAR(callsOf(learner, "tile", "symbol"), 4.0, 0.01);
    EXPECT_EQ(callsOf(learner, "download", "symbol"), 0.0);
}

TEST(CallLearner, AttributesACallWithAShorterTimeoutToALaterRun)
{
    // Tile reads and downloads overlap at a file service. Most symbol reads have less time left than the tile that
    // makes them, so they share no deadline; those of tiles with a short deadline do.
    CallLearner learner{{}};
    auto now = start;
    for (auto round = 0; round < 200; ++round, now += 20ms) {
        const auto isShort = round % 2 == 0;
        const auto tileDeadline = now + (isShort ? 500ms : 1900ms);
        const auto downloadDeadline = now + 2500ms;
        learner.runStarted("download", downloadDeadline);
        learner.runStarted("tile", tileDeadline);
        for (auto call = 0; call < 4; ++call) {
            learner.callMade("symbol", isShort ? tileDeadline : now + 700ms);
        }
        learner.runEnded("tile", tileDeadline, 240ms);
        learner.runEnded("download", downloadDeadline, 180ms);
    }
    EXPECT_NEAR(callsOf(learner, "tile", "symbol"), 4.0, 0.2);
    EXPECT_LT(callsOf(learner, "download", "symbol"), 0.2);
}

TEST(CallLearner, AttributesNoCallsToCompletedRuns)
{
    CallLearner learner{{}};
    for (auto round = 0; round < 10; ++round) {
        learner.runStarted("early", start);
        learner.runEnded("early", start, 100ms);
        learner.runStarted("late", start);
        learner.callMade("tiles", start);
        learner.runEnded("late", start, 100ms);
    }
    EXPECT_EQ(callsOf(learner, "early", "tiles"), 0.0);
    EXPECT_NEAR(callsOf(learner, "late", "tiles"), 1.0, 0.01);
}

TEST(CallLearner, ReturnsNoProfileOfARouteWithFewRuns)
{
    CallLearner learner{{}};
    learner.runStarted("order", start);
    learner.runEnded("order", start, 100ms);
    EXPECT_TRUE(learner.profiles().empty());
}

TEST(CallLearner, OldObservationsDecay)
{
    CallLearner learner{{}};
    for (auto count = 0; count < 10; ++count) {
        learner.runStarted("order", start);
        learner.runEnded("order", start, 100ms);
    }
    learner.decay(60s);
    EXPECT_TRUE(learner.profiles().empty());
}

} // namespace jasminelatch::mesh
