#include <jasminelatch/mesh/instance_gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace jasminelatch::mesh {

namespace {

using Kind = InstanceGate::Decision::Kind;
using namespace std::chrono_literals;

constexpr TimePoint start{1h};

auto item(const std::uint64_t id, const std::uint32_t rank, const Duration maxWait = 10s) -> InstanceGate::Item
{
    return {id, rank, "route", start + 10s, start + maxWait};
}

/*! @brief Gate with a limit of nine and a learned run time of 100 ms. */
auto warmGate() -> InstanceGate
{
    InstanceGate gate{{}};
    gate.setSlots(10);
    constexpr std::uint64_t first = 1'000'000;
    for (auto id = first; id < first + 200; ++id) {
        gate.offer(item(id, 0), start);
        gate.finish(id, 100ms);
    }
    return gate;
}

} // namespace

TEST(InstanceGate, LeavesAFractionOfTheSlotsFree)
{
    auto gate = warmGate();
    EXPECT_EQ(gate.load(start).limit, 9U);
    for (std::uint64_t id = 0; id < 9; ++id) {
        EXPECT_EQ(gate.offer(item(id, 1), start).kind, Kind::Run);
    }
    EXPECT_EQ(gate.offer(item(9, 1), start).kind, Kind::Wait);
}

TEST(InstanceGate, RunsNothingBeforeTheSlotsAreKnown)
{
    InstanceGate gate{{}};
    EXPECT_EQ(gate.offer(item(1, 0), start).kind, Kind::Wait);
    EXPECT_TRUE(gate.dispatch(start).run.empty());
}

TEST(InstanceGate, RunsHigherRanksFirst)
{
    auto gate = warmGate();
    for (std::uint64_t id = 0; id < 9; ++id) {
        gate.offer(item(id, 5), start);
    }
    gate.offer(item(20, 5), start);
    gate.offer(item(21, 3), start);
    gate.offer(item(22, 0), start);
    gate.finish(0, 100ms);
    EXPECT_EQ(gate.dispatch(start).run, std::vector<std::uint64_t>{22});
    gate.finish(1, 100ms);
    EXPECT_EQ(gate.dispatch(start).run, std::vector<std::uint64_t>{21});
}

TEST(InstanceGate, RefusesRequestsThatCannotFinishInTime)
{
    auto gate = warmGate();
    const InstanceGate::Item late{1, 0, "route", start + 40ms, start + 10s};
    EXPECT_EQ(gate.offer(late, start).kind, Kind::Refuse);
}

TEST(InstanceGate, RefusesRequestsThatWouldExceedTheirWaitLimit)
{
    auto gate = warmGate();
    for (std::uint64_t id = 0; id < 100; ++id) {
        gate.offer(item(id, 1), start);
    }
    const auto decision = gate.offer(item(100, 1, 200ms), start);
    EXPECT_EQ(decision.kind, Kind::Refuse);
    EXPECT_GE(decision.retryAfter, 900ms);
}

TEST(InstanceGate, DropsAQueuedRequestAfterItsWaitLimit)
{
    auto gate = warmGate();
    for (std::uint64_t id = 0; id < 9; ++id) {
        gate.offer(item(id, 1), start);
    }
    EXPECT_EQ(gate.offer(item(9, 1, 100ms), start).kind, Kind::Wait);
    EXPECT_TRUE(gate.dispatch(start + 90ms).refused.empty());
    const auto dispatched = gate.dispatch(start + 110ms);
    ASSERT_EQ(dispatched.refused.size(), 1U);
    EXPECT_EQ(dispatched.refused.front().id, 9U);
}

TEST(InstanceGate, EmptiesTheQueueWhenTheInstanceDrains)
{
    auto gate = warmGate();
    for (std::uint64_t id = 0; id < 12; ++id) {
        gate.offer(item(id, 1), start);
    }
    EXPECT_EQ(gate.clearQueue().size(), 3U);
    EXPECT_EQ(gate.load(start).running, 9U);
}

RC_GTEST_PROP(InstanceGate, NeverExceedsItsLimitAndTracksEveryRequest, ())
{
    auto gate = warmGate();
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> waiting;
    auto now = start;
    std::uint64_t next{};
    for (const auto step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
        now += 5ms;
        if (step < 2) {
            const auto id = next++;
            const auto rank = static_cast<std::uint32_t>(id % 3);
            const InstanceGate::Item offered{id, rank, "route", now + 1s, now + 200ms};
            const auto kind = gate.offer(offered, now).kind;
            if (kind == Kind::Run) {
                running.insert(id);
            } else if (kind == Kind::Wait) {
                waiting.insert(id);
            }
        } else if (step == 2 && !running.empty()) {
            gate.finish(*running.begin(), 100ms);
            running.erase(running.begin());
        }
        const auto dispatched = gate.dispatch(now);
        for (const auto id : dispatched.run) {
            RC_ASSERT(waiting.erase(id) == 1U);
            running.insert(id);
        }
        for (const auto &refused : dispatched.refused) {
            RC_ASSERT(waiting.erase(refused.id) == 1U);
        }
        RC_ASSERT(running.size() <= gate.load(now).limit);
        RC_ASSERT(gate.load(now).running == running.size());
        RC_ASSERT(gate.load(now).queued == waiting.size());
    }
}

TEST(InstanceGate, ReportsTheSpeedOfTheInstanceWhateverRoutesItRuns)
{
    // Runs of one route take sixteen times as long as those of the other; the share of long runs must not matter.
    std::map<std::string, RouteProfile> fleet;
    fleet["short"] = {"short", 900, 20ms, {}};
    fleet["long"] = {"long", 100, 320ms, {}};
    const auto runTimeAfter = [&](const std::uint64_t runsPerLongOne, const int slowness) {
        InstanceGate gate{{}};
        gate.setSlots(10);
        for (std::uint64_t id = 0; id < 400; ++id) {
            const auto isLong = id % runsPerLongOne == 0;
            gate.offer({id, 0, isLong ? "long" : "short", start + 10s, start + 10s}, start);
            gate.setFleetProfiles(fleet);
            gate.finish(id, (isLong ? 320ms : 20ms) * slowness);
        }
        return gate.load(start).runTime;
    };
    // The mean request takes 0.9 * 20 ms + 0.1 * 320 ms.
    EXPECT_NEAR(static_cast<double>(runTimeAfter(50, 1).count()), 50e3, 1e3);
    EXPECT_NEAR(static_cast<double>(runTimeAfter(2, 1).count()), 50e3, 1e3);
    EXPECT_NEAR(static_cast<double>(runTimeAfter(50, 4).count()), 200e3, 4e3);
}

TEST(InstanceGate, ReportsTheMeanRunTimeBeforeTheFleetIsKnown)
{
    const auto gate = warmGate();
    EXPECT_EQ(gate.load(start).runTime, 100ms);
}

TEST(InstanceGate, OfTheRequestsOfACrashFewRunAtOnceAndOthersPassThem)
{
    InstanceGate gate{{}};
    gate.setSlots(16);
    gate.setInstanceCount(20);
    const auto suspect = [](const std::uint64_t id, const std::uint32_t crashes) {
        auto request = item(id, 1);
        request.crashes = crashes;
        return request;
    };
    EXPECT_EQ(gate.offer(suspect(1, 1), start).kind, Kind::Run);
    EXPECT_EQ(gate.offer(suspect(2, 1), start).kind, Kind::Run);
    EXPECT_EQ(gate.offer(suspect(3, 1), start).kind, Kind::Wait);
    EXPECT_EQ(gate.offer(suspect(4, 2), start).kind, Kind::Wait);
    EXPECT_EQ(gate.offer(item(5, 1), start).kind, Kind::Run) << "a sound request does not wait behind them";
    EXPECT_EQ(gate.load(start).queued, 0U) << "they are no sign of overload";
    gate.finish(1, 50ms);
    EXPECT_EQ(gate.dispatch(start).run, std::vector<std::uint64_t>{3});
    gate.finish(2, 50ms);
    EXPECT_TRUE(gate.dispatch(start).run.empty()) << "one of two crashes runs without others";
    gate.finish(3, 50ms);
    EXPECT_EQ(gate.dispatch(start).run, std::vector<std::uint64_t>{4});
    EXPECT_EQ(gate.offer(suspect(6, 1), start).kind, Kind::Wait);
    EXPECT_EQ(gate.offer(item(7, 1), start).kind, Kind::Run);
    gate.finish(6, {});
    gate.finish(4, 50ms);
    EXPECT_EQ(gate.offer(suspect(8, 2), start).kind, Kind::Run);
}

TEST(InstanceGate, OneRequestOfACrashRunsAtATimeInASmallService)
{
    InstanceGate gate{{}};
    gate.setSlots(100);
    gate.setInstanceCount(3);
    auto suspect = item(1, 1);
    suspect.crashes = 1;
    EXPECT_EQ(gate.offer(suspect, start).kind, Kind::Run);
    suspect.id = 2;
    EXPECT_EQ(gate.offer(suspect, start).kind, Kind::Wait);
}

} // namespace jasminelatch::mesh
