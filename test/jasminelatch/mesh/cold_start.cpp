#include <jasminelatch/mesh/cold_start.hpp>
#include <jasminelatch/mesh/instance_gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Duration coldTime{3s};
constexpr double coldRate = 13.0;
/*! @brief Requests in one second that the terms allow a cold instance: 13 a second times 1.5, and 8. */
constexpr std::size_t allowedPerSecond = 27;
constexpr ColdStart::Settings terms{1.5, 4.0};

auto coldStart() -> ColdStart
{
    ColdStart coldStart{terms};
    coldStart.setTerms(coldTime, coldRate);
    return coldStart;
}

/*! @brief Offers a request every few milliseconds, far above the rate, and returns when they were sent. */
auto flood(ColdStart &coldStart, const TimePoint from, const Duration time, const Duration pause = 5ms)
    -> std::vector<TimePoint>
{
    std::vector<TimePoint> sent;
    for (auto now = from; now < from + time; now += pause) {
        if (coldStart.allows(now)) {
            coldStart.record(now);
            sent.push_back(now);
        }
    }
    return sent;
}

auto mostInASecond(const std::vector<TimePoint> &sent) -> std::size_t
{
    std::size_t most{};
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= 1s) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

// A cold instance got 33 requests in a second where 27.5 were allowed, and crashed again.
RC_GTEST_PROP(ColdStart, AColdInstanceGetsNoMoreThanItToleratesWhateverArrives, ())
{
    auto limit = coldStart();
    limit.suspect(start);
    const auto pause = std::chrono::milliseconds{*rc::gen::inRange(1, 40)};
    // Heartbeats repeat what is left at random moments.
    std::vector<TimePoint> sent;
    for (auto now = start; now < start + coldTime; now += pause) {
        if (*rc::gen::inRange(0, 20) == 0) {
            limit.applyStated(start + coldTime - now, now);
        }
        if (limit.allows(now)) {
            limit.record(now);
            sent.push_back(now);
        }
    }
    RC_ASSERT(mostInASecond(sent) <= allowedPerSecond);
}

TEST(ColdStart, UsesTheRateThatAColdInstanceTolerates)
{
    auto limit = coldStart();
    limit.suspect(start);
    EXPECT_GE(flood(limit, start, coldTime).size(), static_cast<std::size_t>(coldRate * 3));
    EXPECT_FALSE(limit.isLimited(start + coldTime));
    EXPECT_GT(flood(limit, start + coldTime, 1s).size(), 100U);
}

TEST(ColdStart, AServiceWithoutARateIsNotLimited)
{
    ColdStart limit{terms};
    limit.setTerms(coldTime, 0.0);
    limit.suspect(start);
    limit.applyStated(coldTime, start);
    EXPECT_FALSE(limit.isSuspected(start));
    EXPECT_EQ(limit.remaining(start), Duration::zero());
    EXPECT_EQ(flood(limit, start, 1s).size(), 200U);
}

TEST(ColdStart, AnAnswerEndsASuspicionButNoLaterOne)
{
    auto limit = coldStart();
    limit.suspect(start);
    limit.suspect(start + 100ms);
    // The instance was asked before it may have started again.
    limit.applyAnswer({}, start + 50ms, start + 150ms);
    EXPECT_TRUE(limit.isSuspected(start + 150ms));
    limit.applyAnswer({}, start + 120ms, start + 160ms);
    EXPECT_FALSE(limit.isLimited(start + 160ms));
}

TEST(ColdStart, AnInstanceThatSaysSoIsColdForAsLongAsItSays)
{
    auto limit = coldStart();
    limit.applyStated(2s, start);
    EXPECT_EQ(limit.remaining(start), Duration{2s});
    EXPECT_FALSE(limit.isSuspected(start));
    // A report of the time before arrives late.
    limit.applyStated({}, start + 100ms);
    EXPECT_EQ(limit.remaining(start + 1s), Duration{1s});
    limit.suspect(start + 1s);
    limit.applyAnswer(1500ms, start + 1s, start + 1100ms);
    EXPECT_EQ(limit.remaining(start + 1100ms), Duration{1500ms});
}

TEST(ColdStart, TheGateQueuesWhatAColdInstanceCannotTakeAndOtherNodesSeeTheLimit)
{
    InstanceGate gate{{.coldStart = terms}};
    gate.setSlots(50);
    gate.coldStart().setTerms(coldTime, coldRate);
    const auto offer = [&](const std::uint64_t id, const TimePoint now) {
        return gate.offer({id, 1, "r", now + 5s, now + 400ms, 0}, now).kind;
    };
    EXPECT_EQ(offer(1, start), InstanceGate::Decision::Kind::Run);
    gate.coldStart().suspect(start);
    EXPECT_EQ(offer(2, start), InstanceGate::Decision::Kind::Wait);
    EXPECT_EQ(gate.load(start).limit, 1U);
    EXPECT_GE(gate.load(start).running, 1U);
    const auto later = start + 200ms;
    EXPECT_EQ(gate.dispatch(later).run.size(), 1U);
    gate.coldStart().applyAnswer({}, later, later);
    EXPECT_EQ(gate.load(later).limit, 47U);
    EXPECT_EQ(offer(3, later), InstanceGate::Decision::Kind::Run);
}

} // namespace jasminelatch::mesh
