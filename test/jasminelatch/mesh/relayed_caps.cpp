#include <jasminelatch/mesh/relay_aggregator.hpp>
#include <jasminelatch/mesh/report_session.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Duration step = 5ms;
/*! @brief Interval of reports through relays; see `sidecar::Fleet`. */
constexpr Duration reportInterval = 150ms;
/*! @brief Window, factor and number of requests by which the platform's terms allow a cap to be exceeded. */
constexpr Duration window = 5s;
constexpr double allowedFactor = 1.1;
constexpr double allowedExcess = 20;
/*! @brief Settings that the node derives from the allowed excess. */
constexpr double overdraft = allowedExcess / 2;
constexpr double rateMarginFraction = (allowedFactor - 1.0) / 4;
constexpr double rateMargin = allowedExcess / 2 / 5;
/*! @brief Goal for the fraction of requests refused within the cap in the absence of faults. */
constexpr double maxWrongfulFraction = 0.005;

/*! @brief Simulated nodes that share one account and exchange counts through relays. */
class RelayedFleet
{
public:
    RelayedFleet(const std::size_t count,
                 const std::size_t relays,
                 const double rate,
                 const double burst,
                 const unsigned seed = 7)
        : account_{"club", {"key"}, 1, rate, burst}
        , relays_{relays}
        , random_{seed}
        , nodes_(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto &node = nodes_[index];
            node.name = "vm" + std::to_string(index);
            node.caps.setAccounts({&account_, 1}, now_);
            node.caps.setPeerCount(count - 1);
            node.caps.setReportInterval(reportInterval);
            node.relay = index % relays;
            node.session.begin(1);
            node.ledger.begin(1, {});
            node.nextReport = now_ + reportInterval * static_cast<Duration::rep>(index % 97) / 97;
        }
        run(3s, 0.0);
    }

    /*! @brief Sends requests at a total rate per second, each to a random node. */
    auto run(const Duration time, const double rate) -> void
    {
        const auto end = now_ + time;
        std::poisson_distribution<int> arrivals{rate * std::chrono::duration<double>(step).count()};
        while (now_ < end) {
            now_ += step;
            for (auto left = rate > 0 ? arrivals(random_) : 0; left > 0; --left) {
                ++sentCount;
                if (nodes_[random_() % nodes_.size()].caps.admit(account_.name, now_) == Duration::zero()) {
                    admitted_.push_back(now_);
                }
            }
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                auto &node = nodes_[index];
                const auto early = node.caps.earlyReportAt();
                if (now_ >= node.nextReport) {
                    node.nextReport += reportInterval;
                    report(index);
                } else if (early && now_ >= *early) {
                    report(index);
                }
            }
        }
    }

    [[nodiscard]] auto maxInWindow() const -> double
    {
        std::size_t maxCount{};
        for (auto first = admitted_.begin(); first != admitted_.end(); ++first) {
            const auto last = std::lower_bound(first, admitted_.end(), *first + window);
            maxCount = std::max(maxCount, static_cast<std::size_t>(last - first));
        }
        return static_cast<double>(maxCount);
    }

    [[nodiscard]] auto allowed() const -> double
    {
        const auto seconds = std::chrono::duration<double>(window).count();
        return (account_.ratePerSecond * seconds + account_.burst) * allowedFactor + allowedExcess;
    }

    /*! @brief Returns the fraction of the requests that are refused. */
    auto refusedFraction(const Duration time, const double rate) -> double
    {
        const auto sentBefore = sentCount;
        const auto admittedBefore = admitted_.size();
        run(time, rate);
        const auto newlySent = static_cast<double>(sentCount - sentBefore);
        return 1.0 - static_cast<double>(admitted_.size() - admittedBefore) / newlySent;
    }

    [[nodiscard]] auto admittedCount() const -> double { return static_cast<double>(admitted_.size()); }

    std::size_t sentCount{};

private:
    struct Node {
        std::string name;
        UsageCaps caps{{.overdraft = overdraft, .rateMarginFraction = rateMarginFraction, .rateMargin = rateMargin}};
        std::size_t relay{};
        ReportSession session;
        RelayAggregator ledger{{}};
        TimePoint nextReport;
    };

    [[nodiscard]] auto isRelay(const std::size_t index) const -> bool { return index < relays_; }

    static auto ownReport(const Node &node) -> NodeReport
    {
        NodeReport report;
        report.name = node.name;
        report.incarnation = 1;
        report.kind = ReportKind::Own;
        report.admitted = node.caps.admitted();
        return report;
    }

    auto report(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        node.caps.reportSent(now_);
        const auto own = ownReport(node);
        if (!isRelay(index)) {
            auto &relay = nodes_[node.relay];
            const auto sessionReport = node.session.next(own);
            node.session.acknowledged();
            relay.caps.applyReport(sessionReport, now_);
            relay.ledger.apply(sessionReport, now_);
            node.caps.applyReport(relay.ledger.digest(node.name, ownReport(relay)), now_);
            return;
        }
        node.ledger.applyOwn(own);
        const auto relayReport = node.ledger.relayReport(own);
        for (std::size_t other = 0; other < relays_; ++other) {
            if (other != index) {
                nodes_[other].caps.applyReport(relayReport, now_);
                nodes_[other].ledger.apply(relayReport, now_);
            }
        }
    }

    Account account_;
    std::size_t relays_;
    std::mt19937 random_;
    TimePoint now_{start};
    std::vector<Node> nodes_;
    std::vector<TimePoint> admitted_;
};

} // namespace

TEST(RelayedCaps, RarelyRefusesAnAccountWithinItsCap)
{
    for (const auto rate : {5.0, 10.0, 50.0, 300.0}) {
        RelayedFleet fleet{196, 10, rate, rate};
        fleet.run(3s, rate / 1.6);
        EXPECT_LE(fleet.refusedFraction(30s, rate / 1.6), maxWrongfulFraction) << rate;
    }
}

TEST(RelayedCaps, KeepsTheOnsetOfAFloodWithinTheCap)
{
    for (const auto rate : {5.0, 10.0, 50.0, 100.0, 300.0, 1000.0}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            RelayedFleet fleet{196, 10, rate, rate, seed};
            fleet.run(5s, rate / 1.6);
            fleet.run(7s, rate / 1.6 * 7.5);
            EXPECT_LE(fleet.maxInWindow(), fleet.allowed()) << "rate " << rate << " seed " << seed;
        }
    }
}

TEST(RelayedCaps, AdmitsTheAccountsRateDuringAFlood)
{
    for (const auto rate : {5.0, 10.0, 50.0, 300.0}) {
        RelayedFleet fleet{196, 10, rate, rate};
        fleet.run(5s, rate / 1.6);
        const auto before = fleet.admittedCount();
        fleet.run(20s, rate / 1.6 * 7.5);
        EXPECT_GE(fleet.admittedCount() - before, 0.9 * rate * 20) << rate;
    }
}

TEST(RelayedCaps, RefusesHardlyMoreAtTheCapThanASingleNode)
{
    // Scenario quiet-1 of Rumbo, large: accounts with a cap of 1.6 times their usual rate send 1.7 times that rate for
    // 16 s.
    const auto refused = [](const std::size_t nodes, const double rate) {
        auto fraction = 0.0;
        constexpr auto runs = 20;
        for (unsigned run = 0; run < runs; ++run) {
            RelayedFleet fleet{nodes, std::min<std::size_t>(nodes, 10), rate, rate, run};
            fleet.run(3s, rate / 1.6);
            fraction += fleet.refusedFraction(16s, rate / 1.6 * 1.7) / runs;
        }
        return fraction;
    };
    for (const auto rate : {5.0, 10.0, 50.0}) {
        EXPECT_LE(refused(196, rate), refused(1, rate) + 2 * maxWrongfulFraction) << rate;
    }
}

} // namespace jasminelatch::mesh
