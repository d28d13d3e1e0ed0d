#include <jasminelatch/mesh/retry_budget.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

} // namespace

TEST(RetryBudget, KeepsRetriesOfAFailingServiceWithinTheBound)
{
    constexpr std::size_t nodes = 14;
    constexpr double ratio = 0.2;
    constexpr double slack = 48;
    std::vector<RetryBudget> fleet(nodes, RetryBudget{{.ratio = ratio, .slack = slack, .window = 10s}});
    for (auto &node : fleet) {
        node.setNodeCount(nodes);
    }
    std::vector<TimePoint> retries;
    std::size_t requests{};
    for (auto now = start; now < start + 30s; now += 10ms) {
        for (auto &node : fleet) {
            ++requests;
            node.recordRequest("vistas", now);
            if (node.spend("vistas", now)) {
                retries.push_back(now);
            }
        }
    }
    std::size_t maxCount{};
    for (auto first = retries.begin(); first != retries.end(); ++first) {
        const auto last = std::lower_bound(first, retries.end(), *first + 10s);
        maxCount = std::max(maxCount, static_cast<std::size_t>(last - first));
    }
    const auto requestsInWindow = static_cast<double>(requests) / 3.0;
    EXPECT_LE(static_cast<double>(maxCount), ratio * requestsInWindow + slack);
    EXPECT_GT(maxCount, 0U);
}

TEST(RetryBudget, AllowsARetryAtStart)
{
    RetryBudget budget{{.ratio = 0.2, .slack = 48, .window = 10s}};
    budget.setNodeCount(14);
    EXPECT_TRUE(budget.spend("vistas", start));
}

} // namespace jasminelatch::mesh
