#ifndef JASMINELATCH_SIDECAR_FLEET_HPP
#define JASMINELATCH_SIDECAR_FLEET_HPP

#include "decision_log.hpp"
#include "peer_link.hpp"
#include "registry_client.hpp"

#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/member.hpp>
#include <jasminelatch/mesh/node_report.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/relay_aggregator.hpp>
#include <jasminelatch/mesh/relay_plan.hpp>
#include <jasminelatch/mesh/repeat_budget.hpp>
#include <jasminelatch/mesh/report_session.hpp>
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

namespace jasminelatch::sidecar {

/**
 * @brief The other nodes: who they are, how requests reach them, and what all tell one another.
 *
 * In a small fleet every node reports to every other. In a larger one a node reports to a relay of its failure domain,
 * relays report to one another, and each passes sums and states on to the nodes that report to it.
 */
class Fleet
{
public:
    /*! @brief What the fleet depends on; all of it outlives the fleet. */
    struct Context {
        event::Loop &loop; /*!< Loop. */
        DecisionLog &log; /*!< Log. */
        mesh::Placement &placement; /*!< Choice of instance. */
        mesh::UsageCaps &caps; /*!< Caps of accounts. */
        mesh::RepeatBudget &retryBudget; /*!< Budget of repeats. */
        mesh::TreeAdmission &admission; /*!< Which part of each kind may start. */
        RegistryClient &registry; /*!< Records and configuration. */
    };

    /*! @brief What the fleet calls. */
    struct Hooks {
        std::function<mesh::NodeReport()> ownReport; /*!< Returns this node's own report, with its record. */
        std::function<mesh::NodeReport()> ownState; /*!< Returns what of it tells of the node and its instance. */
        std::function<void(std::string_view frame)> broadcast; /*!< Writes to the nodes that report here. */
    };

    /**
     * @brief Makes a fleet of one node.
     * @param context What it depends on.
     * @param own Record of this node.
     * @param hooks What to call.
     */
    Fleet(Context context, const mesh::Member &own, Hooks hooks);

    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;
    ~Fleet() = default;

    /**
     * @brief Adds a node or takes over its newer record.
     * @param member Its record.
     */
    auto updateMember(const mesh::Member &member) -> void;

    /**
     * @brief Drops nodes that have no record and don't answer.
     * @param names Names of all nodes that have one.
     */
    auto dropUnlistedPeers(const std::set<std::string> &names) -> void;

    /**
     * @brief Takes the report of a peer in.
     * @param report The report.
     * @return Frames that answer it.
     */
    [[nodiscard]] auto handleReport(const mesh::NodeReport &report) -> std::string;

    /*! @brief Tells the other nodes what this one knows, out of turn too. */
    auto sendReports() -> void;

    /*! @brief Reports, looks for silent nodes and plans anew who relays. */
    auto update() -> void;

    /*! @brief Returns the interval at which `update` is due. */
    [[nodiscard]] auto reportInterval() const -> Duration;

    /*! @brief Returns the number of other nodes. */
    [[nodiscard]] auto peerCount() const -> std::size_t;

    /*! @brief Tells whether this node is a relay. */
    [[nodiscard]] auto isRelay() const -> bool;

    /**
     * @brief Sends a request to the instance beside another node.
     * @param node Name of its VM.
     * @param request The request.
     * @param finished What to call with the word on it.
     * @return Names the exchange.
     */
    auto send(const std::string &node, const mesh::HopRequest &request, PeerLink::Finished callback) -> std::uint64_t;

    /**
     * @brief Withdraws a request.
     * @param node Name of the VM.
     * @param exchange Names the exchange.
     */
    auto cancel(const std::string &node, std::uint64_t exchange) -> void;

private:
    /*! @brief Another node that has a record. */
    struct Peer {
        mesh::Member member;
        std::unique_ptr<PeerLink> link;
        TimePoint addedAt;
        std::optional<bool> isReporting; /*!< Whether it is heard, as relays tell; nothing before they do. */
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
    [[nodiscard]] auto encodeAnswer(const mesh::NodeReport &report, bool isNewSession) -> std::string;

    Context context_;
    Hooks hooks_;
    mesh::Member self_; /*!< This node as it started; tells nothing of the instance. */
    std::map<std::string, Peer> peers_;
    mesh::RelayPlan plan_;
    mesh::RelayAggregator ledger_;
    bool isRelay_{true};
    std::uint64_t lastSession_{}; /*!< Session of this node's counts, as a relay or at its relay. */
    mesh::ReportSession session_;
    std::uint64_t reportCount_{};
    std::map<std::string, TimePoint> relaysSeenAt_; /*!< Nodes that reported as relays, and when. */

    std::string relay_; /*!< Relay of the present session; empty without one. */
    bool relayFailed_{}; /*!< Whether the connection to it has ended since. */
    mesh::ReportDeltaFilter sentReport_; /*!< What other relays were told last. */
};

} // namespace jasminelatch::sidecar

#endif
