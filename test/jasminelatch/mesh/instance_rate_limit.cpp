#include <jasminelatch/mesh/instance_gate.hpp>
#include <jasminelatch/mesh/instance_rate_limit.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using Kind = InstanceGate::Decision::Kind;
using namespace std::chrono_literals;

constexpr TimePoint start{1h};
/*! @brief Span over which the terms count the requests to an instance that states a limit. */
constexpr Duration window{4s};

/*! @brief Requests that the terms allow in one window at a stated limit. */
auto allowed(const double limit) -> double
{
    return 1.5 * limit * std::chrono::duration<double>(window).count() + 5.0;
}

/*! @brief Returns the most requests in any window. */
auto mostInAWindow(const std::vector<TimePoint> &sent) -> std::size_t
{
    std::size_t most{};
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

auto countTokens(InstanceRateLimit &limit, const TimePoint now) -> int
{
    auto count = 0;
    while (count < 1000 && limit.take(now)) {
        ++count;
    }
    return count;
}

} // namespace

TEST(InstanceRateLimit, IsUnlimitedUntilTheInstanceStatesALimit)
{
    InstanceRateLimit limit{{}};
    EXPECT_EQ(countTokens(limit, start), 1000);
    EXPECT_TRUE(limit.recordAnswer(10.0, start));
    EXPECT_EQ(limit.limit(), 10.0);
    EXPECT_LT(countTokens(limit, start + 10s), 10);
}

TEST(InstanceRateLimit, ALateAnswerWithoutALimitDoesNotEndIt)
{
    InstanceRateLimit limit{{}};
    limit.recordAnswer(10.0, start);
    EXPECT_FALSE(limit.recordAnswer(std::nullopt, start + 500ms));
    EXPECT_EQ(limit.limit(), 10.0);
    EXPECT_TRUE(limit.recordAnswer(std::nullopt, start + 1s));
    EXPECT_EQ(countTokens(limit, start + 1s), 1000);
}

TEST(InstanceRateLimit, ALowerLimitAppliesAtOnce)
{
    InstanceRateLimit limit{{}};
    limit.recordAnswer(100.0, start);
    limit.recordAnswer(2.0, start + 5s);
    EXPECT_LE(countTokens(limit, start + 5s), 1);
    EXPECT_EQ(limit.wait(0, start + 5s), 500ms);
    EXPECT_EQ(limit.wait(3, start + 5s), 2s);
}

TEST(InstanceRateLimit, AnInstanceThatAcceptsNothingIsAskedAgain)
{
    InstanceRateLimit limit{{}};
    limit.recordAnswer(0.0, start);
    EXPECT_EQ(countTokens(limit, start), 0);
    EXPECT_EQ(countTokens(limit, start + 60s), 1);
}

TEST(InstanceRateLimit, ANodeThatStartsBesideALimitedInstanceSendsFewRequestsBeforeTheFirstAnswer)
{
    // The limit was forgotten with the previous process, and 21 requests were sent before an answer stated it again.
    InstanceRateLimit limit{{}};
    limit.awaitFirstAnswer(start);
    EXPECT_LE(countTokens(limit, start), 5);
    EXPECT_GT(countTokens(limit, start + 2s), 0) << "a lost answer must not stop all requests";
    limit.recordAnswer(10.0, start + 2s);
    EXPECT_LE(countTokens(limit, start + 2s), 3);
    limit.awaitFirstAnswer(start + 3s);
    limit.recordAnswer(std::nullopt, start + 3s);
    EXPECT_EQ(countTokens(limit, start + 3s), 1000);
}

RC_GTEST_PROP(InstanceRateLimit, TheStatedRateHoldsInEveryWindowWhateverArrivesAndWhenTheNodeRestarts, ())
{
    const auto rate = static_cast<double>(*rc::gen::inRange(1, 2000)) / 10.0;
    InstanceRateLimit limit{{}};
    limit.recordAnswer(rate, start);
    const auto restartAfter = std::chrono::milliseconds{*rc::gen::inRange(0, 12'000)};
    const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 60));
    std::vector<TimePoint> sent;
    auto now = start;
    auto hasRestarted = false;
    for (const auto step : steps) {
        now += std::chrono::milliseconds{step};
        if (!hasRestarted && now - start > restartAfter) {
            hasRestarted = true;
            limit = InstanceRateLimit{{}};
            limit.awaitFirstAnswer(now);
        } else if (step % 7 == 0) {
            limit.recordAnswer(rate, now);
        }
        for (auto offered = 0; offered < step; ++offered) {
            if (limit.take(now)) {
                sent.push_back(now);
            }
        }
    }
    RC_ASSERT(static_cast<double>(mostInAWindow(sent)) <= allowed(rate));
}

TEST(InstanceRateLimit, AnotherStartOfTheInstanceIsUnlimited)
{
    InstanceRateLimit limit{{}};
    limit.recordAnswer(1.0, start);
    limit.reset();
    EXPECT_EQ(limit.limit(), std::nullopt);
    EXPECT_EQ(countTokens(limit, start), 1000);
}

TEST(InstanceGate, RequestsWaitForTheFirstAnswerAndRunWithIt)
{
    InstanceGate gate{{}};
    gate.setSlots(100);
    gate.awaitFirstAnswer(start);
    for (std::uint64_t id = 0; id < 40; ++id) {
        const auto decision = gate.offer({id, 0, "route", start + 1s, start + 100ms}, start);
        EXPECT_EQ(decision.kind, id < 2 ? Kind::Run : Kind::Wait) << id;
    }
    gate.recordAnswer(std::nullopt, start + 50ms);
    EXPECT_EQ(gate.dispatch(start + 50ms).run.size(), 38U);
}

TEST(InstanceGate, AnInstanceThatStatesALimitGetsNoMoreThanThatAndTheRestIsRefusedOrWaits)
{
    InstanceGate gate{{}};
    gate.setSlots(100);
    gate.recordAnswer(10.0, start);
    std::vector<TimePoint> sent;
    std::uint64_t next{};
    for (auto now = start; now < start + 12s; now += 10ms) {
        const auto id = next++;
        // Five times the limit arrives.
        if (next % 2 == 0 && gate.offer({id, 1, "route", now + 6s, now + 300ms}, now).kind == Kind::Run) {
            sent.push_back(now);
            gate.finish(id, 50ms);
        }
        for (const auto waited : gate.dispatch(now).run) {
            sent.push_back(now);
            gate.finish(waited, 50ms);
        }
    }
    EXPECT_LE(static_cast<double>(mostInAWindow(sent)), allowed(10.0));
    EXPECT_GE(sent.size(), 110U) << "the limit is used";
}

TEST(InstanceGate, ARateLimitAppearsAsConcurrencyAndAnExhaustedOneAsFull)
{
    InstanceGate gate{{}};
    gate.setSlots(100);
    for (std::uint64_t id = 0; id < 200; ++id) {
        gate.offer({id, 0, "route", start + 10s, start + 10s}, start);
        gate.finish(id, 200ms);
    }
    EXPECT_EQ(gate.load(start).limit, 94U);
    gate.recordAnswer(20.0, start);
    EXPECT_EQ(gate.load(start + 1s).limit, 4U);
    EXPECT_EQ(gate.load(start + 1s).running, 0U);
    for (std::uint64_t id = 300; id < 310; ++id) {
        gate.offer({id, 0, "route", start + 10s, start + 2s}, start + 1s);
    }
    EXPECT_GE(gate.load(start + 1s).running, 4U);
    gate.recordAnswer(std::nullopt, start + 3s);
    EXPECT_EQ(gate.load(start + 3s).limit, 94U);
}

TEST(InstanceGate, ARequestThatTheRateLimitWouldHoldPastItsTimeIsRefusedAtOnce)
{
    InstanceGate gate{{}};
    gate.setSlots(100);
    gate.recordAnswer(2.0, start);
    EXPECT_EQ(gate.offer({1, 0, "route", start + 6s, start + 1s}, start).kind, Kind::Wait);
    const auto second = gate.offer({2, 0, "route", start + 6s, start + 800ms}, start);
    EXPECT_EQ(second.kind, Kind::Refuse);
    EXPECT_GE(second.retryAfter, 500ms);
}

} // namespace jasminelatch::mesh
