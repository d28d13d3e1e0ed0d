#ifndef JASMINELATCH_SIDECAR_NODE_HPP
#define JASMINELATCH_SIDECAR_NODE_HPP

#include "decision_log.hpp"
#include "departure_store.hpp"
#include "dialect.hpp"
#include "fleet.hpp"
#include "http_server.hpp"
#include "local_instance.hpp"
#include "peer_server.hpp"
#include "quarantine_store.hpp"
#include "registry_client.hpp"
#include "request_router.hpp"
#include "settings.hpp"
#include "store_writer.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/byte_budget.hpp>
#include <jasminelatch/mesh/call_learner.hpp>
#include <jasminelatch/mesh/instance_departure.hpp>
#include <jasminelatch/mesh/member.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/reported_start.hpp>
#include <jasminelatch/mesh/retry_budget.hpp>
#include <jasminelatch/mesh/start_history.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Sidecar node: the entry for callers on its VM and the admission gate of the local instance.
 */
class Node
{
public:
    /**
     * @brief Creates a node that serves nothing before `open`.
     * @param loop Event loop; must outlive the node.
     * @param clock Clock; must outlive the node.
     * @param settings Validated settings.
     * @param dialect Adapter to the platform.
     */
    Node(event::Loop &loop, const Clock &clock, Settings settings, Dialect dialect);

    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;
    ~Node() = default;

    /**
     * @brief Opens all ports and starts to follow the store; a metrics port that can't be opened is only logged.
     * @return Address and error of the port that failed, or nothing.
     */
    [[nodiscard]] auto open() -> std::optional<std::string>;

    /**
     * @brief Drains active requests within the grace period, then stops the event loop.
     */
    auto stop() -> void;

    /**
     * @brief Logs whether reloaded settings need a restart; applies none of them.
     * @param settings Settings that were read again.
     */
    auto reload(const Settings &settings) -> void;

private:
    [[nodiscard]] auto answerReady() const -> mesh::Answer;
    [[nodiscard]] auto answerMetrics() const -> mesh::Answer;
    [[nodiscard]] auto answerExplanation(const mesh::Request &request) const -> mesh::Answer;
    auto handleReport(const mesh::Request &request, HttpServer::Respond respond) -> void;
    auto handleReadyReport(const mesh::InstanceReport &report) -> void;
    auto handleDepartureReport(mesh::InstanceReport report) -> void;
    [[nodiscard]] auto mustHold(const mesh::InstanceReport &report) const -> bool;
    auto acknowledge(const mesh::InstanceReport &report, HttpServer::Respond respond) -> void;
    auto handleStoreRestored() -> void;
    [[nodiscard]] auto canProbe() const -> bool;
    auto applyConfiguration(mesh::Configuration configuration) -> void;
    auto applyEvacuation() -> void;
    auto probeInstance() -> void;
    auto applyHealth(const mesh::InstanceReport &report) -> void;
    auto applyUnlessLate(mesh::InstanceReport report) -> void;
    auto logIgnoredReport(const mesh::InstanceReport &report, std::string_view cause) -> void;
    /*! @brief Tells whether the start that a report names may have ended, and has not shown that it is running. */
    [[nodiscard]] auto mayHaveEnded(const mesh::InstanceReport &report) const -> bool;
    /*! @brief Applies a report unless it is outdated; one of a running start is not, whatever its time. */
    auto applyInstanceReport(const mesh::InstanceReport &report, bool isRunning = false) -> void;
    auto handleDeparturesKnown(std::span<const mesh::InstanceDeparture> departures) -> void;
    auto publishOwnMember() -> void;
    auto raiseIncarnation(std::uint64_t above) -> void;
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
    [[nodiscard]] auto endTime() const -> TimePoint;
    auto checkStopped() -> void;
    auto send(const std::string &node, const mesh::HopRequest &request, std::function<void(mesh::HopReply)> callback)
        -> std::uint64_t;
    auto cancel(const std::string &node, std::uint64_t exchange) -> void;
    auto withdraw(const std::string &node, std::uint64_t exchange) -> void;

    event::Loop *loop_;
    Settings settings_;
    Dialect dialect_;
    std::uint64_t incarnation_;
    Counters counters_;
    DecisionLog log_;
    mesh::ByteBudget budget_; /*!< Memory for messages, from their first byte to their last. */
    mesh::Placement placement_;
    mesh::UsageCaps caps_;
    mesh::RetryBudget retryBudget_;
    mesh::CallLearner learner_;
    mesh::TreeAdmission admission_;
    mesh::CrashTracker crashes_;
    LocalInstance instance_;
    RegistryClient registry_;
    StoreWriter writer_;
    DepartureStore departures_;
    QuarantineStore quarantines_;
    Fleet fleet_;
    RequestRouter router_;
    PeerServer peerServer_;
    HttpServer callers_;
    HttpServer ready_;
    HttpServer reports_;
    HttpServer metrics_;
    std::shared_ptr<const mesh::ConfigurationIndex> configuration_;
    std::optional<mesh::InstanceReport> healthReport_; /*!< Held back until an earlier departure is known. */
    std::optional<mesh::InstanceReport> heldReport_; /*!< Latest report of a ready instance, held back likewise. */
    mesh::ReportedStart reportedStart_{{}};
    mesh::StartHistory startHistory_; /*!< Starts that have reported to this process. */
    TimePoint openedAt_;
    std::optional<TimePoint> stoppingSince_;
    std::uint64_t recordVersion_{1};
    bool isEarlyReportScheduled_{}; /*!< Whether a report ahead of the regular interval is scheduled. */
    TimePoint decayedAt_;
    TimePoint planLoggedAt_;
    bool isShedding_{}; /*!< Whether some kind of request is partly shed. */
};

} // namespace jasminelatch::sidecar

#endif
