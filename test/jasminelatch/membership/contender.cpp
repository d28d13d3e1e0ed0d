#include <jasminelatch/membership/contender.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminelatch::membership {

namespace {

auto candidates(const std::uint32_t count, const std::uint32_t domains) -> std::vector<Candidate>
{
    std::vector<Candidate> all;
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto domain = "domain" + std::to_string(index % domains);
        all.push_back({NodeAddress{"10.0.0." + std::to_string(index) + ":7000"}, FailureDomain{domain}});
    }
    return all;
}

auto domainOf(const std::vector<Candidate> &all, const NodeAddress &node) -> FailureDomain
{
    return std::ranges::find(all, node, &Candidate::node)->domain;
}

} // namespace

RC_GTEST_PROP(RightContenders, MoveOnlyWithTheNodesConcerned, (std::uint16_t rightIndex))
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto domains = *rc::gen::inRange<std::uint32_t>(1, 4);
    const LeaseName right{"quota/0/" + std::to_string(rightIndex)};
    auto all = candidates(count, domains);
    const auto chosen = rightContenders(right, all);
    RC_ASSERT(chosen.holder.has_value());
    RC_ASSERT(chosen.successor.has_value() == (count > 1));
    if (chosen.successor && domains > 1) {
        RC_ASSERT(domainOf(all, *chosen.holder) != domainOf(all, *chosen.successor));
    }
    std::ranges::reverse(all);
    RC_ASSERT(rightContenders(right, all) == chosen);
    const auto removed = all[*rc::gen::inRange<std::size_t>(0, all.size())];
    std::erase_if(all, [&](const Candidate &entry) { return entry.node == removed.node; });
    if (removed.node != *chosen.holder) {
        RC_ASSERT(rightContenders(right, all).holder == chosen.holder);
    }
}

TEST(RightContenders, SpreadRightsOverNodes)
{
    const auto all = candidates(14, 3);
    std::vector<std::size_t> load(all.size());
    constexpr std::size_t rightCount = 1400;
    for (std::size_t index = 0; index < rightCount; ++index) {
        const auto chosen = rightContenders(LeaseName{"orders/" + std::to_string(index)}, all);
        const auto position = std::ranges::find(all, *chosen.holder, &Candidate::node);
        ++load[static_cast<std::size_t>(position - all.begin())];
    }
    EXPECT_GT(std::ranges::min(load), 60U);
    EXPECT_LT(std::ranges::max(load), 150U);
}

TEST(RightContenders, StayTheSameInEveryVersion)
{
    // Nodes of two versions must choose alike during a rollout.
    const auto all = candidates(14, 3);
    const auto chosen = rightContenders(LeaseName{"quota/0/3"}, all);
    EXPECT_EQ(chosen.holder, NodeAddress{"10.0.0.12:7000"});
    EXPECT_EQ(chosen.successor, NodeAddress{"10.0.0.1:7000"});
}

} // namespace jasminelatch::membership
