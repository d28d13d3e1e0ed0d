#include "plans.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace jasminelatch::test {

namespace {

constexpr auto drainLimit = std::chrono::seconds{2};
constexpr auto leaveLimit = std::chrono::seconds{20};

/*! @brief Returns an account of the requests that got neither a whole answer nor a refusal with `not_run`. */
auto cutOff(const std::vector<Sent> &sent) -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto &request : sent) {
        const auto refused = request.reply.end == net::HttpEnd::NotSent || request.reply.outcome == "not_run";
        if (!request.isComplete() && !refused) {
            found.push_back(request.request.url + " end " + std::to_string(static_cast<int>(request.reply.end)) + " "
                            + std::to_string(request.reply.status) + " " + request.reply.reason + " "
                            + request.reply.outcome);
        }
    }
    return found;
}

auto mixedTraffic(ProcessFleet &fleet, const std::size_t callersAt) -> Traffic::MakeRequest
{
    return [&fleet, callersAt](const unsigned caller, const unsigned number) {
        const auto name = std::to_string(caller) + "-" + std::to_string(number);
        const auto &vm = fleet.vm((caller + number) % callersAt);
        return number % 4 == 0 ? order(vm, fleet.key("club"), name) : preview(vm, fleet.key("club"), name);
    };
}

} // namespace

TEST(Leaving, NodeCutsNothingOff)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    Traffic traffic{20, std::chrono::milliseconds{5}, mixedTraffic(fleet, fleet.size())};
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 100; }));
    fleet.vm(0).node.signal(SIGTERM);
    const auto exit = fleet.vm(0).node.wait(leaveLimit);
    EXPECT_EQ(exit, 0);
    const auto left = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(left) >= 100; }));
    const auto sent = traffic.stop();
    EXPECT_EQ(cutOff(sent), std::vector<std::string>{});
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
}

TEST(Leaving, DrainedBackendServerGetsNothingAfterTwoSeconds)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    Traffic traffic{20, std::chrono::milliseconds{5}, mixedTraffic(fleet, fleet.size())};
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 100; }));
    fleet.setBackendFaults(1, {{"draining", true}});
    const auto drained = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return std::chrono::steady_clock::now() - drained > drainLimit; }));
    const auto atLimit = fleet.runCount(1);
    const auto later = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(later) >= 300; }));
    EXPECT_EQ(fleet.runCount(1), atLimit) << "new work after the bound";
    fleet.vm(1).backend.signal(SIGTERM);
    EXPECT_EQ(fleet.vm(1).backend.wait(leaveLimit), 0);
    const auto sent = traffic.stop();
    EXPECT_EQ(cutOff(sent), std::vector<std::string>{});
}

TEST(Leaving, AllVmsAreReplacedUnderTraffic)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    std::mutex mutex;
    std::vector<std::string> addresses;
    const auto refreshAddresses = [&] {
        const std::lock_guard lock{mutex};
        addresses.clear();
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            addresses.push_back(fleet.vm(index).callerUrl());
        }
    };
    refreshAddresses();
    Traffic traffic{16, std::chrono::milliseconds{5}, [&](const unsigned caller, const unsigned number) {
                        const auto name = std::to_string(caller) + "-" + std::to_string(number);
                        auto request = number % 4 == 0 ? order(fleet.vm(0), fleet.key("club"), name)
                                                       : preview(fleet.vm(0), fleet.key("club"), name);
                        const std::lock_guard lock{mutex};
                        request.url = addresses[(caller + number) % addresses.size()]
                                    + (number % 4 == 0 ? "/shop/order" : "/shop/preview");
                        return request;
                    }};
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        auto &vm = fleet.vm(index);
        vm.backend.signal(SIGTERM);
        vm.node.signal(SIGTERM);
        EXPECT_EQ(vm.node.wait(leaveLimit), 0) << "node " << index;
        EXPECT_EQ(vm.backend.wait(leaveLimit), 0) << "backend server " << index;
        {
            const std::lock_guard lock{mutex};
            fleet.replaceVm(index);
        }
        refreshAddresses();
        EXPECT_TRUE(fleet.waitReady()) << "after VM " << index;
    }
    const auto replaced = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(replaced) >= 100; }));
    const auto sent = traffic.stop();
    EXPECT_EQ(cutOff(sent), std::vector<std::string>{}) << describeFailures(sent);
}

} // namespace jasminelatch::test
