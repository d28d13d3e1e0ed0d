#include <jasminelatch/mesh/relay_plan.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace jasminelatch::mesh {

namespace {

/*! @brief Nodes spread evenly over failure domains, sorted by name. */
struct Nodes {
    Nodes(const std::size_t count, const std::size_t domainCount)
    {
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back("vm-" + std::to_string(10'000 + index));
            domains.push_back("domain-" + std::to_string(index % domainCount));
        }
        for (std::size_t index = 0; index < count; ++index) {
            candidates.push_back({names[index], domains[index]});
        }
    }

    [[nodiscard]] auto plan(const std::size_t own, const std::string &currentRelay = {}) const -> RelayPlan
    {
        return planRelays(candidates, {names[own], currentRelay, names.size()}, {});
    }

    [[nodiscard]] auto domainOf(const std::string &name) const -> std::string
    {
        const auto found = std::ranges::find(names, name);
        return domains[static_cast<std::size_t>(found - names.begin())];
    }

    std::vector<std::string> names;
    std::vector<std::string> domains;
    std::vector<RelayCandidate> candidates;
};

} // namespace

TEST(RelayPlan, EveryNodeOfASmallFleetIsARelay)
{
    const Nodes nodes{14, 3};
    for (std::size_t own = 0; own < nodes.names.size(); ++own) {
        const auto plan = nodes.plan(own);
        EXPECT_TRUE(plan.isRelay);
        EXPECT_EQ(plan.relays, nodes.names);
    }
}

TEST(RelayPlan, ASingleNodeIsARelay)
{
    const Nodes nodes{1, 1};
    EXPECT_TRUE(nodes.plan(0).isRelay);
}

TEST(RelayPlan, KeepsTheRelayWhileItRemainsOne)
{
    const Nodes nodes{60, 3};
    for (const auto &relay : nodes.plan(59).relays) {
        if (nodes.domainOf(relay) == nodes.domains[59]) {
            EXPECT_EQ(nodes.plan(59, relay).relay, relay);
        }
    }
    EXPECT_NE(nodes.plan(59, "vm-gone").relay, "vm-gone");
}

TEST(RelayPlan, ReplacesALostRelay)
{
    Nodes nodes{60, 3};
    const auto before = nodes.plan(59);
    std::erase_if(nodes.candidates, [&](const auto &node) { return node.name == before.relay; });
    const auto after = nodes.plan(59, before.relay);
    EXPECT_NE(after.relay, before.relay);
    EXPECT_EQ(after.relays.size(), before.relays.size());
}

TEST(RelayPlan, SilentNodesDoNotTurnALargeFleetIntoAFullMesh)
{
    Nodes nodes{18, 2};
    nodes.candidates.resize(10);
    EXPECT_EQ(nodes.plan(0).relays.size(), 4U);
}

TEST(RelayPlan, PeersPerRelayGrowWithTheSquareRootOfTheFleet)
{
    const auto peersPerRelay = [](const std::size_t count) {
        return Nodes{count, 9}.plan(0).peersPerRelay;
    };
    EXPECT_LE(peersPerRelay(196), 40U);
    EXPECT_LE(peersPerRelay(7400), peersPerRelay(74) * 10);
}

RC_GTEST_PROP(RelayPlan, AllNodesAgreeOnRelaysAndReportWithinTheirDomain, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 300);
    const auto domains = *rc::gen::inRange<std::size_t>(1, 9);
    const Nodes nodes{count, domains};
    const auto relays = nodes.plan(0).relays;
    std::set<std::string> relayDomains;
    for (const auto &relay : relays) {
        relayDomains.insert(nodes.domainOf(relay));
    }
    RC_ASSERT(relayDomains.size() == std::min(count, domains));
    for (std::size_t own = 0; own < count; ++own) {
        const auto plan = nodes.plan(own);
        RC_ASSERT(plan.relays == relays);
        RC_ASSERT(plan.isRelay == std::ranges::binary_search(relays, nodes.names[own]));
        if (!plan.isRelay) {
            RC_ASSERT(std::ranges::binary_search(relays, plan.relay));
            RC_ASSERT(nodes.domainOf(plan.relay) == nodes.domains[own]);
        }
    }
}

} // namespace jasminelatch::mesh
