#include <jasminelatch/mesh/relay_aggregator.hpp>
#include <jasminelatch/mesh/report_session.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

auto ownReport(const std::string &name, const std::uint64_t admitted) -> NodeReport
{
    NodeReport report;
    report.name = name;
    report.incarnation = 1;
    report.kind = ReportKind::Own;
    report.instanceId = "i-" + name;
    report.accepting = true;
    report.load = {1, 0, 20, 50ms};
    report.admitted["club"] = admitted;
    report.member = Member{name, 1, {"10.0.0.1", 7000}, "a", "orders", "i-" + name, 20, true, 0s, 1};
    return report;
}

auto relayReport(const std::string &name) -> NodeReport
{
    auto report = ownReport(name, 0);
    report.kind = ReportKind::Relay;
    return report;
}

/*! @brief Report of a relay to which the node "far" reports. */
auto reportWithRemoteNode(const std::string &name, const std::uint64_t session) -> NodeReport
{
    auto report = relayReport(name);
    report.instances = {{"far", 1, session, "i-far", true, true, {}}};
    return report;
}

/*! @brief Ledger that has begun to count. */
struct BegunLedger: RelayAggregator {
    explicit BegunLedger(const Settings &settings = {})
        : RelayAggregator{settings}
    {
        begin(1, {});
    }
};

/*! @brief Nodes that report to one of two relays; every message arrives, or its connection ends. */
class TwoRelays
{
public:
    explicit TwoRelays(const std::size_t leaves)
        : leaves_(leaves)
    {
        for (auto &relay : relays_) {
            relay.ledger.begin(++session_, {});
        }
        for (std::size_t index = 0; index < leaves; ++index) {
            leaves_[index].name = "leaf" + std::to_string(index);
            move(index, index % relays_.size());
        }
    }

    auto admitAtLeaf(const std::size_t leaf, const std::uint64_t count) -> void
    {
        leaves_[leaf].admitted += count;
        total_ += count;
    }

    auto admitAtRelay(const std::size_t relay, const std::uint64_t count) -> void
    {
        relays_[relay].admitted += count;
        total_ += count;
    }

    auto move(const std::size_t leaf, const std::size_t relay) -> void
    {
        leaves_[leaf].relay = relay;
        leaves_[leaf].session.begin(++session_);
        leaves_[leaf].heard = 0;
    }

    /*! @brief Reports a leaf and takes the digest in. */
    auto report(const std::size_t index) -> void
    {
        auto &leaf = leaves_[index];
        auto &relay = relays_[leaf.relay];
        relay.ledger.apply(leaf.session.next(ownReport(leaf.name, leaf.admitted)), now_);
        leaf.session.acknowledged();
        const auto digest = relay.ledger.digest(leaf.name, ownReport(relayName(leaf.relay), relay.admitted));
        if (const auto told = digest.admitted.find("club"); told != digest.admitted.end()) {
            leaf.heard = told->second;
        }
    }

    /*! @brief A report arrives, but the connection ends before the answer. */
    auto reportWithoutAnswer(const std::size_t index) -> void
    {
        auto &leaf = leaves_[index];
        unacknowledged += leaf.admitted - countedOf(leaf);
        relays_[leaf.relay].ledger.apply(leaf.session.next(ownReport(leaf.name, leaf.admitted)), now_);
        move(index, 1 - leaf.relay);
    }

    auto reportRelays() -> void
    {
        for (std::size_t from = 0; from < relays_.size(); ++from) {
            auto &relay = relays_[from];
            const auto own = ownReport(relayName(from), relay.admitted);
            relay.ledger.applyOwn(own);
            auto report = relay.ledger.relayReport(own);
            relay.ledger.addSubtreeStates(report, true);
            relays_[1 - from].ledger.apply(report, now_);
        }
    }

    /*! @brief Lets everything be told. */
    auto settle() -> void
    {
        for (auto round = 0; round < 2; ++round) {
            for (std::size_t leaf = 0; leaf < leaves_.size(); ++leaf) {
                report(leaf);
            }
            reportRelays();
        }
    }

    /*! @brief Returns what a leaf was told of the others in its session. */
    [[nodiscard]] auto heard(const std::size_t leaf) const -> std::uint64_t { return leaves_[leaf].heard; }
    [[nodiscard]] auto total() const -> std::uint64_t { return total_; }

    [[nodiscard]] auto ledger(const std::size_t relay) -> RelayAggregator & { return relays_[relay].ledger; }

    std::uint64_t unacknowledged{}; /*!< Requests in reports that were received and not acknowledged. */

private:
    struct Leaf {
        std::string name;
        std::uint64_t admitted{};
        std::size_t relay{};
        ReportSession session;
        std::uint64_t heard{};
    };

    struct Relay {
        RelayAggregator ledger{{}};
        std::uint64_t admitted{};
    };

    static auto relayName(const std::size_t relay) -> std::string { return "relay" + std::to_string(relay); }

    static auto countedOf(const Leaf &leaf) -> std::uint64_t
    {
        const auto &counted = leaf.session.countedReport().admitted;
        const auto found = counted.find("club");
        return found == counted.end() ? 0 : found->second;
    }

    TimePoint now_{start};
    std::uint64_t session_{};
    std::uint64_t total_{};
    std::vector<Leaf> leaves_;
    std::vector<Relay> relays_{2};
};

} // namespace

TEST(CountTracker, WhatARelayCountedBeforeItWasHeardIsNoNews)
{
    CountTracker tracker;
    NodeReport report;
    report.incarnation = 1;
    EXPECT_TRUE(tracker.take(report, {{"club", 500}})->empty());
    EXPECT_EQ(tracker.take(report, {{"club", 502}})->at("club"), 2.0);
}

TEST(CountTracker, ACountThatComesFirstAfterAReportOfChangesMayBeOfThePast)
{
    CountTracker tracker;
    NodeReport report;
    report.isFull = false;
    EXPECT_TRUE(tracker.take(report, {{"club", 500}})->empty());
    EXPECT_TRUE(tracker.take(report, {{"school", 900}})->empty());
    report.isFull = true;
    EXPECT_TRUE(tracker.take(report, {{"club", 500}, {"school", 900}})->empty());
    EXPECT_EQ(tracker.take(report, {{"shop", 3}})->at("shop"), 3.0);
}

TEST(CountTracker, ALaterSessionCountsFromZeroAndAnEarlierOneNotAtAll)
{
    CountTracker tracker;
    NodeReport report;
    report.incarnation = 1;
    report.session = 10;
    static_cast<void>(tracker.take(report, {{"club", 500}}));
    report.session = 11;
    EXPECT_EQ(tracker.take(report, {{"club", 4}})->at("club"), 4.0);
    report.session = 10;
    EXPECT_FALSE(tracker.take(report, {{"club", 600}}));
}

TEST(CountTracker, ASessionOfANodeCountsFromItsFirstReportOn)
{
    CountTracker tracker;
    NodeReport report;
    report.kind = ReportKind::Own;
    report.isFull = false;
    EXPECT_EQ(tracker.take(report, {{"club", 4}})->at("club"), 4.0);
}

TEST(RelayAggregator, ADigestTellsWhatAllOthersHaveAdmitted)
{
    TwoRelays fleet{4};
    fleet.settle();
    fleet.admitAtLeaf(0, 5);
    fleet.admitAtLeaf(1, 7);
    fleet.admitAtRelay(1, 11);
    fleet.settle();
    fleet.settle();
    EXPECT_EQ(fleet.heard(0), 18U);
    EXPECT_EQ(fleet.heard(1), 16U);
    EXPECT_EQ(fleet.heard(2), 23U);
}

TEST(RelayAggregator, RequestsGivenBackAreTakenOff)
{
    BegunLedger ledger;
    auto report = ownReport("leaf", 5);
    report.session = 2;
    ledger.apply(report, start);
    report.admitted["club"] = 3;
    ledger.apply(report, start);
    EXPECT_EQ(ledger.relayReport(ownReport("relay", 0)).admitted.at("club"), 3U);
}

TEST(RelayAggregator, ASilentNodeAndWhatASilentRelayToldAreNotHeard)
{
    BegunLedger ledger;
    auto near = ownReport("near", 0);
    ledger.apply(near, start);
    auto relay = reportWithRemoteNode("relay", 7);
    ledger.apply(relay, start);
    EXPECT_EQ(ledger.isReporting("far"), true);
    EXPECT_EQ(ledger.isReporting("nobody"), std::nullopt);
    ledger.updateLiveness(start + 1100ms);
    EXPECT_EQ(ledger.isReporting("near"), false);
    EXPECT_EQ(ledger.isReporting("relay"), false);
    EXPECT_EQ(ledger.isReporting("far"), true) << "it may be on its way to another relay";
    ledger.updateLiveness(start + 2600ms);
    EXPECT_EQ(ledger.isReporting("far"), false);
    EXPECT_EQ(ledger.leafCount(), 0U);
    // The node has gone on to another relay, whose word on it is of a later session.
    ledger.apply(reportWithRemoteNode("other", 8), start + 2700ms);
    EXPECT_EQ(ledger.isReporting("far"), true);
    ledger.apply(relay, start + 2800ms);
    ledger.updateLiveness(start + 2800ms);
    EXPECT_EQ(ledger.isReporting("far"), true);
}

TEST(RelayAggregator, ANodeThatCameToReportToAnotherRelayIsHeardThere)
{
    BegunLedger ledger;
    auto node = ownReport("node", 0);
    node.session = 5;
    ledger.apply(node, start);
    auto relay = relayReport("relay");
    relay.instances = {{"node", 1, 6, "i-node", true, true, {}}};
    ledger.apply(relay, start + 900ms);
    ledger.updateLiveness(start + 1100ms);
    EXPECT_EQ(ledger.isReporting("node"), true);
}

TEST(RelayAggregator, ARelayThatIsHeardAgainIsBelievedAgain)
{
    BegunLedger ledger;
    auto relay = reportWithRemoteNode("relay", 7);
    ledger.apply(relay, start);
    ledger.updateLiveness(start + 2600ms);
    // Its report names no instance, since nothing has changed there.
    relay.instances.clear();
    ledger.apply(relay, start + 2700ms);
    ledger.updateLiveness(start + 2700ms);
    EXPECT_EQ(ledger.isReporting("far"), true);
    EXPECT_EQ(ledger.isReporting("relay"), true);
}

TEST(RelayAggregator, PassesEveryInstanceOnInTurn)
{
    BegunLedger ledger{{.maxInstancesPerReport = 10}};
    for (auto index = 0; index < 25; ++index) {
        ledger.apply(ownReport("vm" + std::to_string(index), 0), start);
    }
    std::set<std::string> seen;
    for (auto round = 0; round < 3; ++round) {
        NodeReport states;
        ledger.addFleetStates(states, false);
        EXPECT_LE(states.instances.size(), 10U);
        for (const auto &status : states.instances) {
            seen.insert(status.name);
        }
    }
    EXPECT_EQ(seen.size(), 25U);
    NodeReport whole;
    ledger.addFleetStates(whole, true);
    EXPECT_EQ(whole.instances.size(), 25U);
    EXPECT_EQ(whole.members.size(), 25U);
}

TEST(RelayAggregator, AnUnchangedInstanceIsNotToldAgain)
{
    BegunLedger ledger;
    auto report = ownReport("vm", 0);
    ledger.apply(report, start);
    NodeReport first;
    ledger.addFleetStates(first, false);
    EXPECT_EQ(first.instances.size(), 1U);
    ledger.apply(report, start + 250ms);
    NodeReport second;
    ledger.addFleetStates(second, false);
    EXPECT_TRUE(second.instances.empty());
    report.accepting = false;
    ledger.apply(report, start + 500ms);
    NodeReport third;
    ledger.addFleetStates(third, false);
    EXPECT_EQ(third.instances.size(), 1U);
}

RC_GTEST_PROP(RelayAggregator, EveryRequestIsCountedOnceThoughNodesChangeTheirRelays, ())
{
    constexpr std::size_t leaves = 5;
    TwoRelays fleet{leaves};
    fleet.settle();
    const auto steps = *rc::gen::inRange(0, 60);
    for (auto step = 0; step < steps; ++step) {
        const auto leaf = *rc::gen::inRange<std::size_t>(0, leaves);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            fleet.admitAtLeaf(leaf, *rc::gen::inRange<std::uint64_t>(1, 5));
            break;
        case 1:
            fleet.admitAtRelay(leaf % 2, *rc::gen::inRange<std::uint64_t>(1, 5));
            break;
        case 2:
            fleet.report(leaf);
            break;
        case 3:
            fleet.reportRelays();
            break;
        case 4:
            fleet.move(leaf, leaf % 2);
            break;
        default:
            fleet.reportWithoutAnswer(leaf);
            break;
        }
    }
    fleet.settle();
    // Besides, only what had to be told twice may be counted.
    const auto sum = fleet.ledger(0).relayReport(ownReport("relay0", 0)).admitted["club"]
                   + fleet.ledger(1).relayReport(ownReport("relay1", 0)).admitted["club"];
    RC_ASSERT(sum >= fleet.total());
    RC_ASSERT(sum <= fleet.total() + fleet.unacknowledged);
}

} // namespace jasminelatch::mesh
