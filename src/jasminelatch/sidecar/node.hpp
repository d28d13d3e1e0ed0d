#ifndef JASMINELATCH_SIDECAR_NODE_HPP
#define JASMINELATCH_SIDECAR_NODE_HPP

#include "byte_budget.hpp"
#include "decision_log.hpp"
#include "dialect.hpp"
#include "fleet.hpp"
#include "http_server.hpp"
#include "local_instance.hpp"
#include "peer_server.hpp"
#include "registry_client.hpp"
#include "request_router.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/call_learner.hpp>
#include <jasminelatch/mesh/member.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/repeat_budget.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief One node: the entry for callers on its VM and the gate of the instance beside it.
 */
class Node
{
public:
    /**
     * @brief Makes a node.
     * @param loop Loop to run on; it outlives the node.
     * @param clock Clock; it outlives the node.
     * @param settings Settings.
     * @param dialect Names and formats of the surroundings.
     */
    Node(event::Loop &loop, const Clock &clock, Settings settings, Dialect dialect);

    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;
    ~Node() = default;

    /**
     * @brief Opens every port and starts.
     * @return What went wrong, or nothing.
     */
    [[nodiscard]] auto open() -> std::optional<std::string>;

    /**
     * @brief Stops within the grace period: finishes what is under way, then stops the loop.
     */
    auto stop() -> void;

    /**
     * @brief Takes over settings that were read again; what needs a restart is logged and left as it is.
     * @param settings The settings.
     */
    auto reload(const Settings &settings) -> void;

private:
    [[nodiscard]] auto answerReady() const -> mesh::Answer;
    [[nodiscard]] auto answerMetrics() const -> mesh::Answer;
    [[nodiscard]] auto answerReport(const mesh::Request &request) -> mesh::Answer;
    auto applyConfiguration(mesh::Configuration configuration) -> void;
    auto probeInstance() -> void;
    auto applyUnlessDeparted(const mesh::InstanceReport &report) -> void;
    auto applyInstanceReport(const mesh::InstanceReport &report) -> void;
    auto handlePreviousRecord(const std::optional<mesh::Member> &record) -> void;
    auto publishOwnMember() -> void;
    auto tick() -> void;
    auto logPlan(TimePoint now) -> void;
    auto scheduleEarlyReport() -> void;
    auto scheduleReport() -> void;
    [[nodiscard]] auto gauges() const -> std::map<std::string, double>;
    [[nodiscard]] auto ownMember() const -> mesh::Member;
    [[nodiscard]] auto storedRecord() const -> mesh::Member;
    [[nodiscard]] auto ownState() const -> mesh::NodeReport;
    [[nodiscard]] auto ownReport() const -> mesh::NodeReport;
    [[nodiscard]] auto limits() const -> mesh::Limits;
    auto closeInstance() -> void;
    auto checkStopped() -> void;
    auto send(const std::string &node, const mesh::HopRequest &request, std::function<void(mesh::HopReply)> callback)
        -> std::uint64_t;
    auto cancel(const std::string &node, std::uint64_t exchange) -> void;

    event::Loop *loop_;
    Settings settings_;
    Dialect dialect_;
    std::uint64_t incarnation_;
    Counters counters_;
    DecisionLog log_;
    ByteBudget budget_; /*!< Of requests and answers that are coming in. */
    mesh::Placement placement_;
    mesh::UsageCaps caps_;
    mesh::RepeatBudget retryBudget_;
    mesh::CallLearner learner_;
    mesh::TreeAdmission admission_;
    LocalInstance instance_;
    RegistryClient registry_;
    Fleet fleet_;
    RequestRouter router_;
    PeerServer peerServer_;
    HttpServer callers_;
    HttpServer ready_;
    HttpServer reports_;
    HttpServer metrics_;
    std::shared_ptr<const mesh::ConfigurationIndex> configuration_;
    std::optional<mesh::InstanceReport> healthReport_; /*!< Waits until the earlier record is known. */
    std::optional<mesh::Member> previousRecord_; /*!< What the process before this one wrote. */
    std::optional<TimePoint> stoppingSince_;
    std::uint64_t recordVersion_{1};
    bool isEarlyReportScheduled_{}; /*!< Whether a report before the usual time is planned. */
    TimePoint decayedAt_;
    TimePoint planLoggedAt_;
    bool isShedding_{}; /*!< Whether some kind of request may start only in part. */
};

} // namespace jasminelatch::sidecar

#endif
