#include <jasminelatch/mesh/capacity_estimator.hpp>
#include <jasminelatch/mesh/instance_gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Duration tick = 1ms;
constexpr std::uint32_t slots = 52;
constexpr std::uint32_t fullLimit = 48;

/*! @brief Which part of its slowness the instance states. */
enum class States : std::uint8_t {
    Nothing,
    Neighbor, /*!< Only what has another cause than its own load. */
    All
};

/*! @brief Instance, its load and its environment. */
struct Pattern {
    double speed{1.0}; /*!< Relative to the mean of its service. */
    double knee{1.0}; /*!< Fraction of the slots beyond which every run becomes slower. */
    double steepness{}; /*!< Additional slowness when all slots are in use. */
    std::function<double(Duration at)> slowness; /*!< Slowness with another cause, by time. */
    States states{States::All};
    LearnConcurrency learn{LearnConcurrency::Stated};
    double demand{1.5}; /*!< Offered work relative to what the limit carries at speed one. */
    bool hasMixedRoutes{}; /*!< Whether one request in ten takes ten times as long. */
    std::uint32_t seed{1};
};

/*! @brief Replay of a pattern on a gate with a paused clock. */
class Replay
{
public:
    explicit Replay(Pattern pattern)
        : pattern_{std::move(pattern)}
        , gate_{[&] {
            InstanceGate::Settings settings;
            settings.capacity.learn = pattern_.learn;
            return settings;
        }()}
        , random_{pattern_.seed}
    {
        gate_.setSlots(slots);
        // Demand rises over some seconds, as it does when a service starts.
        run(5s, [&](const Duration at) { return pattern_.demand * std::chrono::duration<double>(at) / 5s; });
    }

    auto run(const Duration time) -> void
    {
        run(time, [&](Duration) { return pattern_.demand; });
    }

    auto setPattern(const std::function<void(Pattern &pattern)> &change) -> void { change(pattern_); }

    auto clearCounts() -> void
    {
        answered_ = 0;
        limitSum_ = 0.0;
        ticks_ = 0;
        lowest_ = slots;
        lowestLearned_ = slots;
    }

    [[nodiscard]] auto answered() const -> std::size_t { return answered_; }
    [[nodiscard]] auto meanLimit() const -> double { return limitSum_ / static_cast<double>(ticks_); }
    [[nodiscard]] auto lowestLimit() const -> std::uint32_t { return lowest_; }
    [[nodiscard]] auto lowestLearned() const -> std::uint32_t { return lowestLearned_; }
    [[nodiscard]] auto gate() -> InstanceGate & { return gate_; }

private:
    struct Work {
        Duration startedAt;
        Duration deadline;
        double left{}; /*!< Milliseconds at speed one. */
    };

    auto run(const Duration time, const std::function<double(Duration at)> &demand) -> void
    {
        constexpr double meanWork = 60.0;
        for (const auto begin = at_; at_ < begin + time; at_ += tick) {
            const auto mean = pattern_.hasMixedRoutes ? meanWork * 1.9 : meanWork;
            const auto arrivals = std::poisson_distribution<int>{demand(at_ - begin) * fullLimit / mean}(random_);
            for (auto index = 0; index < arrivals; ++index) {
                offer(meanWork);
            }
            advance();
        }
    }

    auto offer(const double meanWork) -> void
    {
        const auto id = ++lastId_;
        const auto isLong = pattern_.hasMixedRoutes && std::uniform_real_distribution{}(random_) < 0.1;
        // Run times vary by half of their mean.
        const auto work = std::gamma_distribution{4.0, (isLong ? 10.0 : 1.0) * meanWork / 4.0}(random_);
        waiting_[id] = {{}, at_ + 1500ms, work};
        const auto now = start + at_;
        const auto decision = gate_.offer({id, 1, isLong ? "long" : "short", now + 1500ms, now + 400ms}, now);
        if (decision.kind == InstanceGate::Decision::Kind::Run) {
            begin(id);
        } else if (decision.kind == InstanceGate::Decision::Kind::Refuse) {
            waiting_.erase(id);
        }
    }

    auto begin(const std::uint64_t id) -> void
    {
        auto work = waiting_.extract(id);
        work.mapped().startedAt = at_;
        running_.insert(std::move(work));
    }

    auto advance() -> void
    {
        const auto used = static_cast<double>(running_.size()) / slots;
        const auto over = std::max(used - pattern_.knee, 0.0) / std::max(1.0 - pattern_.knee, 0.01);
        const auto own = 1.0 + pattern_.steepness * over;
        const auto other = pattern_.slowness ? pattern_.slowness(at_) : 1.0;
        std::vector<std::uint64_t> ended;
        for (auto &[id, work] : running_) {
            work.left -= pattern_.speed / (own * other);
            if (work.left <= 0.0 || at_ >= work.deadline) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            const auto work = running_.extract(id).mapped();
            if (work.left > 0.0) {
                gate_.finish(id, Duration::zero());
                continue;
            }
            if (pattern_.states != States::Nothing) {
                const auto stated = pattern_.states == States::All ? own * other : other;
                gate_.capacity().recordSlowness(std::round(stated * 100.0) / 100.0, start + at_);
            }
            gate_.finish(id, at_ - work.startedAt);
            ++answered_;
        }
        const auto dispatched = gate_.dispatch(start + at_);
        for (const auto &refused : dispatched.refused) {
            waiting_.erase(refused.id);
        }
        for (const auto id : dispatched.run) {
            begin(id);
        }
        limitSum_ += gate_.capacity().limit();
        ++ticks_;
        lowest_ = std::min(lowest_, gate_.capacity().limit());
        lowestLearned_ = std::min(lowestLearned_, gate_.capacity().learnedLimit());
    }

    Pattern pattern_;
    InstanceGate gate_;
    std::mt19937 random_;
    Duration at_{};
    std::uint64_t lastId_{};
    std::map<std::uint64_t, Work> waiting_;
    std::map<std::uint64_t, Work> running_;
    std::size_t answered_{};
    double limitSum_{};
    std::size_t ticks_{};
    std::uint32_t lowest_{slots};
    std::uint32_t lowestLearned_{slots};
};

/*! @brief Neighbor that slows the instance by a factor of 2.5 for 90 ms out of 600. */
auto noisyNeighbor(const Duration at) -> double
{
    return at % 600ms < 90ms ? 2.5 : 1.0;
}

/*! @brief Replays a pattern for 30 s after its start; figures are without the start. */
auto replayed(const Pattern &pattern) -> Replay
{
    Replay replay{pattern};
    replay.clearCounts();
    replay.run(30s);
    return replay;
}

/*! @brief Replays a pattern with the constant limit and with the learned one. */
auto compare(Pattern pattern) -> std::pair<Replay, Replay>
{
    auto learned = replayed(pattern);
    pattern.learn = LearnConcurrency::Never;
    auto constant = replayed(pattern);
    std::printf("[ replay   ] constant limit: %zu answered; learned: %zu, mean limit %.1f\n",
                constant.answered(),
                learned.answered(),
                learned.meanLimit());
    return {std::move(constant), std::move(learned)};
}

} // namespace

// The constant limit let an instance fill up that slows down from 0.6 of its slots on, which halved what it answered.
TEST(CapacityEstimator, AnInstanceThatSlowsDownBeforeItIsFullGetsALowerLimitAndAnswersMore)
{
    for (const auto states : {States::Neighbor, States::All}) {
        for (const auto knee : {0.6, 0.7, 0.8}) {
            const Pattern pattern{.knee = knee, .steepness = 1.5, .states = states};
            const auto [constant, learned] = compare(pattern);
            EXPECT_GT(learned.answered(), constant.answered() * 6 / 5) << knee;
            EXPECT_LT(learned.meanLimit(), knee * slots * 1.15) << knee;
            EXPECT_GT(learned.meanLimit(), knee * slots * 0.85) << knee;
        }
    }
}

// A neighbor that takes the VM for moments must not hide what the instance does by itself.
TEST(CapacityEstimator, SlowingDownBeforeItIsFullIsFoundBesideANoisyNeighbor)
{
    const auto [constant, learned] = compare({.knee = 0.6, .steepness = 3.0, .slowness = noisyNeighbor});
    EXPECT_GT(learned.answered(), constant.answered() * 3 / 2);
}

// Instances that are slow or fast at any concurrency lose slots for nothing if speed alone moves the limit.
TEST(CapacityEstimator, SpeedAloneDoesNotChangeTheLimit)
{
    for (const auto speed : {0.5, 0.8, 1.0, 1.25, 1.6}) {
        for (const auto demand : {0.45, 0.9, 1.5}) {
            EXPECT_EQ(replayed({.speed = speed, .demand = demand}).lowestLimit(), fullLimit) << speed;
        }
    }
    EXPECT_EQ(replayed({.slowness =
                            [](Duration) {
                                return 2.0;
                            }})
                  .lowestLimit(),
              fullLimit)
        << "states 200 always";
}

// Bursts raise run times and concurrency together, which looks like a limit that is too high.
TEST(CapacityEstimator, ANoisyNeighborDoesNotChangeTheLimit)
{
    for (const auto demand : {0.5, 0.8, 1.5}) {
        Pattern pattern{.slowness = noisyNeighbor, .demand = demand};
        EXPECT_EQ(replayed(pattern).lowestLimit(), fullLimit) << demand;
        pattern.states = States::Nothing;
        pattern.learn = LearnConcurrency::Always;
        EXPECT_EQ(replayed(pattern).lowestLimit(), fullLimit) << demand;
    }
}

// Longer bursts fill the instance, so that most runs at full concurrency are slow ones; what is stated tells them
// apart.
TEST(CapacityEstimator, LongerBurstsThatAreStatedDoNotChangeTheLimit)
{
    const auto bursts = [](const Duration at) {
        return at % 1400ms < 600ms ? 2.5 : 1.0;
    };
    for (const auto demand : {0.5, 0.6, 0.7}) {
        EXPECT_EQ(replayed({.slowness = bursts, .states = States::Neighbor, .demand = demand}).lowestLearned(),
                  fullLimit)
            << demand;
    }
}

// A slowness of seconds is not cured by fewer requests; a lower limit would only take capacity away.
TEST(CapacityEstimator, AnInstanceThatIsSlowForSecondsKeepsItsLimit)
{
    const auto isSlow = [](const Duration at) {
        return at > 10s && at < 16s ? 3.0 : 1.0;
    };
    for (const auto demand : {0.8, 1.5}) {
        const auto [constant, learned] = compare({.slowness = isSlow, .demand = demand});
        EXPECT_EQ(learned.lowestLearned(), fullLimit) << demand;
        EXPECT_GT(learned.answered(), constant.answered() * 98 / 100) << demand;
    }
}

// A limit that stays low after its reason has gone keeps requests from a healthy instance.
TEST(CapacityEstimator, TheLimitIsBackSecondsAfterARecovery)
{
    for (const auto states : {States::Neighbor, States::All}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            Replay replay{{.knee = 0.6, .steepness = 3.0, .states = states, .seed = seed}};
            replay.run(10s);
            EXPECT_LT(replay.gate().capacity().learnedLimit(), 36U) << seed;
            replay.setPattern([](Pattern &pattern) { pattern.steepness = 0.0; });
            auto time = Duration{};
            for (; time < 12s && replay.gate().capacity().learnedLimit() < fullLimit; time += 100ms) {
                replay.run(100ms);
            }
            EXPECT_LE(time, 8s) << seed;
            RecordProperty("recovery_ms_" + std::to_string(seed), static_cast<int>(time / 1ms));
        }
    }
}

TEST(CapacityEstimator, ARecoveredInstanceThatIsNotFullGetsItsLimitBackToo)
{
    Replay replay{{.knee = 0.6, .steepness = 3.0}};
    replay.run(10s);
    EXPECT_LT(replay.gate().capacity().learnedLimit(), 36U);
    replay.setPattern([](Pattern &pattern) { pattern.demand = 0.2; });
    replay.run(12s);
    EXPECT_EQ(replay.gate().capacity().learnedLimit(), fullLimit);
}

// Cheap and expensive requests in one mean look like changes of speed.
TEST(CapacityEstimator, MixedRoutesAreMeasuredAgainstTheirOwnMeans)
{
    EXPECT_EQ(replayed({.hasMixedRoutes = true}).lowestLimit(), fullLimit);
    const auto [constant, learned] = compare({.knee = 0.7, .steepness = 3.0, .hasMixedRoutes = true});
    EXPECT_GT(learned.answered(), constant.answered() * 3 / 2);
}

TEST(CapacityEstimator, ANewStartOfTheInstanceBeginsWithTheFullLimit)
{
    Replay replay{{.knee = 0.6, .steepness = 3.0}};
    replay.run(10s);
    EXPECT_LT(replay.gate().capacity().learnedLimit(), 36U);
    replay.gate().capacity().reset();
    EXPECT_EQ(replay.gate().capacity().limit(), fullLimit);
    EXPECT_EQ(replay.gate().capacity().slowness(), 1.0);
}

// Services that state no slowness must be served as before.
TEST(CapacityEstimator, NothingChangesWithoutTheStatedSlownessOrWithTheSwitchOff)
{
    Pattern pattern{.knee = 0.6, .steepness = 3.0, .states = States::Nothing, .learn = LearnConcurrency::Stated};
    const auto stated = replayed(pattern);
    pattern.states = States::All;
    pattern.learn = LearnConcurrency::Never;
    const auto never = replayed(pattern);
    EXPECT_EQ(stated.lowestLimit(), fullLimit);
    EXPECT_EQ(never.lowestLimit(), fullLimit);
    EXPECT_EQ(stated.answered(), never.answered());
}

// A report taken during a burst of a neighbor told other nodes of an instance 2.5 times as slow, after the burst.
TEST(CapacityEstimator, TheReportedRunTimeHasTheAverageSlownessInsteadOfTheMomentary)
{
    InstanceGate gate{{}};
    gate.setSlots(slots);
    const auto runOnce = [&](const std::uint64_t id, const TimePoint at, const double slowness) {
        gate.offer({id, 1, "short", at + 10s, at + 10s}, at);
        const auto runTime = Duration{static_cast<Duration::rep>(20'000 * slowness)};
        gate.capacity().recordSlowness(slowness, at + 1us);
        gate.capacity().recordSlowness(slowness, at + runTime);
        gate.finish(id, runTime);
    };
    auto at = start;
    std::uint64_t id = 0;
    runOnce(++id, at, 1.0);
    gate.setFleetProfiles({{"short", {"short", 100.0, 20ms, {}}}});
    for (; at < start + 3s; at += 100ms) {
        runOnce(++id, at, 1.0);
    }
    for (const auto burst = at; at < burst + 90ms; at += 50ms) {
        runOnce(++id, at, 2.5);
    }
    EXPECT_LT(gate.load(at).runTime, 25ms);
}

RC_GTEST_PROP(CapacityEstimator, TheLimitStaysBetweenOneAndTheMaximum, ())
{
    CapacityEstimator estimator{{.learn = LearnConcurrency::Always}};
    const auto maximum = *rc::gen::inRange(1U, 40U);
    estimator.setMaximum(maximum);
    auto now = start;
    for (const auto time : *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100))) {
        const auto running = std::min<std::size_t>(estimator.limit(), 1U + static_cast<unsigned>(time));
        estimator.recordSlowness(time / 10.0, now);
        const auto begun = estimator.start(running, now);
        estimator.recordRun("route", begun, running, Duration{time * 1000});
        now += 10ms;
        RC_ASSERT(estimator.limit() >= 1U && estimator.limit() <= maximum);
        RC_ASSERT(estimator.learnedLimit() >= 1U && estimator.learnedLimit() <= maximum);
    }
}

} // namespace jasminelatch::mesh
