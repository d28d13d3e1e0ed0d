#ifndef JASMINELATCH_MESH_RELAY_AGGREGATOR_HPP
#define JASMINELATCH_MESH_RELAY_AGGREGATOR_HPP

#include "count_tracker.hpp"
#include "node_report.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Aggregates the reports that a relay receives, for other relays and for its leaves, the nodes that report to
 * it.
 *
 * Load pattern: hundreds of nodes admit requests of the same accounts, and each must soon know the total admitted.
 * Every request is counted only by the relay that its node reported it to; a node that changes its relay starts a new
 * session there with what it has admitted since its last acknowledged report.
 */
class RelayAggregator
{
public:
    /*! @brief Failure detection timeouts and limits on the size of reports. */
    struct Settings {
        Duration reportTimeout{std::chrono::seconds{1}}; /*!< Time without a report after which a node counts as not
                                                            reporting. */
        Duration failoverTime{std::chrono::milliseconds{1500}}; /*!< Additional time in which the leaves of a failed
                                                                   relay start to report to another one. */
        std::size_t maxInstancesPerReport{128}; /*!< Instance states per incremental report; the others follow in later
                                                   ones, so that the message size does not grow with the fleet. */
        std::uint32_t digestsPerProfile{4}; /*!< One in this many digests carries cost profiles, which change slowly. */
        double loadChangeThreshold{0.1}; /*!< Fraction of an instance's limit or run time below which a load change is
                                            not propagated. */
    };

    /**
     * @brief Creates an aggregator without reports; call `begin` before use.
     * @param settings Timeouts and limits.
     */
    explicit RelayAggregator(Settings settings);

    /**
     * @brief Starts a session: discards all reports, keeps membership records and counts from zero.
     * @param session Unix time in ms; later than that of the previous session.
     * @param counted Report of this node up to which other relays have counted its requests.
     */
    auto begin(std::uint64_t session, const NodeReport &counted) -> void;

    /**
     * @brief Applies this node's own report.
     * @param report Report of kind `Own` with session zero.
     */
    auto applyOwn(const NodeReport &report) -> void;

    /**
     * @brief Applies the report of another node.
     * @param report Report of kind `Own` from a leaf or `Relay` from another relay.
     * @param now Current time.
     * @return Whether the sender is a leaf with a new session.
     */
    auto apply(const NodeReport &report, TimePoint now) -> bool;

    /**
     * @brief Marks nodes as not reporting whose reports have timed out.
     * @param now Current time.
     */
    auto updateLiveness(TimePoint now) -> void;

    /**
     * @brief Removes the state of a node that has left; its requests stay counted.
     * @param name Name of its VM.
     */
    auto removeNode(const std::string &name) -> void;

    /**
     * @brief Applies a membership record unless a newer one is known.
     * @param member Membership record.
     */
    auto applyMember(const Member &member) -> void;

    /**
     * @brief Returns the full report for other relays.
     * @param own This node's own report.
     * @return Report of kind `Relay`, without instances and profiles.
     */
    [[nodiscard]] auto relayReport(const NodeReport &own) const -> NodeReport;

    /*! @brief Returns the merged cost profiles of this node's and its leaves' instances. */
    [[nodiscard]] auto subtreeProfiles() const -> std::vector<RouteProfile>;

    /**
     * @brief Returns the counts of all other nodes for a leaf; unchanged counts are omitted.
     * @param leaf Name of a node whose report was applied.
     * @param ownState This node's own report without counts, profiles and record.
     * @return Report of kind `Digest`, in the session of the leaf.
     */
    [[nodiscard]] auto digest(const std::string &leaf, const NodeReport &ownState) -> NodeReport;

    /**
     * @brief Adds instance states and membership records of the leaves to a report for other relays.
     * @param report Report to extend.
     * @param isFull Whether to add all entries instead of those changed since the last incremental call.
     */
    auto addSubtreeStates(NodeReport &report, bool isFull) -> void;

    /**
     * @brief Adds instance states and membership records of the whole fleet to a report for leaves.
     * @param report Report to extend.
     * @param isFull Whether to add all entries instead of those changed since the last incremental call.
     */
    auto addFleetStates(NodeReport &report, bool isFull) -> void;

    /**
     * @brief Returns whether a node still reports, to this or another relay.
     * @param name Name of its VM.
     * @return Whether it reports; nothing for a node that never did.
     */
    [[nodiscard]] auto isReporting(const std::string &name) const -> std::optional<bool>;

    /*! @brief Returns the number of leaves that currently report. */
    [[nodiscard]] auto leafCount() const -> std::size_t;

private:
    /*! @brief Sums of admitted requests by account and offered requests by kind. */
    struct Tally {
        std::map<std::string, double> admitted;
        std::map<std::string, double> offered;
    };

    /*! @brief Sums as last sent to a leaf. */
    struct SentCounts {
        Counts admitted;
        Counts offered;
    };

    /*! @brief State of a leaf or another relay that sends reports. */
    struct Source {
        ReportKind kind{};
        std::uint64_t incarnation{};
        std::uint64_t session{};
        std::uint32_t nodes{};
        TimePoint lastReportAt;
        bool isReporting{true};
        bool areLeavesReporting{true}; /*!< Whether nodes known only through this relay count as reporting. */
        CountTracker admitted;
        CountTracker offered;
        Tally counted; /*!< Requests counted in its session; leaves only. */
        Tally before; /*!< Sums of the fleet at the start of its session. */
        SentCounts sent; /*!< Counts in its latest digests. */
        std::uint32_t digests{}; /*!< Number of digests sent to it. */
        std::vector<RouteProfile> profiles;
    };

    /*! @brief Instance state with the change number that orders its propagation. */
    struct TrackedStatus {
        InstanceStatus status;
        InstanceLoad advertisedLoad; /*!< Load at the last change, as propagated. */
        std::string relay; /*!< Relay that it came from; empty for leaves. */
        bool isReportedByRelay{}; /*!< Whether the node reports to that relay, by the relay's last status. */
        std::uint64_t change{};
    };

    /*! @brief Membership record with the number of its last change. */
    struct MemberRecord {
        Member member;
        bool isLeaf{};
        std::uint64_t change{};
    };

    [[nodiscard]] auto
    mergedProfiles(const std::function<bool(const std::string &name, const Source &source)> &counts) const
        -> std::vector<RouteProfile>;
    auto beginSession(Source &source) -> void;
    auto count(Source &source, const NodeReport &report) -> void;
    auto applyStatus(const InstanceStatus &status, const std::string &relay) -> void;
    auto markNotReporting(const std::function<bool(const TrackedStatus &known)> &matches) -> void;
    auto restoreReporting(const std::string &relay) -> void;
    auto assignChangeId(TrackedStatus &known) -> void;
    auto applyRecord(const Member &member, bool isLeaf) -> void;
    [[nodiscard]] auto isBelowThreshold(const InstanceLoad &before, const InstanceLoad &after) const -> bool;
    auto addChanges(NodeReport &report, std::uint64_t &cursor, bool subtreeOnly, bool isFull) -> void;

    Settings settings_;
    std::uint64_t session_{};
    Source own_;
    std::map<std::string, Source> sources_;
    Tally subtree_; /*!< Sums of this node and its leaves. */
    Tally fleet_; /*!< Sums of all nodes, as far as reports have arrived. */
    std::map<std::string, TrackedStatus> statuses_;
    std::map<std::uint64_t, std::string> statusChanges_; /*!< Names by the number of their last change. */
    std::map<std::string, MemberRecord> members_;
    std::uint64_t lastChangeId_{};
    std::uint64_t subtreeCursor_{}; /*!< Last change sent to other relays. */
    std::uint64_t fleetCursor_{}; /*!< Last change sent to leaves. */
};

} // namespace jasminelatch::mesh

#endif
