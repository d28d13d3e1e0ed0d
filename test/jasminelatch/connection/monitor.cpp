#include "two_nodes.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;

namespace jasminelatch::connection::test {

namespace {

auto checkOracle(const TwoNodes &nodes) -> void
{
    RC_ASSERT(nodes.twice == 0);
    for (const auto &[id, outcome] : nodes.outcomes) {
        RC_ASSERT(outcome != Outcome::NotRun || !nodes.ran.contains(id));
        RC_ASSERT(outcome != Outcome::Ran || nodes.ran.contains(id));
    }
    for (const auto &id : nodes.answered) {
        RC_ASSERT(nodes.ran.contains(id));
    }
    for (const auto &id : nodes.confirmed) {
        RC_ASSERT(nodes.ran.count(id) <= 1U);
    }
}

auto disturb(TwoNodes &nodes) -> void
{
    switch (*rc::gen::weightedElement<int>({{8, 0}, {6, 1}, {2, 2}, {2, 3}, {1, 4}, {1, 5}, {1, 6}})) {
    case 0:
        nodes.send();
        return;
    case 1:
        nodes.advance(*rc::gen::inRange(1, 60) * 10ms);
        return;
    case 2:
        nodes.network.mute = true;
        return;
    case 3:
        nodes.network.deaf = true;
        return;
    case 4:
        nodes.network.cut = !nodes.network.cut;
        return;
    case 5:
        nodes.network.longestDelay = *rc::gen::element<Duration>(5ms, 300ms, 8s);
        return;
    default:
        nodes.restartResponder();
    }
}

} // namespace

RC_GTEST_PROP(Monitor, SettlesEachRequestOnceAndNeverLiesAboutNotRun, ())
{
    TwoNodes nodes{*rc::gen::arbitrary<std::uint64_t>()};
    nodes.advance(50ms);
    const auto steps = *rc::gen::inRange(20, 150);
    for (auto step = 0; step < steps; ++step) {
        disturb(nodes);
        checkOracle(nodes);
    }
    nodes.network.cut = false;
    nodes.network.longestDelay = 5ms;
    nodes.advance(20s);
    checkOracle(nodes);
    RC_ASSERT(nodes.monitor().pendingCount() == 0U);
    RC_ASSERT(nodes.sent.size() == nodes.outcomes.size() + nodes.answered.size());
}

RC_GTEST_PROP(Monitor, FindsASilentConnectionWithinTwoSeconds, ())
{
    TwoNodes nodes{*rc::gen::arbitrary<std::uint64_t>()};
    nodes.advance(50ms);
    nodes.advance(*rc::gen::inRange(0, 1500) * 10ms);
    const auto isMute = *rc::gen::arbitrary<bool>();
    (isMute ? nodes.network.mute : nodes.network.deaf) = true;
    nodes.advance(*rc::gen::inRange(0, 50) * 10ms);
    const auto before = nodes.reopened.size();
    const auto sentAt = nodes.now();
    const auto id = nodes.send();
    nodes.advance(3s);
    if (before == nodes.reopened.size()) {
        RC_ASSERT(nodes.answered.contains(id));
        return;
    }
    RC_ASSERT(nodes.reopened.at(before) - sentAt <= 2s);
    // A request that the silence swallowed did not run; one that ran has its answer fetched.
    RC_ASSERT(nodes.answered.contains(id) != isMute);
    if (isMute) {
        RC_ASSERT(nodes.outcomes.at(id) == Outcome::NotRun);
    }
}

TEST(Monitor, KeepsAQuietButWorkingConnectionAndSendsFewHeartbeats)
{
    TwoNodes nodes{1};
    nodes.advance(60s);
    EXPECT_TRUE(nodes.reopened.empty());
    EXPECT_TRUE(nodes.monitor().isConfirmed(responder));
    EXPECT_EQ(nodes.counters().value("connection.silent"), 0U);
}

TEST(Monitor, ToleratesAPauseOfItsOwnProcess)
{
    Clock clock;
    clock.pause();
    Counters counters;
    AnswerCache cache{CacheSettings{}, 1, clock, counters, AnswerCache::Hooks{}};
    auto reopened = 0;
    std::uint64_t sequence = 0;
    const auto send = [&](const NodeAddress &, const Message &message) {
        sequence = std::get<Ping>(message).sequence;
    };
    Monitor monitor{Settings{},
                    clock,
                    counters,
                    cache,
                    {send,
                     [&](const NodeAddress &) { ++reopened; },
                     [](const RequestId &, Outcome) {},
                     [](auto &) {
                     }}};
    monitor.opened(responder);
    clock.advance(10s);
    monitor.tick();
    EXPECT_EQ(reopened, 0);
    monitor.receive(responder, Pong{sequence, 5});
    EXPECT_TRUE(monitor.isConfirmed(responder));
    // Slow ticks one after the other hide no silence.
    monitor.sent(responder, RequestId{"1"});
    for (auto count = 0; count < 4; ++count) {
        clock.advance(600ms);
        monitor.tick();
    }
    EXPECT_GE(reopened, 1);
}

TEST(Monitor, GivesUpAPeerThatCannotBeReached)
{
    TwoNodes nodes{1};
    nodes.advance(100ms);
    nodes.network.cut = true;
    nodes.network.mute = true;
    const auto id = nodes.send();
    nodes.advance(5s);
    EXPECT_EQ(nodes.outcomes.at(id), Outcome::Unknown);
    EXPECT_EQ(nodes.counters().value("connection.peer_lost"), 1U);
}

} // namespace jasminelatch::connection::test
