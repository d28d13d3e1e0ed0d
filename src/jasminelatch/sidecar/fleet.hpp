#ifndef JASMINELATCH_SIDECAR_FLEET_HPP
#define JASMINELATCH_SIDECAR_FLEET_HPP

#include "decision_log.hpp"
#include "peer_link.hpp"
#include "registry_client.hpp"

#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/crash_tracker.hpp>
#include <jasminelatch/mesh/member.hpp>
#include <jasminelatch/mesh/node_report.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/relay_aggregator.hpp>
#include <jasminelatch/mesh/relay_plan.hpp>
#include <jasminelatch/mesh/report_session.hpp>
#include <jasminelatch/mesh/retry_budget.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief Tracks the other nodes, forwards requests to them and exchanges reports with them.
 *
 * In a small fleet every node reports to every other node. In a larger one a node reports to a relay of its failure
 * domain, relays report to one another, and each relay forwards aggregated counts and instance states to the nodes that
 * report to it.
 */
class Fleet
{
public:
    /*! @brief Dependencies; all must outlive the fleet. */
    struct Context {
        event::Loop &loop; /*!< Event loop. */
        DecisionLog &log; /*!< Structured log. */
        mesh::Placement &placement; /*!< Instance selection; receives members, states and loads. */
        mesh::UsageCaps &caps; /*!< Rate caps of accounts; receives the counts of other nodes. */
        mesh::RetryBudget &retryBudget; /*!< Retry budget; receives the number of nodes. */
        /*! @brief Decides which fraction of each kind of request (priority rank and route) is admitted. Receives the
         * reports of all nodes: how many requests of each kind clients have offered, and the route profiles from which
         * costs are estimated. The cost of a kind at a service is the time for which one request and the calls below it
         * occupy the service's slots, each of which runs one request at a time. */
        mesh::TreeAdmission &admission;
        RegistryClient &registry; /*!< Source of node records and the configuration. */
        mesh::CrashTracker &crashes; /*!< Requests that may crash instances; nodes share what they know of them. */
        mesh::ByteBudget &budget; /*!< Bounds the memory for replies. */
    };

    /*! @brief Callbacks that supply this node's state and send frames. */
    struct Hooks {
        std::function<mesh::NodeReport()> ownReport; /*!< Returns this node's own report, with its record. */
        std::function<mesh::NodeReport()>
            ownState; /*!< Returns the part of the report that describes the node and its instance. */
        std::function<void(std::string_view frame)> broadcast; /*!< Sends a frame to the nodes that report here. */
        /*! @brief Called with the incarnation of an ended process that would take precedence over this one. */
        std::function<void(std::uint64_t incarnation)> outranked;
    };

    /**
     * @brief Creates a fleet that consists of this node only.
     * @param context Dependencies.
     * @param own Record of this node.
     * @param hooks Callbacks.
     */
    Fleet(Context context, const mesh::Member &own, Hooks hooks);

    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;
    ~Fleet() = default;

    /**
     * @brief Adds a node or replaces its record by a newer one.
     * @param member Record of the node.
     */
    auto updateMember(const mesh::Member &member) -> void;

    /**
     * @brief Begins to report under a later incarnation; requests are neither lost nor counted twice by it.
     * @param incarnation Incarnation that the hooks' reports state from now on.
     */
    auto setIncarnation(std::uint64_t incarnation) -> void;

    /**
     * @brief Drops nodes that have no record and are not live.
     * @param names Names of all nodes that have a record.
     */
    auto dropUnlistedPeers(const std::set<std::string> &names) -> void;

    /**
     * @brief Applies the report of a peer.
     * @param report Report that the peer has sent.
     * @return Encoded frames of the answer; empty if none is due.
     */
    [[nodiscard]] auto handleReport(const mesh::NodeReport &report) -> std::string;

    /*! @brief Sends this node's reports now, at the regular interval or ahead of it. */
    auto sendReports() -> void;

    /*! @brief Detects silent nodes, selects the relays anew and sends reports. */
    auto update() -> void;

    /*! @brief Returns the interval at which `update` must be called. */
    [[nodiscard]] auto reportInterval() const -> Duration;

    /*! @brief Returns the number of known peers. */
    [[nodiscard]] auto peerCount() const -> std::size_t;

    /*! @brief Tells whether this node is a relay. */
    [[nodiscard]] auto isRelay() const -> bool;

    /**
     * @brief Sends a request to the instance beside another node.
     * @param node Name of its VM.
     * @param request Request to forward.
     * @param callback Receives the reply.
     * @return Id of the exchange, for `cancel`.
     */
    auto send(const std::string &node, const mesh::HopRequest &request, PeerLink::Finished callback) -> std::uint64_t;

    /**
     * @brief Cancels a request; a node that is no longer known is ignored.
     * @param node Name of the VM.
     * @param exchange Id that `send` returned.
     */
    auto cancel(const std::string &node, std::uint64_t exchange) -> void;

    /**
     * @brief Cancels a request if it waits for a slot; its reply arrives as usual. A node that is no longer known is
     * ignored.
     * @param node Name of the VM.
     * @param exchange Id that `send` returned.
     */
    auto withdraw(const std::string &node, std::uint64_t exchange) -> void;

private:
    /*! @brief Another node that has a record. */
    struct Peer {
        mesh::Member member;
        std::unique_ptr<PeerLink> link;
        TimePoint addedAt;
        std::optional<bool> isReporting; /*!< Whether relays receive its reports; nothing until one of them says so. */
    };

    [[nodiscard]] auto makeLink(const std::string &name, const event::Endpoint &to) -> std::unique_ptr<PeerLink>;
    auto handleRelayFailure(const std::string &name) -> void;
    auto closeLink(std::unique_ptr<PeerLink> link) -> void;
    auto dropSuperseded(const mesh::Member &member) -> void;
    auto dropPeer(const std::string &name) -> void;
    auto updatePeerCount() -> void;
    [[nodiscard]] auto isLive(const Peer &peer) const -> bool;
    auto updateReporting() -> void;
    [[nodiscard]] auto relayTargets() const -> std::set<std::string>;
    auto updatePlan() -> void;
    auto becomeRelay() -> void;
    auto becomeLeaf() -> void;
    auto resetPeerCounts() -> void;
    auto reportToRelays(const mesh::NodeReport &own) -> void;
    auto reportToRelay(const mesh::NodeReport &own) -> void;
    auto startSession(const std::string &relay) -> void;
    auto nextSession() -> std::uint64_t;
    auto broadcastStates() -> void;
    auto applyStates(const mesh::NodeReport &report) -> void;
    auto handleReportAnswer(const std::string &relay, const mesh::NodeReport &report) -> void;
    auto applyCrashes(const mesh::NodeReport &report) -> void;
    auto applyEvacuation(const mesh::NodeReport &report) -> void;
    [[nodiscard]] auto isOutrankedBy(const mesh::Member &member) const -> bool;
    [[nodiscard]] auto recordsOutranking(const mesh::NodeReport &report) const -> std::vector<mesh::Member>;
    [[nodiscard]] auto encodeAnswer(const mesh::NodeReport &report,
                                    bool isNewSession,
                                    std::vector<mesh::Member> outranking) -> std::string;

    Context context_;
    Hooks hooks_;
    mesh::Member self_; /*!< Record of this node at its start; holds no instance state. */
    TimePoint startedAt_;
    std::map<std::string, Peer> peers_;
    mesh::RelayPlan plan_;
    mesh::RelayAggregator aggregator_;
    bool isRelay_{true};
    std::uint64_t lastSession_{}; /*!< Latest session of this node's counts, as a relay or at its relay. */
    mesh::ReportSession session_;
    std::uint64_t reportCount_{};
    std::map<std::string, TimePoint> relaysSeenAt_; /*!< Time of the last relay report, by node. */

    std::string relay_; /*!< Relay of the current session; empty without one. */
    bool relayFailed_{}; /*!< Whether the connection to it has failed since the session began. */
    std::uint64_t reportedCrashChange_{}; /*!< Last change of crash records that relays were sent. */
    std::uint64_t broadcastCrashChange_{}; /*!< Last one that the nodes reporting here were sent. */
    mesh::ReportDeltaFilter sentReport_; /*!< State sent last to other relays; later reports contain changes only. */
};

} // namespace jasminelatch::sidecar

#endif
