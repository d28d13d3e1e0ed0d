#include <jasminelatch/admission/fair_share.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <numeric>

namespace jasminelatch::admission {

RC_GTEST_PROP(FairShare, GivesOutTheCapacityAndNoMore, ())
{
    const auto counts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    const auto capacity = static_cast<double>(*rc::gen::inRange(0, 5000));
    const std::vector<double> demands{counts.begin(), counts.end()};
    const auto total = std::accumulate(demands.begin(), demands.end(), 0.0);
    const auto share = fairShare(demands, capacity);
    const auto given = std::accumulate(demands.begin(), demands.end(), 0.0, [&](const double sum, const double demand) {
        return sum + std::min(demand, share);
    });
    RC_ASSERT(std::abs(given - std::min(total, capacity)) < 1e-6 * (1.0 + total));
    RC_ASSERT((share == std::numeric_limits<double>::infinity()) == (total <= capacity + 1e-9));
}

} // namespace jasminelatch::admission
