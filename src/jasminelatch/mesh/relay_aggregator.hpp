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
 * @brief Adds up what a relay is sent, for other relays and for the nodes that report to it.
 *
 * Load pattern: hundreds of nodes admit requests of the same accounts, and each must know soon what all have admitted.
 * Every request is counted by the one relay that its node reported it to; a node that changes its relay starts a new
 * session there with what it has admitted since its last acknowledged report.
 */
class RelayAggregator
{
public:
    /*! @brief Settings of the ledger. */
    struct Settings {
        Duration reportTimeout{std::chrono::seconds{1}}; /*!< Time without a report after which a node is not heard. */
        Duration failoverTime{std::chrono::milliseconds{1500}}; /*!< Time beyond that in which the nodes of a
                                                               silent relay come to report to another one. */
        std::size_t maxInstancesPerReport{128}; /*!< Instances whose state is passed on at once; others follow in their
                                      turn, so that a message has the same size in a large fleet. */
        std::uint32_t digestsPerProfile{4}; /*!< Digests of which one tells what runs cost; that changes slowly. */
        double loadChangeThreshold{
            0.1}; /*!< Part of an instance's limit or run time by which its load may change unsaid. */
    };

    explicit RelayAggregator(Settings settings);

    /**
     * @brief Starts to count from zero.
     * @param session Time of day in ms.
     * @param counted Report of this node up to which its requests were counted elsewhere.
     */
    auto begin(std::uint64_t session, const NodeReport &counted) -> void;

    /**
     * @brief Takes this node's own report in.
     * @param report The report, of kind `Own` and session zero.
     */
    auto applyOwn(const NodeReport &report) -> void;

    /**
     * @brief Takes the report of another node in.
     * @param report The report, of kind `Own` or `Relay`.
     * @param now Present time.
     * @return Whether the sender is a node that has begun a new session here.
     */
    auto apply(const NodeReport &report, TimePoint now) -> bool;

    /**
     * @brief Notes which nodes have fallen silent.
     * @param now Present time.
     */
    auto updateLiveness(TimePoint now) -> void;

    /**
     * @brief Forgets a node that has left.
     * @param name Name of its VM.
     */
    auto removeNode(const std::string &name) -> void;

    /**
     * @brief Notes the record of a node.
     * @param member The record.
     */
    auto applyMember(const Member &member) -> void;

    /**
     * @brief Returns the report for other relays, whole.
     * @param own This node's own report.
     * @return The report; it holds no instances and no profiles.
     */
    [[nodiscard]] auto relayReport(const NodeReport &own) const -> NodeReport;

    /*! @brief Returns what runs beside this node and those that report to it cost. */
    [[nodiscard]] auto subtreeProfiles() const -> std::vector<RouteProfile>;

    /**
     * @brief Returns what a node that reports here is to know of the counts of all others; unchanged ones are left out.
     * @param leaf Name of the node.
     * @param ownState This node's own report without counts, profiles and record.
     * @return The report.
     */
    [[nodiscard]] auto digest(const std::string &leaf, const NodeReport &ownState) -> NodeReport;

    /**
     * @brief Adds states of instances and records to a report for other relays.
     * @param report The report; gets those of the nodes that report here.
     * @param isFull Whether to add all of them, not only what has changed since the last call without it.
     */
    auto addSubtreeStates(NodeReport &report, bool isFull) -> void;

    /**
     * @brief Adds states of instances and records to a report for the nodes that report here.
     * @param report The report; gets those of the whole fleet.
     * @param isFull Whether to add all of them, not only what has changed since the last call without it.
     */
    auto addFleetStates(NodeReport &report, bool isFull) -> void;

    /**
     * @brief Tells whether a node is heard, here or by another relay.
     * @param name Name of its VM.
     * @return Whether it is; nothing for a node that was never heard.
     */
    [[nodiscard]] auto isReporting(const std::string &name) const -> std::optional<bool>;

    /*! @brief Returns the number of nodes that report here and are heard. */
    [[nodiscard]] auto leafCount() const -> std::size_t;

private:
    /*! @brief Requests added up, by account and by kind. */
    struct Tally {
        std::map<std::string, double> admitted;
        std::map<std::string, double> offered;
    };

    /*! @brief The same as they were sent. */
    struct SentCounts {
        Counts admitted;
        Counts offered;
    };

    struct Source {
        ReportKind kind{};
        std::uint64_t session{};
        std::uint32_t nodes{};
        TimePoint lastReportAt;
        bool isReporting{true};
        bool areLeavesReporting{true}; /*!< Whether nodes that only this relay tells of count as heard. */
        CountTracker admitted;
        CountTracker offered;
        Tally counted; /*!< Requests of its session; of nodes that report here only. */
        Tally before; /*!< Those of the fleet when its session began. */
        SentCounts sent; /*!< What its digests have sent. */
        std::uint32_t digests{}; /*!< Digests sent to it. */
        std::vector<RouteProfile> profiles;
    };

    struct TrackedStatus {
        InstanceStatus status;
        InstanceLoad advertisedLoad; /*!< Load at the last change. */
        std::string relay; /*!< Relay that sent it; empty for nodes that report here. */
        bool isReportedByRelay{}; /*!< Whether that relay hears the node. */
        std::uint64_t change{};
    };

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
    Tally subtree_; /*!< Of this node and those that report to it. */
    Tally fleet_; /*!< Of all nodes, as far as it was sent. */
    std::map<std::string, TrackedStatus> statuses_;
    std::map<std::uint64_t, std::string> statusChanges_; /*!< Names by their last change. */
    std::map<std::string, MemberRecord> members_;
    std::uint64_t lastChangeId_{};
    std::uint64_t subtreeCursor_{}; /*!< Last change that other relays were sent. */
    std::uint64_t fleetCursor_{}; /*!< Last change that the nodes which report here were sent. */
};

} // namespace jasminelatch::mesh

#endif
