#include "plans.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace jasminelatch::test {

namespace {

/*! @brief Length of a pause that outlasts every lease. */
constexpr auto pauseLength = std::chrono::seconds{9};

auto pauseNode(ProcessFleet &fleet, const std::size_t victim) -> void
{
    fleet.vm(victim).node.signal(SIGSTOP);
    // The length of the pause is the fault itself.
    std::this_thread::sleep_for(pauseLength);
    fleet.vm(victim).node.signal(SIGCONT);
}

/*! @brief Returns how often the backend servers ran a quick request of the narrow account. */
auto quickRuns(ProcessFleet &fleet) -> double
{
    double count = 0;
    for (const auto &run : fleet.runs("shop")) {
        count += run.at("path") == "/quick" ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(Pauses, QuotaHolderWakesAfterItsLease)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    const auto begin = std::chrono::steady_clock::now();
    // Several times the account's rate; callers keep to their node, so that few wait for the paused one.
    Traffic traffic{30, std::chrono::milliseconds{5}, [&](const unsigned caller, const unsigned number) {
                        const auto &vm = fleet.vm(caller % fleet.size());
                        auto request = preview(vm, fleet.key("school"), std::to_string(number));
                        request.url = vm.callerUrl() + "/shop/quick";
                        return request;
                    }};
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 30; }));
    const auto victim = fleet.holderOf("quota/0/0");
    ASSERT_TRUE(victim);
    pauseNode(fleet, *victim);
    const auto woken = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(woken) >= 60; }));
    const auto sent = traffic.stop();
    const std::chrono::duration<double> length = std::chrono::steady_clock::now() - begin;
    const auto bound = narrowBurst + narrowRate * length.count();
    EXPECT_GT(static_cast<double>(sent.size()), 2 * bound) << "too little demand to show anything";
    EXPECT_LE(quickRuns(fleet), bound);
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
}

TEST(Pauses, CellHolderWakesAfterItsLease)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    Traffic traffic{12, std::chrono::milliseconds{10}, [&](const unsigned caller, const unsigned number) {
                        return preview(
                            fleet.vm((caller + number) % fleet.size()), fleet.key("club"), std::to_string(number));
                    }};
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 50; }));
    const auto victim = fleet.cellHolder();
    ASSERT_TRUE(victim);
    pauseNode(fleet, *victim);
    const auto woken = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(woken) >= 100; }));
    EXPECT_TRUE(fleet.waitReady());
    const auto sent = traffic.stop();
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
}

} // namespace jasminelatch::test
