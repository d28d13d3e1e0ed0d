#ifndef JASMINELATCH_MESH_USAGE_CAPS_HPP
#define JASMINELATCH_MESH_USAGE_CAPS_HPP

#include "configuration.hpp"
#include "count_tracker.hpp"
#include "node_report.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Keeps each client account within its rate and burst over all nodes together.
 *
 * Load pattern: one account sends many times its rate through all nodes at once. Each node keeps a token bucket for the
 * whole fleet, takes off what it admits and what its peers report, and in between what they are expected to admit.
 * Between two reports a node takes no more than its fraction of what is left, since all fromPeers see the same level;
 * when that is used up, it asks to report early. Once the account has run short, each node earns its share of the rate
 * by itself, so that they don't all admit at the moment at which there is room again, and those refused are told to
 * come back one after the other. A node that hears only fraction of the fleet has just that fraction of rate and burst,
 * counted from when it last reachable the fromPeers, so that all sides of a partition together stay within them.
 */
class UsageCaps
{
public:
    /*! @brief Settings of the caps. */
    struct Settings {
        double initialFill{0.3}; /*!< Part of the burst in the bucket of a node that has just started. */
        double staleIntervals{2.5}; /*!< Report intervals without a report after which a peer is not reachable. */
        double fullBucketBonus{
            2.0}; /*!< Part beyond its own that a node may spendToken at once out of a full bucket, per fraction. */
        int earlyReportsPerInterval{12}; /*!< Early reports that fit into a report interval. */
        double surgeFactor{8.0}; /*!< Growth of an account's rate that is reckoned with before it is seen. */
        double headroomFraction{
            0.25}; /*!< Part of what is left beside a flood's requests that any node may admit at once. */
        double overdraft{13.0}; /*!< Requests beyond the level that nodes may admit unseen by one another; from the
                              excess that the platform's terms allow. */
        double rateMarginFraction{}; /*!< Part of the rate beyond it that is admitted too, from the same excess: the
                               terms count requests as owed up to there. */
        double rateMargin{}; /*!< Requests per second beyond the rate, likewise. */
        Duration fairShareHold{std::chrono::seconds{1}}; /*!< Time after the last lack of room during which every node
                                                          keeps to its own share of the rate. */
        Duration maxRetryDelay{std::chrono::seconds{2}}; /*!< Longest time told to a refused caller; clients wait for up
                                                          to a third of the time they have left. */
        Duration snapshotInterval{std::chrono::milliseconds{100}}; /*!< Interval at which the past is noted. */
        int rateWindowIntervals{4}; /*!< Report intervals over which expected rates are taken. */
    };

    explicit UsageCaps(Settings settings);

    /**
     * @brief Takes over the accounts of a configuration.
     * @param accounts The accounts.
     * @param now Present time.
     */
    auto setAccounts(std::span<const Account> accounts, TimePoint now) -> void;

    /**
     * @brief Sets the number of other nodes that may admit requests.
     * @param count Number of nodes.
     */
    auto setPeerCount(std::size_t count) -> void;

    /**
     * @brief Sets the interval at which peers report.
     * @param interval The interval.
     */
    auto setReportInterval(Duration interval) -> void;

    /**
     * @brief Admits a request or not.
     * @param account Account of the request.
     * @param now Present time.
     * @return Zero when it is admitted; else the time after which there is room.
     */
    auto admit(const std::string &account, TimePoint now) -> Duration;

    /**
     * @brief Gives back a request that was admitted and has not run.
     * @param account Account of the request.
     */
    auto refund(const std::string &account) -> void;

    /**
     * @brief Takes in what a peer, or all nodes that it stands for, have admitted.
     * @param report The peer's report.
     * @param now Present time.
     */
    auto applyReport(const NodeReport &report, TimePoint now) -> void;

    /**
     * @brief Notes that peers are told what this node has admitted.
     * @param now Present time.
     */
    auto reportSent(TimePoint now) -> void;

    /**
     * @brief Returns the time of an early report, due when the node has used up its fraction of an account that has
     * room.
     * @return The time; nothing while the usual interval will do.
     */
    [[nodiscard]] auto earlyReportAt() const -> std::optional<TimePoint>;

    /**
     * @brief Forgets a peer that has left.
     * @param name Name of its VM.
     */
    auto removePeer(const std::string &name) -> void;

    /**
     * @brief Returns what is left of an account's cap as this node knew it at its last request.
     * @param account The account.
     * @return Requests, before those that peers have not reported yet; zero for an account without a cap.
     */
    [[nodiscard]] auto level(const std::string &account) const -> double;

    /*! @brief Returns what this node has admitted since its start, by account. */
    [[nodiscard]] auto admitted() const -> const std::map<std::string, std::uint64_t> &;

private:
    struct Bucket {
        double rate{};
        double burst{};
        double level{};
        double unreported{}; /*!< Requests that this node has admitted since its last report. */
        double localRate{}; /*!< Requests per second that it admits. */
        TimePoint fairShareUntil; /*!< Up to then it admits only what it earns itself. */
        double shareTokens{}; /*!< Requests that it has shareTokens since the account ran short. */
        TimePoint shareRefilledAt;
        TimePoint lastRetryAt; /*!< When the last of those refused is to come back. */
    };

    struct Peer {
        CountTracker counts;
        TimePoint reportedAt;
        std::uint32_t nodes{}; /*!< Nodes that it stands for. */
        std::map<std::string, double> rates; /*!< Expected requests per second, by account. */
    };

    /*! @brief What the peers that are reachable use of an account. */
    struct Expected {
        double rate{}; /*!< Requests per second at this moment. */
        double requests{}; /*!< Requests since their last reports. */
    };

    /*! @brief State of the buckets at a moment in the past. */
    struct Snapshot {
        TimePoint at;
        double fraction{}; /*!< Part of the fleet that was reachable. */
        std::map<std::string, double> levels;
        std::map<std::string, std::uint64_t> admitted;
    };

    auto takeSnapshot(TimePoint now) -> void;
    auto reconcileLostPeers(double fractionNow, TimePoint now) -> void;
    [[nodiscard]] auto reachableFraction(TimePoint now) const -> double;
    [[nodiscard]] auto shareOf(const Bucket &bucket, double fleetRate) const -> double;
    auto accrueShare(Bucket &bucket, double level, double share, TimePoint now) const -> void;
    auto spendToken(const std::string &account, Bucket &bucket) -> Duration;
    [[nodiscard]] auto retryDelay(Bucket &bucket, double share, TimePoint now) const -> Duration;
    [[nodiscard]] auto localAllowance(const Bucket &bucket, double level, double share, double fleetRate) const
        -> double;
    [[nodiscard]] auto expectedFromPeers(const std::string &account, TimePoint now) const -> Expected;
    auto refill(TimePoint now) -> void;

    Settings settings_;
    std::size_t peerCount_{};
    TimePoint refilledAt_;
    std::map<std::string, Bucket> buckets_;
    std::map<std::string, Peer> peers_;
    std::map<std::string, std::uint64_t> admitted_;
    Duration staleAfter_;
    Duration earlyInterval_;
    Duration rateWindow_;
    TimePoint reportedAt_;
    bool wantsReport_{};
    double reachableFraction_{1.0}; /*!< Part of the fleet that was reachable when the buckets were last filled. */
    std::deque<Snapshot> snapshots_; /*!< Oldest first; they reach back a little further than the silence. */
};

} // namespace jasminelatch::mesh

#endif
