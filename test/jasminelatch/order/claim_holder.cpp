#include "order_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

using namespace std::chrono_literals;

namespace jasminelatch::order {

namespace internal {

constexpr Duration scheduleLength{100s};

auto hostileSettings() -> Settings
{
    Settings settings;
    settings.retention = 20s;
    settings.grantValidity = 3s;
    settings.runLimit = 8s;
    return settings;
}

auto hostileFaults(const std::uint64_t seed) -> test::Faults
{
    test::Faults faults;
    faults.loss = 0.05;
    faults.duplicate = 0.1;
    faults.messageDelay = seed % 2 == 0 ? Duration{20ms} : Duration{2s};
    faults.slowStore = seed / 2 % 2 == 0 ? 0.02 : 0.2;
    faults.storeTimeout = 1s;
    return faults;
}

auto beginFault(OrderFleet &fleet, std::vector<Duration> &downUntil) -> void
{
    auto &world = fleet.world;
    const auto holder = fleet.holder();
    auto index = world.anyMachine();
    if (holder && world.chance(0.6)) {
        index = world.chance(0.6) ? *holder : fleet.successorOf(*holder);
    }
    switch (world.random()() % 6) {
    case 0:
        world.pause(index, world.upTo(30s));
        return;
    case 1:
        world.cut(index, world.anyMachine(), world.upTo(10s));
        return;
    case 2:
        world.cutFromStore(index, world.upTo(20s));
        return;
    case 3:
        world.takeStoreDown(world.upTo(10s));
        return;
    default:
        break;
    }
    if (fleet.runs(index)) {
        fleet.stop(index);
        downUntil[index] = world.elapsed() + world.upTo(4s);
    }
}

/*! @brief Submits a new key or repeats a recent one, at any node. */
auto submitSome(OrderFleet &fleet, std::vector<std::string> &keys) -> void
{
    auto &world = fleet.world;
    const auto index = world.anyMachine();
    if (!world.chance(0.1) || !fleet.runs(index) || world.isPaused(index)) {
        return;
    }
    if (keys.empty() || world.chance(0.25)) {
        keys.push_back("key" + std::to_string(keys.size()));
    }
    const auto recent = std::min<std::size_t>(keys.size(), 12);
    const auto &key = keys[keys.size() - 1 - world.random()() % recent];
    fleet.submit(index, key, world.chance(0.1) ? "other body" : "body");
}

auto runHostileSchedule(OrderFleet &fleet) -> void
{
    std::vector<Duration> downUntil(fleet.world.size());
    std::vector<std::string> keys;
    while (fleet.world.elapsed() < scheduleLength) {
        if (fleet.world.chance(0.01)) {
            beginFault(fleet, downUntil);
        }
        for (std::size_t index = 0; index < downUntil.size(); ++index) {
            if (!fleet.runs(index) && fleet.world.elapsed() >= downUntil[index]) {
                fleet.start(index);
            }
        }
        submitSome(fleet, keys);
        fleet.step();
    }
}

/*! @brief Returns the keys that ran twice although the first run was still to be remembered. */
auto doubleRuns(const OrderFleet &fleet, const Settings &settings) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto &[key, runs] : fleet.ran) {
        for (std::size_t index = 1; index < runs.size(); ++index) {
            if (runs[index].at - runs[index - 1].at < settings.retention - settings.grantValidity) {
                keys.push_back(key);
            }
        }
    }
    return keys;
}

/*! @brief Returns the requests that ran although they were refused as not run. */
auto liedAbout(const OrderFleet &fleet) -> std::vector<RequestId>
{
    std::vector<RequestId> requests;
    for (const auto &[key, runs] : fleet.ran) {
        for (const auto &run : runs) {
            const auto *verdict = fleet.verdict(run.requestId);
            if (verdict == nullptr || !std::holds_alternative<Grant>(*verdict)) {
                requests.push_back(run.requestId);
            }
        }
    }
    return requests;
}

auto refusalOf(const OrderFleet &fleet, const RequestId &id) -> Refusal
{
    const auto *verdict = fleet.verdict(id);
    const auto *refusal = verdict == nullptr ? nullptr : std::get_if<Refusal>(verdict);
    return refusal == nullptr ? Refusal{} : *refusal;
}

auto isGranted(const OrderFleet &fleet, const RequestId &id) -> bool
{
    const auto *verdict = fleet.verdict(id);
    return verdict != nullptr && std::holds_alternative<Grant>(*verdict);
}

} // namespace internal

RC_GTEST_PROP(ClaimHolder, RunsEachKeyAtMostOnce, (const std::uint64_t seed))
{
    const auto settings = internal::hostileSettings();
    OrderFleet fleet{seed, 4, internal::hostileFaults(seed), settings, {}};
    fleet.notRunShare = 0.2;
    fleet.unknownShare = 0.1;
    internal::runHostileSchedule(fleet);
    RC_ASSERT(internal::doubleRuns(fleet, settings).empty());
    RC_ASSERT(internal::liedAbout(fleet).empty());
    RC_ASSERT(fleet.violations.empty());
}

TEST(ClaimHolder, AnswersARepeatAtAnotherNodeWithTheFirstAnswer)
{
    OrderFleet fleet{1, 3, {}, {}, {}};
    fleet.run(5s);
    const auto first = fleet.submit(0, "key", "body");
    fleet.run(5s);
    ASSERT_TRUE(internal::isGranted(fleet, first));
    const auto repeat = fleet.submit(1, "key", "body");
    const auto other = fleet.submit(2, "key", "other body");
    fleet.run(1s);
    ASSERT_NE(fleet.verdict(repeat), nullptr);
    ASSERT_TRUE(std::holds_alternative<Answer>(*fleet.verdict(repeat)));
    EXPECT_EQ(std::get<Answer>(*fleet.verdict(repeat)).body, "body");
    EXPECT_EQ(internal::refusalOf(fleet, other).reason, RefusalReason::OrderConflict);
}

TEST(ClaimHolder, GrantsInAStoreOutageAndItsSuccessorKnowsTheClaims)
{
    OrderFleet fleet{1, 3, {}, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holder().value();
    const auto entry = 3 - holder - fleet.successorOf(holder);
    fleet.world.takeStoreDown(60s);
    fleet.run(20s);
    const auto first = fleet.submit(entry, "key", "body");
    fleet.run(5s);
    EXPECT_TRUE(internal::isGranted(fleet, first));
    EXPECT_EQ(fleet.counters.value("order.granted_from_replica"), 1U);
    // The holder dies before the store is back.
    fleet.stop(holder);
    fleet.run(60s);
    ASSERT_TRUE(fleet.holder());
    const auto repeat = fleet.submit(entry, "key", "body");
    const auto next = fleet.submit(entry, "another key", "body");
    fleet.run(3s);
    EXPECT_EQ(internal::refusalOf(fleet, repeat).outcome, Outcome::Ran);
    EXPECT_TRUE(internal::isGranted(fleet, next));
    EXPECT_EQ(fleet.counters.value("order.take_over_incomplete"), 0U);
    EXPECT_EQ(fleet.ran.at("key").size(), 1U);
}

TEST(ClaimHolder, AnswersUnknownWhenHolderAndReplicaLostTheirMemory)
{
    OrderFleet fleet{1, 3, {}, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holder().value();
    const auto successor = fleet.successorOf(holder);
    const auto entry = 3 - holder - successor;
    fleet.world.takeStoreDown(30s);
    fleet.run(10s);
    const auto first = fleet.submit(entry, "key", "body");
    fleet.run(5s);
    EXPECT_TRUE(internal::isGranted(fleet, first));
    fleet.stop(holder);
    fleet.stop(successor);
    fleet.start(successor);
    fleet.run(40s);
    ASSERT_TRUE(fleet.holder());
    const auto repeat = fleet.submit(entry, "key", "body");
    fleet.run(3s);
    EXPECT_EQ(internal::refusalOf(fleet, repeat).outcome, Outcome::Unknown);
    EXPECT_EQ(fleet.counters.value("order.take_over_incomplete"), 1U);
    EXPECT_EQ(fleet.ran.at("key").size(), 1U);
}

TEST(ClaimHolder, NeedsBothReplicasWhileTheirChangeIsUnknown)
{
    test::Faults faults;
    faults.storeDelay = 200ms;
    OrderFleet fleet{1, 3, faults, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holder().value();
    const auto former = fleet.successorOf(holder);
    const auto next = 3 - holder - former;
    const auto moveReplica = [&](const std::size_t from, const std::size_t to) {
        fleet.world.cut(holder, from, 10min);
        for (int step = 0; step < 3000 && fleet.recordedReplica() != OrderFleet::address(to); ++step) {
            fleet.step();
        }
    };
    // Back and forth, so that the holder knows both processes and changes from one to the other in a single write.
    moveReplica(former, next);
    fleet.world.cut(holder, former, 0s);
    fleet.run(1s);
    moveReplica(next, former);
    fleet.world.cut(holder, next, 0s);
    fleet.run(1s);
    moveReplica(former, next);
    ASSERT_EQ(fleet.recordedReplica(), OrderFleet::address(next));
    fleet.world.loseAnswers(holder, 1s);
    fleet.world.takeStoreDown(20s);
    fleet.world.cut(holder, former, 0s);
    fleet.world.cut(holder, next, 10min);
    const auto first = fleet.submit(former, "key", "body");
    fleet.run(4s);
    EXPECT_EQ(internal::refusalOf(fleet, first).outcome, Outcome::NotRun);
    EXPECT_EQ(internal::refusalOf(fleet, first).reason, RefusalReason::OrderHolderUnavailable);
    fleet.stop(holder);
    fleet.run(40s);
    ASSERT_TRUE(fleet.holder());
    fleet.submit(former, "key", "body");
    fleet.run(3s);
    EXPECT_EQ(fleet.ran["key"].size(), 1U);
}

TEST(ClaimHolder, RestartedHolderFetchesTheClaimsFromItsReplica)
{
    OrderFleet fleet{1, 3, {}, {}, {}};
    fleet.run(10s);
    const auto holder = fleet.holder().value();
    fleet.stop(holder);
    fleet.start(holder);
    fleet.run(3s);
    const auto id = fleet.submit(holder, "key", "body");
    fleet.run(3s);
    EXPECT_TRUE(internal::isGranted(fleet, id));
    EXPECT_EQ(fleet.counters.value("order.take_over_incomplete"), 0U);
}

TEST(ClaimHolder, RefusesInAStoreOutageWhenToldSo)
{
    Settings settings;
    settings.grantFromReplica = false;
    OrderFleet fleet{1, 3, {}, settings, {}};
    fleet.run(10s);
    fleet.world.takeStoreDown(60s);
    fleet.run(5s);
    const auto id = fleet.submit(0, "key", "body");
    fleet.run(5s);
    EXPECT_EQ(internal::refusalOf(fleet, id).reason, RefusalReason::OrderHolderUnavailable);
    EXPECT_EQ(internal::refusalOf(fleet, id).outcome, Outcome::NotRun);
    EXPECT_EQ(fleet.ran.size(), 0U);
}

TEST(ClaimHolder, CommitsInBatches)
{
    OrderFleet fleet{1, 3, {}, {}, {}};
    fleet.run(10s);
    const auto before = fleet.counters.value("order.store_write");
    for (int number = 0; number < 1000; ++number) {
        fleet.submit(static_cast<std::size_t>(number % 3), "key" + std::to_string(number), "body");
        fleet.step();
    }
    const auto writes = static_cast<double>(fleet.counters.value("order.store_write") - before) / 20.0;
    std::cout << "commits per second at 50 claims per second: " << writes << '\n';
    EXPECT_LE(writes, 7.0);
    fleet.run(3s);
    EXPECT_EQ(fleet.ran.size(), 1000U);
}

} // namespace jasminelatch::order
