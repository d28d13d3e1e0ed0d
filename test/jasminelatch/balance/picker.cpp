#include <jasminelatch/balance/picker.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace std::chrono_literals;

namespace jasminelatch::balance {

namespace {

using membership::Endpoint;
using membership::EndpointState;

const ServiceName service{"inventory"};
const FailureDomain ownDomain{"a"};

auto nodeName(const int index) -> NodeAddress
{
    return NodeAddress{"10.0.0." + std::to_string(index) + ":7000"};
}

auto makeEndpoint(const int index, const std::uint32_t slots, const std::string &domain) -> Endpoint
{
    return Endpoint{nodeName(index), service, FailureDomain{domain}, slots, slots * 7, EndpointState::Ready};
}

/*! @brief Picker with a paused clock; requests last until the test ends them. */
struct Bench {
    Clock clock;
    Counters counters;
    std::optional<Picker> picker;
    std::vector<std::pair<TimePoint, NodeAddress>> running;

    explicit Bench(const std::uint64_t seed)
    {
        clock.pause();
        picker.emplace(Settings{}, ownDomain, clock, counters, std::mt19937_64{seed});
    }

    /*! @brief Picks and starts `perStep` requests every ten milliseconds, each lasting 50 ms; counts them. */
    auto run(const int steps, const int perStep, const std::function<Result(const NodeAddress &)> &result)
        -> std::map<NodeAddress, int>
    {
        std::map<NodeAddress, int> picked;
        for (auto step = 0; step < steps; ++step) {
            clock.advance(10ms);
            endDue(result);
            for (auto count = 0; count < perStep; ++count) {
                if (const auto node = picker->pick(service, {})) {
                    ++picked[*node];
                    picker->started(*node);
                    running.emplace_back(clock.now() + 50ms, *node);
                }
            }
        }
        return picked;
    }

    auto endDue(const std::function<Result(const NodeAddress &)> &result) -> void
    {
        for (auto position = running.begin(); position != running.end();) {
            if (position->first > clock.now()) {
                ++position;
                continue;
            }
            const auto node = position->second;
            position = running.erase(position);
            picker->finished(node, result(node), std::nullopt);
        }
    }
};

auto alwaysOk(const NodeAddress &) -> Result
{
    return Result::Ok;
}

} // namespace

RC_GTEST_PROP(Picker, NeverPicksADrainingOrExcludedEndpoint, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    const auto count = *rc::gen::inRange(0, 6);
    std::vector<Endpoint> endpoints;
    std::vector<NodeAddress> exclude;
    auto usable = 0;
    for (auto index = 0; index < count; ++index) {
        endpoints.push_back(makeEndpoint(index, *rc::gen::inRange(0U, 100U), index % 2 == 0 ? "a" : "b"));
        endpoints.back().state = static_cast<EndpointState>(*rc::gen::inRange(0, 3));
        if (*rc::gen::inRange(0, 3) == 0) {
            exclude.push_back(endpoints.back().node);
        } else if (endpoints.back().state != EndpointState::Draining) {
            ++usable;
        }
    }
    bench.picker->setEndpoints(service, endpoints);
    for (auto round = 0; round < 20; ++round) {
        const auto node = bench.picker->pick(service, exclude);
        RC_ASSERT(node.has_value() == (usable > 0));
        if (!node) {
            continue;
        }
        const auto found =
            std::find_if(endpoints.begin(), endpoints.end(), [&](auto &each) { return each.node == *node; });
        RC_ASSERT(found != endpoints.end());
        RC_ASSERT(found->state != EndpointState::Draining);
        RC_ASSERT(std::find(exclude.begin(), exclude.end(), *node) == exclude.end());
        bench.picker->started(*node);
        bench.picker->finished(*node, static_cast<Result>(*rc::gen::inRange(0, 4)), std::nullopt);
    }
}

RC_GTEST_PROP(Picker, SpreadsLoadInProportionToCapacity, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    const auto slots = *rc::gen::container<std::vector<std::uint32_t>>(5, rc::gen::inRange(10U, 101U));
    std::vector<Endpoint> endpoints;
    auto total = 0.0;
    for (auto index = 0; index < 5; ++index) {
        endpoints.push_back(makeEndpoint(index, slots[index], "a"));
        total += slots[index];
    }
    bench.picker->setEndpoints(service, endpoints);
    // Five steps of ten milliseconds are in flight at once: 80 % of all slots.
    const auto perStep = static_cast<int>(0.8 * total / 5);
    auto picked = bench.run(200, perStep, alwaysOk);
    for (auto index = 0; index < 5; ++index) {
        const auto expected = 200.0 * perStep * slots[index] / total;
        RC_ASSERT(picked[nodeName(index)] < 1.25 * expected);
        RC_ASSERT(picked[nodeName(index)] > 0.75 * expected);
    }
}

RC_GTEST_PROP(Picker, StaysInTheOwnDomainWhileItCopesAndLeavesItAfter, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    bench.picker->setEndpoints(service, {makeEndpoint(0, 50, "a"), makeEndpoint(1, 50, "b"), makeEndpoint(2, 50, "c")});
    // 25 requests in flight: half of what the own domain can do.
    auto light = bench.run(200, 5, alwaysOk);
    RC_ASSERT(light[nodeName(0)] == 1000);
    // 100 requests in flight: two thirds of what all can do.
    auto heavy = bench.run(200, 20, alwaysOk);
    RC_ASSERT(heavy[nodeName(0)] > 1200);
    RC_ASSERT(heavy[nodeName(0)] < 2000);
    RC_ASSERT(heavy[nodeName(1)] > 700);
    RC_ASSERT(heavy[nodeName(2)] > 700);
}

RC_GTEST_PROP(Picker, AvoidsFailedEndpointsForAGrowingTimeAndTakesThemBack, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    bench.picker->setEndpoints(service, {makeEndpoint(0, 50, "a"), makeEndpoint(1, 50, "a")});
    const auto silent = [](const NodeAddress &node) {
        return node == nodeName(0) ? Result::Silent : Result::Ok;
    };
    bench.run(20, 4, silent);
    auto early = bench.run(300, 4, silent);
    auto late = bench.run(300, 4, silent);
    RC_ASSERT(early[nodeName(0)] >= 1);
    RC_ASSERT(early[nodeName(0)] <= 4);
    RC_ASSERT(late[nodeName(0)] <= early[nodeName(0)]);
    bench.run(1700, 4, alwaysOk);
    auto after = bench.run(300, 4, alwaysOk);
    RC_ASSERT(after[nodeName(0)] > 400);
}

RC_GTEST_PROP(Picker, FollowsFreshReportsAndForgetsOldOnes, ())
{
    Bench bench{*rc::gen::arbitrary<std::uint64_t>()};
    bench.picker->setEndpoints(service, {makeEndpoint(0, 50, "a"), makeEndpoint(1, 50, "a")});
    admission::Pressure loaded;
    loaded.limit = 50;
    loaded.inFlight = 50;
    loaded.queued = 100;
    bench.picker->finished(nodeName(0), Result::Ok, loaded);
    auto fresh = bench.run(10, 4, alwaysOk);
    RC_ASSERT(fresh[nodeName(0)] == 0);
    bench.clock.advance(10s);
    auto old = bench.run(100, 4, alwaysOk);
    RC_ASSERT(old[nodeName(0)] > 160);
    RC_ASSERT(old[nodeName(0)] < 240);
}

TEST(Picker, GivesColdEndpointsAGrowingShare)
{
    Bench bench{1};
    auto cold = makeEndpoint(0, 50, "a");
    cold.state = EndpointState::Starting;
    bench.picker->setEndpoints(service, {cold, makeEndpoint(1, 50, "a")});
    auto first = bench.run(200, 6, alwaysOk);
    auto second = bench.run(200, 6, alwaysOk);
    bench.run(700, 6, alwaysOk);
    auto last = bench.run(200, 6, alwaysOk);
    EXPECT_LT(first[nodeName(0)], 300);
    EXPECT_GT(first[nodeName(0)], 20);
    EXPECT_GT(second[nodeName(0)], first[nodeName(0)]);
    EXPECT_GT(last[nodeName(0)], 500);
}

} // namespace jasminelatch::balance
