#include "scenarios.hpp"

#include <jasminelatch/model/simulation.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::model {

using namespace std::chrono_literals;

TEST(MixedRoutes, InstancesAreFilledWhateverMixOfRoutesTheyGot)
{
    // Short calls and long requests share instances of different speed under twice the usual load. An instance that had
    // got more of the long ones used to look slow, got none of the calls and idled beside queues at the others.
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        const auto outcome = Simulation{test::shop(2.0, 10s), settings}.run();
        EXPECT_GT(outcome.meanUtilization("stock", 2, 10), 0.87) << "seed " << seed;
        EXPECT_GT(outcome.kinds.at("order").servedFraction(), 0.97) << "seed " << seed;
    }
}

} // namespace jasminelatch::model
