#include "scenarios.hpp"

#include <jasminelatch/model/simulation.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::model {

using namespace std::chrono_literals;

TEST(QueueMemory, CapacityIsUsedRightAfterAQueueIsWorkedOff)
{
    // Surges on top of an overload make queues of moments. Admission used to go down step by step while a queue was
    // long and up again as slowly, and refused requests for seconds while a fifth of the slots were free.
    auto scenario = test::shop(2.2, 12s);
    for (const auto begin : {2s, 5s, 8s}) {
        scenario.troubles.push_back({TroubleModel::Kind::Surge, begin, begin + 1s, {}, 0, 2.0});
    }
    std::uint64_t refusals{};
    std::uint64_t refusedWithRoom{};
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        const auto outcome = Simulation{scenario, settings}.run();
        EXPECT_GT(outcome.kinds.at("order").servedFraction(), 0.97) << "seed " << seed;
        refusals += outcome.total().refusals;
        refusedWithRoom += outcome.total().refusedWithRoom;
    }
    EXPECT_LT(refusedWithRoom, refusals / 10);
}

} // namespace jasminelatch::model
