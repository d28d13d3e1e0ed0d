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

/*! @brief Report of a relay with the leaf "remote". */
auto reportWithRemoteNode(const std::string &name, const std::uint64_t session) -> NodeReport
{
    auto report = relayReport(name);
    report.instances = {{"remote", 1, session, "i-remote", true, true, {}}};
    return report;
}

/*! @brief Aggregator with a started session. */
struct StartedAggregator: RelayAggregator {
    explicit StartedAggregator(const Settings &settings = {})
        : RelayAggregator{settings}
    {
        begin(1, {});
    }
};

/*! @brief Two relays with leaves; every message is delivered, or its connection breaks. */
class TwoRelays
{
public:
    explicit TwoRelays(const std::size_t leaves)
        : leaves_(leaves)
    {
        for (auto &relay : relays_) {
            relay.aggregator.begin(++session_, {});
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
        leaves_[leaf].othersAdmitted = 0;
    }

    /*! @brief Sends the report of a leaf and applies the digest. */
    auto report(const std::size_t index) -> void
    {
        auto &leaf = leaves_[index];
        auto &relay = relays_[leaf.relay];
        relay.aggregator.apply(leaf.session.next(ownReport(leaf.name, leaf.admitted)), now_);
        leaf.session.acknowledged();
        const auto digest = relay.aggregator.digest(leaf.name, ownReport(relayName(leaf.relay), relay.admitted));
        if (const auto count = digest.admitted.find("club"); count != digest.admitted.end()) {
            leaf.othersAdmitted = count->second;
        }
    }

    /*! @brief Delivers a report, but breaks the connection before the acknowledgement. */
    auto reportWithoutAck(const std::size_t index) -> void
    {
        auto &leaf = leaves_[index];
        unacknowledged += leaf.admitted - countedOf(leaf);
        relays_[leaf.relay].aggregator.apply(leaf.session.next(ownReport(leaf.name, leaf.admitted)), now_);
        move(index, 1 - leaf.relay);
    }

    auto reportRelays() -> void
    {
        for (std::size_t from = 0; from < relays_.size(); ++from) {
            auto &relay = relays_[from];
            const auto own = ownReport(relayName(from), relay.admitted);
            relay.aggregator.applyOwn(own);
            auto report = relay.aggregator.relayReport(own);
            relay.aggregator.addSubtreeStates(report, true);
            relays_[1 - from].aggregator.apply(report, now_);
        }
    }

    /*! @brief Exchanges reports until all counts have propagated. */
    auto propagate() -> void
    {
        for (auto round = 0; round < 2; ++round) {
            for (std::size_t leaf = 0; leaf < leaves_.size(); ++leaf) {
                report(leaf);
            }
            reportRelays();
        }
    }

    /*! @brief Returns the admitted count of all others that a leaf received in its session. */
    [[nodiscard]] auto othersAdmitted(const std::size_t leaf) const -> std::uint64_t
    {
        return leaves_[leaf].othersAdmitted;
    }
    [[nodiscard]] auto total() const -> std::uint64_t { return total_; }

    [[nodiscard]] auto aggregator(const std::size_t relay) -> RelayAggregator & { return relays_[relay].aggregator; }

    std::uint64_t unacknowledged{}; /*!< Requests in reports that were received but not acknowledged. */

private:
    struct Leaf {
        std::string name;
        std::uint64_t admitted{};
        std::size_t relay{};
        ReportSession session;
        std::uint64_t othersAdmitted{};
    };

    struct Relay {
        RelayAggregator aggregator{{}};
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

TEST(CountTracker, CountsBeforeTheFirstReportOfARelayAreNotNew)
{
    CountTracker tracker;
    NodeReport report;
    report.incarnation = 1;
    EXPECT_TRUE(tracker.update(report, {{"club", 500}})->empty());
    EXPECT_EQ(tracker.update(report, {{"club", 502}})->at("club"), 2.0);
}

TEST(CountTracker, ACountFirstSeenAfterAPartialReportIsNotNew)
{
    CountTracker tracker;
    NodeReport report;
    report.isFull = false;
    EXPECT_TRUE(tracker.update(report, {{"club", 500}})->empty());
    EXPECT_TRUE(tracker.update(report, {{"school", 900}})->empty());
    report.isFull = true;
    EXPECT_TRUE(tracker.update(report, {{"club", 500}, {"school", 900}})->empty());
    EXPECT_EQ(tracker.update(report, {{"shop", 3}})->at("shop"), 3.0);
}

TEST(CountTracker, ALaterSessionCountsFromZeroAndAnEarlierOneIsIgnored)
{
    CountTracker tracker;
    NodeReport report;
    report.incarnation = 1;
    report.session = 10;
    static_cast<void>(tracker.update(report, {{"club", 500}}));
    report.session = 11;
    EXPECT_EQ(tracker.update(report, {{"club", 4}})->at("club"), 4.0);
    report.session = 10;
    EXPECT_FALSE(tracker.update(report, {{"club", 600}}));
}

TEST(CountTracker, TheSessionOfALeafCountsFromItsFirstReport)
{
    CountTracker tracker;
    NodeReport report;
    report.kind = ReportKind::Own;
    report.isFull = false;
    EXPECT_EQ(tracker.update(report, {{"club", 4}})->at("club"), 4.0);
}

TEST(RelayAggregator, ADigestContainsTheCountsOfAllOtherNodes)
{
    TwoRelays fleet{4};
    fleet.propagate();
    fleet.admitAtLeaf(0, 5);
    fleet.admitAtLeaf(1, 7);
    fleet.admitAtRelay(1, 11);
    fleet.propagate();
    fleet.propagate();
    EXPECT_EQ(fleet.othersAdmitted(0), 18U);
    EXPECT_EQ(fleet.othersAdmitted(1), 16U);
    EXPECT_EQ(fleet.othersAdmitted(2), 23U);
}

TEST(RelayAggregator, ALaterProcessBeginsASessionWhoseNumberIsLower)
{
    // Guards against a leaf that restarts after its clock was stepped back: the digest named the session of the process
    // before, so that the leaf dropped the counts of the fleet, and every digest listed the whole fleet.
    StartedAggregator aggregator;
    auto report = ownReport("leaf", 7);
    report.session = 9000;
    EXPECT_TRUE(aggregator.apply(report, start));
    EXPECT_EQ(aggregator.digest("leaf", {}).session, 9000U);
    report = ownReport("leaf", 3);
    report.incarnation = 2;
    report.session = 4000;
    EXPECT_TRUE(aggregator.apply(report, start));
    EXPECT_EQ(aggregator.digest("leaf", {}).session, 4000U);
    EXPECT_FALSE(aggregator.apply(report, start)) << "the session is known now";
    report.incarnation = 1;
    report.session = 9001;
    static_cast<void>(aggregator.apply(report, start));
    EXPECT_EQ(aggregator.digest("leaf", {}).session, 4000U) << "a late report of the process before";
}

TEST(RelayAggregator, RefundedRequestsAreSubtracted)
{
    StartedAggregator aggregator;
    auto report = ownReport("leaf", 5);
    report.session = 2;
    aggregator.apply(report, start);
    report.admitted["club"] = 3;
    aggregator.apply(report, start);
    EXPECT_EQ(aggregator.relayReport(ownReport("relay", 0)).admitted.at("club"), 3U);
}

TEST(RelayAggregator, SilentNodesAndLeavesOfASilentRelayStopReporting)
{
    StartedAggregator aggregator;
    auto leaf = ownReport("leaf", 0);
    aggregator.apply(leaf, start);
    auto relay = reportWithRemoteNode("relay", 7);
    aggregator.apply(relay, start);
    EXPECT_EQ(aggregator.isReporting("remote"), true);
    EXPECT_EQ(aggregator.isReporting("nobody"), std::nullopt);
    aggregator.updateLiveness(start + 1100ms);
    EXPECT_EQ(aggregator.isReporting("leaf"), false);
    EXPECT_EQ(aggregator.isReporting("relay"), false);
    EXPECT_EQ(aggregator.isReporting("remote"), true) << "it may be moving to another relay";
    aggregator.updateLiveness(start + 2600ms);
    EXPECT_EQ(aggregator.isReporting("remote"), false);
    EXPECT_EQ(aggregator.leafCount(), 0U);
    // The node has moved to another relay, which reports it with a later session.
    aggregator.apply(reportWithRemoteNode("other", 8), start + 2700ms);
    EXPECT_EQ(aggregator.isReporting("remote"), true);
    aggregator.apply(relay, start + 2800ms);
    aggregator.updateLiveness(start + 2800ms);
    EXPECT_EQ(aggregator.isReporting("remote"), true);
}

TEST(RelayAggregator, ALeafThatMovedToAnotherRelayStillReports)
{
    StartedAggregator aggregator;
    auto node = ownReport("node", 0);
    node.session = 5;
    aggregator.apply(node, start);
    auto relay = relayReport("relay");
    relay.instances = {{"node", 1, 6, "i-node", true, true, {}}};
    aggregator.apply(relay, start + 900ms);
    aggregator.updateLiveness(start + 1100ms);
    EXPECT_EQ(aggregator.isReporting("node"), true);
}

TEST(RelayAggregator, ARelayThatReportsAgainRestoresItsLeaves)
{
    StartedAggregator aggregator;
    auto relay = reportWithRemoteNode("relay", 7);
    aggregator.apply(relay, start);
    aggregator.updateLiveness(start + 2600ms);
    // Its report contains no instances, as nothing has changed there.
    relay.instances.clear();
    aggregator.apply(relay, start + 2700ms);
    aggregator.updateLiveness(start + 2700ms);
    EXPECT_EQ(aggregator.isReporting("remote"), true);
    EXPECT_EQ(aggregator.isReporting("relay"), true);
}

TEST(RelayAggregator, PropagatesEveryInstanceOverSeveralReports)
{
    StartedAggregator aggregator{{.maxInstancesPerReport = 10}};
    for (auto index = 0; index < 25; ++index) {
        aggregator.apply(ownReport("vm" + std::to_string(index), 0), start);
    }
    std::set<std::string> seen;
    for (auto round = 0; round < 3; ++round) {
        NodeReport states;
        aggregator.addFleetStates(states, false);
        EXPECT_LE(states.instances.size(), 10U);
        for (const auto &status : states.instances) {
            seen.insert(status.name);
        }
    }
    EXPECT_EQ(seen.size(), 25U);
    NodeReport full;
    aggregator.addFleetStates(full, true);
    EXPECT_EQ(full.instances.size(), 25U);
    EXPECT_EQ(full.members.size(), 25U);
}

TEST(RelayAggregator, DoesNotResendUnchangedInstances)
{
    StartedAggregator aggregator;
    auto report = ownReport("vm", 0);
    aggregator.apply(report, start);
    NodeReport first;
    aggregator.addFleetStates(first, false);
    EXPECT_EQ(first.instances.size(), 1U);
    aggregator.apply(report, start + 250ms);
    NodeReport second;
    aggregator.addFleetStates(second, false);
    EXPECT_TRUE(second.instances.empty());
    report.accepting = false;
    aggregator.apply(report, start + 500ms);
    NodeReport third;
    aggregator.addFleetStates(third, false);
    EXPECT_EQ(third.instances.size(), 1U);
}

RC_GTEST_PROP(RelayAggregator, CountsEveryRequestOnceAcrossRelayChanges, ())
{
    constexpr std::size_t leaves = 5;
    TwoRelays fleet{leaves};
    fleet.propagate();
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
            fleet.reportWithoutAck(leaf);
            break;
        }
    }
    fleet.propagate();
    // Only requests in unacknowledged reports may be counted twice.
    const auto sum = fleet.aggregator(0).relayReport(ownReport("relay0", 0)).admitted["club"]
                   + fleet.aggregator(1).relayReport(ownReport("relay1", 0)).admitted["club"];
    RC_ASSERT(sum >= fleet.total());
    RC_ASSERT(sum <= fleet.total() + fleet.unacknowledged);
}

} // namespace jasminelatch::mesh
