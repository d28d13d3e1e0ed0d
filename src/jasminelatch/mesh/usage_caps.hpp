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
 * @brief Enforces the rate and burst of each client account across all nodes.
 *
 * Load pattern: one account sends many times its rate through all nodes at once. Each node keeps a token bucket for the
 * whole fleet. It deducts the requests that it admits, those that its peers report, and an estimate of what the peers
 * have admitted since their last reports. Between two reports a node admits no more than its share of the remaining
 * tokens, because all nodes see the same level; when the share is used up, the node requests an early report. After an
 * account has run out of tokens, each node accrues its own share of the rate, so that the nodes do not all admit at the
 * moment at which a token becomes available. Refused callers get staggered retry delays. A node that receives reports
 * from only a fraction of the fleet uses that fraction of the rate and burst, computed back to the last reports of the
 * missing peers, so that the sides of a network partition together stay within the cap.
 */
class UsageCaps
{
public:
    /*! @brief Tuning parameters; fractions lie between zero and one. */
    struct Settings {
        double initialFill{0.3}; /*!< Fraction of the burst in the bucket of a newly started node. */
        double staleIntervals{2.5}; /*!< Report intervals without a report after which a peer counts as unreachable. */
        double fullBucketBonus{2.0}; /*!< Multiple of its share that a node may admit at once in addition while the
                                          bucket is full; scales with the fill. */
        int earlyReportsPerInterval{12}; /*!< Early reports that fit into a report interval. */
        double surgeFactor{8.0}; /*!< Growth of an account's rate that is allowed for before reports show it. */
        double headroomFraction{0.25}; /*!< Fraction of the tokens left after a surge has been allowed for that any
                                            node may admit at once. */
        double overdraft{13.0}; /*!< Requests beyond the level that nodes may admit without knowing of one another's;
                                     part of the excess that the platform's terms allow. */
        double rateMarginFraction{}; /*!< Fraction by which the admitted rate exceeds the account's; part of the same
                                          excess, since the terms entitle an account to requests up to that limit. */
        double rateMargin{}; /*!< Requests per second admitted beyond the rate, for the same reason. */
        Duration fairShareHold{std::chrono::seconds{1}}; /*!< Time after the bucket was last empty during which each
                                                              node keeps to its own share of the rate. */
        Duration maxRetryDelay{std::chrono::seconds{2}}; /*!< Longest retry delay returned to a caller; clients wait
                                                              for up to a third of their remaining time. */
        Duration snapshotInterval{std::chrono::milliseconds{100}}; /*!< Interval between snapshots of the buckets. */
        int rateWindowIntervals{4}; /*!< Time constant of the expected rates, in report intervals. */
    };

    explicit UsageCaps(Settings settings);

    /**
     * @brief Replaces the accounts; known accounts keep their levels, and accounts without a rate are not limited.
     * @param accounts Accounts of the configuration.
     * @param now Current time.
     */
    auto setAccounts(std::span<const Account> accounts, TimePoint now) -> void;

    /**
     * @brief Sets the number of other nodes that may admit requests.
     * @param count Number of nodes, without this one.
     */
    auto setPeerCount(std::size_t count) -> void;

    /**
     * @brief Sets the interval at which peers report; the staleness limit and the rate window follow from it.
     * @param interval Report interval.
     */
    auto setReportInterval(Duration interval) -> void;

    /**
     * @brief Takes a token for a request.
     * @param account Account of the request.
     * @param now Current time.
     * @return Zero if the request is admitted; otherwise the delay after which the caller should retry.
     */
    auto admit(const std::string &account, TimePoint now) -> Duration;

    /**
     * @brief Returns the token of a request that was admitted but did not run.
     * @param account Account of the request.
     */
    auto refund(const std::string &account) -> void;

    /**
     * @brief Deducts what a peer, or all nodes that it aggregates, has admitted.
     * @param report The peer's report; reports of earlier sessions are ignored.
     * @param now Current time.
     */
    auto applyReport(const NodeReport &report, TimePoint now) -> void;

    /**
     * @brief Records that this node's admitted counts have been sent to its peers.
     * @param now Current time.
     */
    auto reportSent(TimePoint now) -> void;

    /**
     * @brief Returns when to send an early report; requested when the node has used up its share of an account that
     * still has tokens.
     * @return Time of the early report; nothing if the regular interval suffices.
     */
    [[nodiscard]] auto earlyReportAt() const -> std::optional<TimePoint>;

    /**
     * @brief Discards the state of a peer that has left.
     * @param name Name of its VM.
     */
    auto removePeer(const std::string &name) -> void;

    /**
     * @brief Returns the tokens of an account as of this node's last request.
     * @param account Name of the account.
     * @return Tokens, without deduction for requests that peers have not reported yet; zero for an account without a
     * cap.
     */
    [[nodiscard]] auto level(const std::string &account) const -> double;

    /*! @brief Returns the requests that this node has admitted since it started, by account. */
    [[nodiscard]] auto admitted() const -> const std::map<std::string, std::uint64_t> &;

private:
    struct Bucket {
        double rate{};
        double burst{};
        double level{};
        double unreported{}; /*!< Requests that this node has admitted since its last report. */
        double localRate{}; /*!< Requests per second that this node admits. */
        TimePoint fairShareUntil; /*!< Until then the node admits only from `shareTokens`. */
        double shareTokens{}; /*!< Tokens accrued from this node's share since the account ran out of tokens. */
        TimePoint shareRefilledAt;
        TimePoint lastRetryAt; /*!< Latest retry time returned to a caller. */
    };

    struct Peer {
        CountTracker counts;
        TimePoint reportedAt;
        std::uint32_t nodes{}; /*!< Nodes whose counts it aggregates. */
        std::map<std::string, double> rates; /*!< Expected requests per second, by account. */
    };

    /*! @brief Estimated usage of an account by the reachable peers. */
    struct Expected {
        double rate{}; /*!< Current requests per second. */
        double requests{}; /*!< Requests since their last reports. */
    };

    /*! @brief State of the buckets at an earlier time. */
    struct Snapshot {
        TimePoint at;
        double fraction{}; /*!< Fraction of the fleet that was reachable. */
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
    double reachableFraction_{1.0}; /*!< Fraction of the fleet that was reachable at the last refill. */
    std::deque<Snapshot> snapshots_; /*!< Oldest first; they cover slightly more than `staleAfter_`. */
};

} // namespace jasminelatch::mesh

#endif
