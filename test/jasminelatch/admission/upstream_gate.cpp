#include <jasminelatch/admission/controller.hpp>
#include <jasminelatch/admission/fair_share.hpp>
#include <jasminelatch/admission/upstream_gate.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::admission {

namespace {

const ServiceName service{"inventory"};
const NodeAddress instance{"10.0.0.1:7000"};

/*! @brief Gate with a paused clock. */
struct Bench {
    Clock clock;
    Counters counters;
    std::optional<UpstreamGate> gate;

    explicit Bench(const std::uint64_t seed)
    {
        clock.pause();
        gate.emplace(GateSettings{}, clock, counters, std::mt19937_64{seed});
    }

    auto report(const double openness) -> void
    {
        Pressure pressure;
        pressure.limit = 70;
        setOpenness(pressure, openness);
        gate->report(service, instance, pressure);
    }

    /*! @brief Offers requests of each account for a time and returns the share admitted. */
    auto offer(const int importance, const std::vector<int> &perStep, const std::optional<double> openness)
        -> std::vector<double>
    {
        std::vector<double> admitted(perStep.size());
        constexpr auto steps = 300;
        for (auto step = 0; step < steps; ++step) {
            clock.advance(10ms);
            if (openness) {
                report(*openness);
            }
            gate->tick();
            for (std::size_t account = 0; account < perStep.size(); ++account) {
                for (auto count = 0; count < perStep[account]; ++count) {
                    const AccountName name{std::to_string(account)};
                    const auto refusal = gate->decide(service, static_cast<record::Importance>(importance), name);
                    admitted[account] += refusal ? 0.0 : 1.0 / steps;
                    if (refusal) {
                        RC_ASSERT(refusal->retryAfter > Duration::zero());
                        RC_ASSERT(refusal->outcome == Outcome::NotRun);
                    }
                }
            }
        }
        return admitted;
    }
};

} // namespace

RC_GTEST_PROP(UpstreamGate, RefusesOnlyBelowTheLevelAndLetsProbesThrough, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    const auto level = *rc::gen::inRange(1, 4);
    for (auto importance = 0; importance < 4; ++importance) {
        const auto admitted = bench.offer(importance, {10}, level)[0] / 10;
        RC_ASSERT(importance >= level || admitted > 0.9999);
        RC_ASSERT(importance < level || (admitted > 0.001 && admitted < 0.03));
    }
}

RC_GTEST_PROP(UpstreamGate, GivesAccountsTheirMaxMinShareAtTheLevel, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    const auto offered = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 12));
    const auto fraction = *rc::gen::inRange(30, 95) / 100.0;
    const auto admitted = bench.offer(2, offered, 2 + fraction);
    const std::vector<double> demands{offered.begin(), offered.end()};
    auto total = 0.0;
    for (const auto demand : demands) {
        total += demand;
    }
    const auto share = fairShare(demands, fraction * total);
    for (std::size_t account = 0; account < offered.size(); ++account) {
        const auto expected = std::min(demands[account], share);
        RC_ASSERT(std::abs(admitted[account] - expected) < 0.12 * demands[account]);
    }
}

TEST(UpstreamGate, OpensAgainWhenReportsGoStale)
{
    Bench bench{1};
    bench.report(1.0);
    EXPECT_DOUBLE_EQ(openness(bench.gate->pressure(service)), 1.0);
    bench.clock.advance(650ms);
    EXPECT_NEAR(openness(bench.gate->pressure(service)), 2.5, 1e-9);
    bench.clock.advance(350ms);
    EXPECT_DOUBLE_EQ(openness(bench.gate->pressure(service)), 4.0);
    EXPECT_GT(bench.offer(3, {10}, std::nullopt)[0], 9.999);
}

TEST(UpstreamGate, LevelGoesStaleHoweverOftenItIsPassedAlongAChain)
{
    constexpr std::size_t hops = 4;
    Bench deepest{1};
    deepest.report(0.5);
    std::vector<std::unique_ptr<UpstreamGate>> gates;
    std::vector<std::unique_ptr<Controller>> controllers;
    for (std::size_t hop = 0; hop < hops; ++hop) {
        gates.push_back(
            std::make_unique<UpstreamGate>(GateSettings{}, deepest.clock, deepest.counters, std::mt19937_64{hop}));
        controllers.push_back(
            std::make_unique<Controller>(Settings{}, deepest.clock, deepest.counters, Controller::Hooks{}));
    }
    const auto passOn = [&] {
        for (std::size_t hop = 0; hop < hops; ++hop) {
            const auto &below = hop == 0 ? *deepest.gate : *gates[hop - 1];
            controllers[hop]->reportDownstream(service, below.pressure(service));
            gates[hop]->report(service, instance, controllers[hop]->pressure());
        }
    };
    passOn();
    EXPECT_DOUBLE_EQ(openness(gates.back()->pressure(service)), 0.5);
    for (auto step = 0; step < 22; ++step) {
        deepest.clock.advance(50ms);
        passOn();
    }
    EXPECT_DOUBLE_EQ(openness(gates.back()->pressure(service)), 4.0);
}

TEST(UpstreamGate, WeighsInstancesByTheirLimit)
{
    Bench bench{1};
    bench.report(2.0);
    Pressure open;
    open.limit = 70;
    bench.gate->report(service, NodeAddress{"10.0.0.2:7000"}, open);
    EXPECT_DOUBLE_EQ(openness(bench.gate->pressure(service)), 3.0);
    EXPECT_EQ(bench.gate->pressure(service).limit, 140U);
}

} // namespace jasminelatch::admission
