#include "fleet.hpp"

#include <jasminelatch/lease/lease_controller.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

using namespace std::chrono_literals;

namespace jasminelatch::lease {

namespace internal {

constexpr Duration scheduleLength{400s};
constexpr double faultsPerSecond = 0.5;

template<typename T>
auto pick(const std::uint64_t seed, const std::uint64_t divisor, const std::vector<T> &values) -> T
{
    return values[seed / divisor % values.size()];
}

auto hostileFaults(const std::uint64_t seed) -> test::Faults
{
    test::Faults faults;
    faults.loss = 0.03;
    faults.duplicate = 0.05;
    faults.messageDelay = pick<Duration>(seed, 1, {20ms, 300ms, 2s});
    faults.slowStore = pick<double>(seed, 3, {0.03, 0.3});
    faults.storeTimeout = pick<Duration>(seed, 6, {1s, 6s});
    faults.clockRateDrift = pick<double>(seed, 12, {0.2, 0.01});
    return faults;
}

auto hostileSettings(const std::uint64_t seed) -> Settings
{
    Settings settings;
    settings.clockRateDrift = pick<double>(seed, 12, {0.2, 0.01});
    settings.promiseTtl = pick<Duration>(seed, 24, {2s, 10s});
    settings.renewInterval = pick<Duration>(seed, 1, {500ms, 2s});
    return settings;
}

/*! @brief Prefers the holder and its successor. */
auto pickTarget(Fleet &fleet) -> std::size_t
{
    const auto holders = fleet.holders();
    if (holders.empty() || fleet.world.chance(0.25)) {
        return fleet.world.anyMachine();
    }
    return fleet.world.chance(0.7) ? holders[0] : fleet.successorOf(holders[0]);
}

auto isolate(Fleet &fleet, const std::size_t index, const Duration length) -> void
{
    fleet.world.cutFromStore(index, length);
    for (std::size_t other = 0; other < fleet.world.size(); ++other) {
        fleet.world.cut(index, other, length);
    }
}

/*! @brief Lets one fault begin that ends by itself. */
auto beginFault(Fleet &fleet, std::vector<Duration> &downUntil) -> void
{
    auto &world = fleet.world;
    const auto index = pickTarget(fleet);
    switch (world.random()() % 9) {
    case 0:
        world.pause(index, world.upTo(12s));
        return;
    case 1:
    case 2:
        world.cut(index, fleet.successorOf(index), world.upTo(20s));
        return;
    case 3:
    case 4:
        world.cutFromStore(index, world.upTo(20s));
        return;
    case 5:
        isolate(fleet, index, world.upTo(20s));
        return;
    case 6:
        world.takeStoreDown(world.upTo(10s));
        return;
    case 7:
        world.loseAnswers(index, world.upTo(10s));
        return;
    default:
        break;
    }
    if (fleet.runs(index)) {
        fleet.stop(index);
        downUntil[index] = world.elapsed() + world.upTo(2s);
    }
}

auto restartDue(Fleet &fleet, const std::vector<Duration> &downUntil) -> void
{
    for (std::size_t index = 0; index < downUntil.size(); ++index) {
        if (!fleet.runs(index) && fleet.world.elapsed() >= downUntil[index]) {
            fleet.start(index);
        }
    }
}

/*! @brief Runs a random schedule of faults; returns the share of the time in which the right was held. */
auto runHostileSchedule(Fleet &fleet) -> double
{
    std::vector<Duration> downUntil(fleet.world.size());
    std::size_t held = 0;
    std::size_t steps = 0;
    while (fleet.world.elapsed() < scheduleLength) {
        if (fleet.world.chance(faultsPerSecond * 0.02)) {
            beginFault(fleet, downUntil);
        }
        restartDue(fleet, downUntil);
        fleet.step(Fleet::stepLength);
        ++steps;
        held += fleet.holders().size();
    }
    return static_cast<double>(held) / static_cast<double>(steps);
}

/*! @brief Returns the share of a store outage in which the right was held, after a quiet start. */
auto shareHeldInOutage(const bool promisesEnabled, const Duration outage) -> double
{
    Settings settings;
    settings.promisesEnabled = promisesEnabled;
    Fleet fleet{1, 3, {}, settings};
    fleet.run(20s);
    fleet.world.takeStoreDown(outage);
    const auto term = fleet.node(fleet.holders().at(0)).term(fleet.right);
    std::size_t held = 0;
    std::size_t steps = 0;
    for (; fleet.world.elapsed() < 20s + outage; ++steps) {
        fleet.step(Fleet::stepLength);
        held += fleet.holders().size();
    }
    fleet.run(10s);
    if (promisesEnabled) {
        EXPECT_EQ(fleet.node(fleet.holders().at(0)).term(fleet.right), term);
        EXPECT_EQ(fleet.counters.value("lease.lost"), 0U);
    }
    return static_cast<double>(held) / static_cast<double>(steps);
}

} // namespace internal

RC_GTEST_PROP(LeaseController, NeverHasTwoHolders, (const std::uint64_t seed))
{
    const auto size = 3 + static_cast<std::size_t>(seed % 3);
    Fleet fleet{seed, size, internal::hostileFaults(seed), internal::hostileSettings(seed)};
    internal::runHostileSchedule(fleet);
    RC_ASSERT(fleet.mostHolders <= 1U);
    // The schedule's faults end by themselves: the right comes back.
    fleet.world.setFaults({});
    for (std::size_t index = 0; index < size; ++index) {
        if (!fleet.runs(index)) {
            fleet.start(index);
        }
    }
    RC_ASSERT(fleet.runUntilHeld(60s) < 60s);
    RC_ASSERT(fleet.mostHolders <= 1U);
}

TEST(LeaseController, HoldsThroughAStoreOutageWithLiveNeighbours)
{
    const auto share = internal::shareHeldInOutage(true, 10min);
    const auto baseline = internal::shareHeldInOutage(false, 10min);
    std::cout << "share of a 10 min outage held: " << share << ", plain store lease: " << baseline << '\n';
    EXPECT_EQ(share, 1.0);
    EXPECT_LT(baseline, 0.02);
}

RC_GTEST_PROP(LeaseController, IsTakenOverAfterTheHoldersDeath, (const std::uint64_t seed))
{
    Fleet fleet{seed, 3, {}, {}};
    fleet.run(10s + fleet.world.upTo(5s));
    const auto holders = fleet.holders();
    RC_ASSERT(holders.size() == 1U);
    fleet.stop(holders[0]);
    const auto time = fleet.runUntilHeld(20s);
    RC_ASSERT(time <= 9500ms);
    RC_ASSERT(fleet.lastKind == AcquisitionKind::TakenOver);
    RC_ASSERT(fleet.mostHolders == 1U);
}

TEST(LeaseController, HandsOverAtShutdownWithoutWaiting)
{
    Fleet fleet{1, 3, {}, {}};
    fleet.run(10s);
    const auto former = fleet.holders().at(0);
    fleet.node(former).releaseAll();
    EXPECT_TRUE(fleet.holders().empty());
    EXPECT_LT(fleet.runUntilHeld(5s), 200ms);
    EXPECT_NE(fleet.holders().at(0), former);
    EXPECT_EQ(fleet.mostHolders, 1U);
}

TEST(LeaseController, RestartedHolderComesBackAtOnceInANewTerm)
{
    Fleet fleet{1, 3, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holders().at(0);
    const auto term = fleet.node(holder).term(fleet.right);
    fleet.stop(holder);
    fleet.start(holder);
    EXPECT_LT(fleet.runUntilHeld(5s), 200ms);
    EXPECT_EQ(fleet.holders().at(0), holder);
    EXPECT_EQ(fleet.lastKind, AcquisitionKind::Restarted);
    EXPECT_GT(fleet.node(holder).term(fleet.right), term);
}

TEST(LeaseController, ContenderWakesRestartedNodesThatTheRecordNames)
{
    Fleet fleet{1, 4, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holders().at(0);
    const auto successor = fleet.successorOf(holder);
    for (const auto index : {holder, successor}) {
        fleet.stop(index);
        fleet.start(index, false);
    }
    EXPECT_LT(fleet.runUntilHeld(60s), 25s);
    EXPECT_EQ(fleet.mostHolders, 1U);
}

TEST(LeaseController, RestsWithHolderAndSuccessorGoneUntilReclaimed)
{
    Fleet fleet{1, 4, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holders().at(0);
    const auto successor = fleet.node(holder).successor(fleet.right);
    for (std::size_t index = 0; index < 4; ++index) {
        if (index == holder || Fleet::address(index) == successor) {
            fleet.stop(index);
        }
    }
    EXPECT_EQ(fleet.runUntilHeld(60s), 60s);
    const auto entry = fleet.world.memory().apply({.key = recordKey(fleet.right)}, fleet.world.storeTime());
    const auto request = reclaim(entry.entries.at(0), "operator#1");
    ASSERT_TRUE(request);
    fleet.world.memory().apply(*request, fleet.world.storeTime());
    EXPECT_LT(fleet.runUntilHeld(60s), 15s);
    EXPECT_EQ(fleet.lastKind, AcquisitionKind::Reclaimed);
    EXPECT_EQ(fleet.mostHolders, 1U);
}

TEST(LeaseController, NamesAnotherSuccessorWhenTheFirstIsGone)
{
    Fleet fleet{1, 3, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holders().at(0);
    const auto former = fleet.node(holder).successor(fleet.right);
    for (std::size_t index = 0; index < 3; ++index) {
        if (Fleet::address(index) == former) {
            fleet.stop(index);
        }
    }
    fleet.run(10s);
    EXPECT_NE(fleet.node(holder).successor(fleet.right), former);
    fleet.world.takeStoreDown(60s);
    fleet.run(30s);
    EXPECT_EQ(fleet.holders(), std::vector<std::size_t>{holder});
}

RC_GTEST_PROP(LeaseController, NeedsBothPromisesWhileAChangeOfSuccessorIsUnknown, (const std::uint64_t seed))
{
    test::Faults faults;
    faults.storeDelay = 200ms;
    Fleet fleet{seed, 3, faults, {}};
    fleet.run(10s);
    const auto holder = fleet.holders().at(0);
    const auto former = fleet.successorOf(holder);
    const auto next = 3 - holder - former;
    fleet.world.cut(holder, former, 10min);
    for (int step = 0; step < 3000 && fleet.recordedSuccessor() != Fleet::address(next); ++step) {
        fleet.step(Fleet::stepLength);
    }
    RC_ASSERT(fleet.recordedSuccessor() == Fleet::address(next));
    fleet.world.cut(holder, former, 0s);
    fleet.world.loseAnswers(holder, 10min);
    fleet.run(30s);
    RC_ASSERT(fleet.holders() == std::vector<std::size_t>{holder});
    fleet.world.cut(holder, next, 10min);
    fleet.run(30s);
    RC_ASSERT(fleet.mostHolders == 1U);
}

TEST(LeaseController, MakesFewStoreCalls)
{
    Fleet fleet{1, 3, {}, {}};
    fleet.run(30s);
    const auto before = fleet.world.calls();
    fleet.run(100s);
    const auto rate = static_cast<double>(fleet.world.calls() - before) / 100.0;
    std::cout << "store calls per second for one right, three contenders: " << rate << '\n';
    EXPECT_LT(rate, 0.8);
}

} // namespace jasminelatch::lease
