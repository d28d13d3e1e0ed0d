#include "plans.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminelatch::test {

namespace {

/*! @brief Bound of the fleet's recovery from silent connections, and what a busy test machine adds at most. */
constexpr auto recoveryLimit = std::chrono::seconds{2};
constexpr auto margin = std::chrono::seconds{1};

/*! @brief Silences all connections between nodes that are open and returns the time until the last slow or lost answer
 * has passed. */
auto recoveryFromSilence(const Direction direction) -> std::chrono::milliseconds
{
    auto plan = shopPlan();
    plan.relayed = true;
    ProcessFleet fleet{plan};
    EXPECT_TRUE(waitServing(fleet));
    Traffic traffic{12, std::chrono::milliseconds{10}, [&](const unsigned caller, const unsigned number) {
                        return preview(
                            fleet.vm((caller + number) % fleet.size()), fleet.key("club"), std::to_string(number));
                    }};
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 100; }));
    const auto silenced = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        EXPECT_GT(fleet.vm(index).relay->connections(), 0U);
        fleet.vm(index).relay->blackhole(direction);
    }
    EXPECT_TRUE(waitUntil([&] { return std::chrono::steady_clock::now() - silenced > 3 * recoveryLimit; }));
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(silenced + 2 * recoveryLimit) >= 100; }));
    auto last = silenced;
    for (const auto &sent : traffic.stop()) {
        // A request begun before the recovery may be late; one begun after it may not fail.
        if (sent.begin >= silenced && !sent.isComplete()) {
            last = std::max(last, sent.begin);
        }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(last - silenced);
}

} // namespace

TEST(Connections, RecoverFromSilenceInBothDirections)
{
    const auto time = recoveryFromSilence(Direction::Both);
    RecordProperty("recovery_ms", std::to_string(time.count()));
    EXPECT_LE(time, recoveryLimit + margin);
}

TEST(Connections, RecoverFromSilenceTowardsTheClient)
{
    const auto time = recoveryFromSilence(Direction::ToClient);
    RecordProperty("recovery_ms", std::to_string(time.count()));
    EXPECT_LE(time, recoveryLimit + margin);
}

} // namespace jasminelatch::test
