#ifndef JASMINELATCH_SIDECAR_LOCAL_INSTANCE_HPP
#define JASMINELATCH_SIDECAR_LOCAL_INSTANCE_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "instance_pool.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/call_learner.hpp>
#include <jasminelatch/mesh/crash_tracker.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/instance_breaker.hpp>
#include <jasminelatch/mesh/instance_gate.hpp>
#include <jasminelatch/mesh/instance_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief The instance beside this node; every request to it passes through here.
 *
 * Decides which requests run and in which order, limits their concurrency, and sends no request to the instance after
 * the node has acknowledged that it is leaving.
 */
class LocalInstance
{
public:
    /*! @brief Called once with the reply to a request. */
    using Finished = std::function<void(mesh::HopReply reply)>;

    /*! @brief Dependencies; all of them outlive this object. */
    struct Context {
        event::Loop &loop; /*!< Runs the callbacks and timers. */
        const Dialect &dialect; /*!< Field names and formats on the wire. */
        DecisionLog &log; /*!< Records state changes and requests that were not answered. */
        Counters &counters; /*!< Receives the `instance.*` counters. */
        mesh::CallLearner &learner; /*!< Observes the run time of requests. */
        mesh::ByteBudget &budget; /*!< Bounds the memory for responses. */
        mesh::CrashTracker &crashes; /*!< Receives the requests that were running in a crashed instance. */
        mesh::InstanceGate::Settings gate{}; /*!< Limits on the requests to the instance. */
    };

    /*! @brief Functions of the node that the instance calls. */
    struct Hooks {
        std::function<void()> departed; /*!< An answer of the instance says that it is leaving. */
        std::function<void()> availabilityChanged; /*!< The instance has crashed, or accepts requests again. */
    };

    /**
     * @brief Makes an instance that refuses requests until its first report.
     * @param context Dependencies.
     * @param address Address of the instance.
     * @param service Service of the instance.
     * @param hooks Functions of the node.
     */
    LocalInstance(Context context, const event::Endpoint &address, std::string service, Hooks hooks);

    LocalInstance(const LocalInstance &) = delete;
    auto operator=(const LocalInstance &) -> LocalInstance & = delete;
    ~LocalInstance() = default;

    /**
     * @brief Applies a report of the instance.
     * @param report Report of its id, state and slots.
     * @param isRunning Whether its start is known to be running, whatever its time.
     * @return False if the report was ignored: it is out of date, or the health endpoint says that an instance which is
     * not known yet is leaving.
     */
    auto report(const mesh::InstanceReport &report, bool isRunning) -> bool;

    /**
     * @brief Queries the health endpoint of the instance, so that a node that starts beside a running instance need not
     * wait for its next report, and learns a rate limit before it sends requests. Ignored while a recent query is not
     * answered yet.
     * @param path Path of the health endpoint.
     * @param found Called with the report in the response if the instance is healthy.
     */
    auto queryHealth(const std::string &path, std::function<void(const mesh::InstanceReport &report)> found) -> void;

    /**
     * @brief Stops or resumes sending requests to the instance; running ones finish. After an evacuation the instance
     * is held for cold.
     * @param isEvacuated Whether the failure domain of this node is evacuated.
     */
    auto setEvacuated(bool isEvacuated) -> void;

    /**
     * @brief Sets the terms for cold instances of the service.
     * @param duration Time for which an instance is cold after its start.
     * @param ratePerSecond Requests per second that a cold instance tolerates; zero for no limit.
     */
    auto setColdStart(Duration duration, double ratePerSecond) -> void;

    /**
     * @brief Holds the instance for cold until a health query says otherwise, after an event that may hide a start.
     * @param cause Event, for the log.
     */
    auto suspectColdStart(std::string_view cause) -> void;

    /*! @brief Tells whether the instance is held for cold and a health query may say otherwise. */
    [[nodiscard]] auto isColdStartSuspected() const -> bool;

    /*! @brief Returns the remaining time for which the instance is held for cold and its rate is limited. */
    [[nodiscard]] auto coldStartRemaining() const -> Duration;

    /*! @brief Stops sending requests to the present start of the instance, since it is leaving. */
    auto markLeaving() -> void;

    /*! @brief Sends no requests to the present start of the instance until it is confirmed, as it may have ended: by
     * `confirm`, or by a health query from now on that finds an instance of its id healthy. Ignored unless it is ready.
     */
    auto awaitConfirmation() -> void;

    /*! @brief Resumes sending requests, since the present start of the instance is running. */
    auto confirm() -> void;

    /*! @brief Tells whether the present start of the instance waits for its confirmation. */
    [[nodiscard]] auto isUnconfirmed() const -> bool;

    /*! @brief Refuses queued and new requests from now on, since the node is about to stop; running ones finish. */
    auto stopAccepting() -> void;

    /*! @brief Tells whether new requests are accepted as far as the instance and this node have stated. */
    [[nodiscard]] auto isAccepting() const -> bool;

    /*! @brief Tells whether new requests are accepted and the instance has not crashed. */
    [[nodiscard]] auto isAvailable() const -> bool;

    /**
     * @brief Runs a request, queues it or refuses it.
     * @param request Request; its deadline and wait limit apply.
     * @param finished Callback; not called after `cancel`, nor before this function returns.
     * @return Id of the request for `cancel`.
     */
    auto submit(mesh::HopRequest request, Finished finished) -> std::uint64_t;

    /**
     * @brief Cancels a request; if it is running, its connection to the instance is closed.
     * @param requestId Id that `submit` returned.
     */
    auto cancel(std::uint64_t requestId) -> void;

    /**
     * @brief Refuses a request that is queued; one that is running is not affected.
     * @param requestId Id that `submit` returned.
     */
    auto withdraw(std::uint64_t requestId) -> void;

    /**
     * @brief Sets the run times that the instance is compared against.
     * @param profiles Profiles of all nodes together, by route.
     */
    auto setFleetProfiles(const std::map<std::string, mesh::RouteProfile> &profiles) -> void;

    /**
     * @brief Sets the number of instances of the service.
     * @param count Instances that accept requests.
     */
    auto setInstanceCount(std::size_t count) -> void;

    /*! @brief Returns the newest report that was applied. */
    [[nodiscard]] auto latest() const noexcept -> const mesh::InstanceReport &;

    /*! @brief Returns the running and queued requests, the concurrency limit and the run time. */
    [[nodiscard]] auto load() const -> mesh::InstanceLoad;

    /*! @brief Returns whether the instance has not answered this node yet. */
    [[nodiscard]] auto isAwaitingFirstAnswer() const -> bool;

    /*! @brief Returns the requests per second that the instance accepts at most, or nothing if it is unlimited. */
    [[nodiscard]] auto rateLimit() const -> std::optional<double>;

    /*! @brief Returns what has been learned of the concurrency that the instance copes with. */
    [[nodiscard]] auto capacity() const -> const mesh::CapacityEstimator &;

    /*! @brief Returns the number of requests that are running or queued. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    struct PendingRequest {
        mesh::HopRequest request;
        Finished finished;
        TimePoint submittedAt;
        TimePoint startedAt;
        std::uint64_t poolRequestId{}; /*!< Id in the connection pool; zero while it is queued. */
        std::uint64_t instanceStartMs{}; /*!< Start of the instance that it was sent to. */
        event::TimerId deadlineTimer{};
        /*! @brief Reply that is held back until it is known whether the instance has crashed. */
        std::optional<mesh::HopReply> lostReply;
    };

    auto applyColdStart(Duration left, std::optional<TimePoint> askedAt) -> void;
    auto logColdStart(std::string_view cause) -> void;
    auto run(std::uint64_t requestId) -> void;
    auto refuseQueued(mesh::HopReason reason) -> void;
    auto handleResult(std::uint64_t requestId, HttpConnection::Result result) -> void;
    [[nodiscard]] auto isSentToLatestStart(std::uint64_t requestId) const -> bool;
    /*! @brief Applies the condition that an answer states; returns whether the instance is leaving. */
    auto updateCondition(const mesh::Answer &answer) -> bool;
    auto logRateLimit() -> void;
    /*! @brief Logs the learned limit once it has changed by more than a tenth. */
    auto logCapacity() -> void;
    auto recordRunEnd(const PendingRequest &pending) -> void;
    auto refuseUnreachable(std::uint64_t requestId) -> void;
    auto updateBreaker(const HttpConnection::Result &result) -> void;
    auto handleLoss(std::uint64_t requestId, HttpConnection::Result result) -> void;
    auto scheduleCrashCheck() -> void;
    auto checkForCrash() -> void;
    auto finishCrashCheck(bool hasCrashed) -> void;
    auto releaseLost() -> void;
    auto recordCrash() -> void;
    auto handleCrash() -> void;
    auto markUp() -> void;
    auto scheduleAvailabilityCheck() -> void;
    [[nodiscard]] auto connectOnce(std::function<void(bool isRefused)> finished) -> std::unique_ptr<event::Stream>;
    auto handleDeadline(std::uint64_t requestId) -> void;
    auto complete(std::uint64_t requestId, mesh::HopReply reply) -> void;
    auto advance() -> void;
    auto scheduleSweep() -> void;
    [[nodiscard]] auto toReply(HttpConnection::Result &&result) -> mesh::HopReply;
    [[nodiscard]] auto refusal(mesh::HopReason reason, Duration retryAfter) const -> mesh::HopReply;

    Context context_;
    event::Endpoint address_;
    std::string service_;
    Hooks hooks_;
    InstancePool pool_;
    mesh::InstanceGate gate_;
    mesh::InstanceBreaker breaker_;
    mesh::InstanceRecord record_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::uint64_t lastRequestId_{};
    event::TimerId sweepTimer_{};
    std::uint64_t startedSinceLog_{}; /*!< Requests sent since the last log line on the rate limit. */
    TimePoint rateLimitLoggedAt_;
    std::uint32_t loggedLimit_{}; /*!< Learned limit in the last log line; zero before the first run. */
    bool stopped_{};
    bool isEvacuated_{}; /*!< Whether the instance gets no requests, since its failure domain is evacuated. */
    std::optional<TimePoint> unconfirmedSince_; /*!< Since when the present start of the instance may have ended. */
    std::optional<TimePoint> healthQueriedAt_; /*!< When the health query under way was sent. */
    bool isLeavingUnnamed_{}; /*!< Whether an instance whose id is not known yet says that it is leaving. */
    bool isDown_{}; /*!< Whether the instance accepts no connections. */
    mesh::CrashId crash_{}; /*!< Crash of the present start; zero if it has not crashed. */
    std::vector<mesh::Fingerprint> lost_; /*!< Requests lost since the last crash check began. */
    std::vector<mesh::Fingerprint> checkedLosses_; /*!< Those that the check under way is about. */
    std::unique_ptr<event::Stream> crashCheck_; /*!< Connection that shows whether the instance still listens. */
    std::unique_ptr<event::Stream> availabilityCheck_; /*!< The same, while the instance is down. */
    event::TimerId crashCheckTimer_{};
    event::TimerId releaseTimer_{};
    event::TimerId availabilityTimer_{};
    TimePoint crashCheckedAt_;
    bool hasColdStartTerms_{}; /*!< Whether the configuration of the service is known. */
    TimePoint answeredAt_; /*!< When the instance last answered a request. */
    bool hasLostSinceAnswer_{}; /*!< Whether it has lost a request since. */
};

} // namespace jasminelatch::sidecar

#endif
