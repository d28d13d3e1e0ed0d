#ifndef JASMINELATCH_SIDECAR_REQUEST_ROUTER_HPP
#define JASMINELATCH_SIDECAR_REQUEST_ROUTER_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "http_server.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/crash_tracker.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/retry_budget.hpp>
#include <jasminelatch/mesh/retry_policy.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief Ingress for requests on this VM: authenticates, admits, routes and retries a request, and answers it.
 *
 * A request with a client account is the root of a call tree: rate caps and tree admission apply to it. A request
 * without one counts as a call within an admitted call tree and gets the highest rank.
 */
class RequestRouter
{
public:
    /*! @brief Dependencies; all of them outlive the router. */
    struct Context {
        event::Loop &loop; /*!< Runs the callbacks and timers. */
        const Dialect &dialect; /*!< Field names and formats on the wire. */
        DecisionLog &log; /*!< Records each refusal and each failed request. */
        Counters &counters; /*!< Receives the `entry.*` counters. */
        mesh::Placement &placement; /*!< Chooses the node that a request is sent to. */
        mesh::UsageCaps &caps; /*!< Rate caps of client accounts. */
        mesh::RetryBudget &retryBudget; /*!< Retry budget of each service. */
        mesh::TreeAdmission &admission; /*!< Fraction of the call trees of each rank and route that is admitted. */
        mesh::CallLearner &learner; /*!< Observes the calls that the local instance makes. */
        mesh::CrashTracker &crashes; /*!< Requests that may crash the instances that run them. */
    };

    /*! @brief Functions of the node that the router calls. */
    struct Hooks {
        /*! @brief Sends a request to a node; `finished` is called once, and not before this returns. */
        std::function<std::uint64_t(const std::string &node,
                                    const mesh::HopRequest &request,
                                    std::function<void(mesh::HopReply reply)> finished)>
            send;
        std::function<void(const std::string &node, std::uint64_t exchange)> cancel; /*!< Cancels an exchange. */
        /*! @brief Cancels an exchange whose request waits for a slot; its reply says that it has not run. */
        std::function<void(const std::string &node, std::uint64_t exchange)> withdraw;
        /*! @brief Tells whether the store has confirmed the configuration recently. */
        std::function<bool()> isConfigurationFresh;
    };

    /**
     * @brief Makes a router that refuses every request until it has a configuration.
     * @param context Dependencies.
     * @param ownService Service of the instance on this VM.
     * @param hooks Functions of the node.
     */
    RequestRouter(Context context, std::string ownService, Hooks hooks);

    RequestRouter(const RequestRouter &) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    ~RequestRouter() = default;

    /**
     * @brief Replaces the configuration; requests that are already admitted keep the values of the former one.
     * @param configuration New configuration.
     */
    auto setConfiguration(std::shared_ptr<const mesh::ConfigurationIndex> configuration) -> void;

    /**
     * @brief Admits a request and sends it to an instance, or refuses it.
     * @param request Request as received.
     * @param respond Sends its answer.
     * @return Id of the request for `cancel`; zero if it was answered before this returns.
     */
    auto submit(mesh::Request request, HttpServer::Respond respond) -> std::uint64_t;

    /**
     * @brief Drops a request whose client has disconnected and cancels its exchange.
     * @param requestId Id that `submit` returned.
     */
    auto cancel(std::uint64_t requestId) -> void;

    /**
     * @brief Refuses requests that may last past the end of this node from now on.
     * @param end Time at which the node ends.
     */
    auto acceptUntil(TimePoint end) -> void;

    /*!
     * @brief Withdraws all requests that wait for a slot, and sends no request to a further node from now on.
     *
     * Load pattern: a node stops while the service that its requests need has a queue which outlasts the node.
     */
    auto withdrawQueued() -> void;

    /*! @brief Answers all requests that are still active, since this node ends now. */
    auto failActive() -> void;

    /*! @brief Returns the number of requests that are not answered yet. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    /*! @brief Request that is not answered yet. */
    struct Attempt {
        mesh::HopRequest hop;
        HttpServer::Respond respond;
        std::uint32_t maxAttempts{1};
        std::vector<std::string> tried; /*!< Nodes that it was sent to, in order. */
        std::uint32_t instancesReached{}; /*!< Number of instances that received it. */
        bool mayHaveRun{}; /*!< Whether an instance may have run it. */
        std::string node; /*!< Node that holds it now; empty between two sends. */
        std::uint64_t instanceStartMs{}; /*!< Start of the instance beside that node, as far as known here. */
        std::uint64_t exchange{};
        mesh::HopReply lastReply;
        event::TimerId timer{};
        TimePoint startedAt;
        TimePoint startBy; /*!< Deadline for leaving the queue of an instance. */
    };

    /*! @brief Refusal of a request before it is sent to any node. */
    struct Refusal {
        unsigned status{};
        std::string_view reason;
        Duration retryAfter{};
        nlohmann::json inputs = nlohmann::json::object(); /*!< Inputs of the decision, for the log. */
    };

    [[nodiscard]] auto authenticate(const mesh::Route &route,
                                    const ClientCall &call,
                                    const mesh::Account *&account) const -> std::optional<Refusal>;
    [[nodiscard]] auto admit(const mesh::Request &request, const ClientCall &call, Attempt &attempt)
        -> std::optional<Refusal>;
    [[nodiscard]] auto admitRoot(const mesh::Route &route, const mesh::Account &account, mesh::HopRequest &hop)
        -> std::optional<Refusal>;
    [[nodiscard]] auto choose(Attempt &attempt) -> const mesh::Member *;
    auto noteCrash(Attempt &attempt, const mesh::HopReply &reply) -> void;
    [[nodiscard]] auto pickService(const mesh::Route &route) -> std::string;
    auto dispatch(std::uint64_t requestId) -> void;
    auto cancelExchange(const Attempt &attempt) -> void;
    auto handleReply(std::uint64_t requestId, mesh::HopReply reply) -> void;
    auto noteDeparture(const Attempt &attempt, const mesh::Answer &answer) -> void;
    [[nodiscard]] auto activeIds() const -> std::vector<std::uint64_t>;
    [[nodiscard]] auto mayRetry(const Attempt &attempt, const mesh::HopReply &reply) -> bool;
    auto fail(std::uint64_t requestId, std::string_view reason) -> void;
    auto handleTimeout(std::uint64_t requestId) -> void;
    auto finish(std::uint64_t requestId, mesh::Answer answer) -> void;
    auto logRefusal(const ClientCall &call, const mesh::Request &request, const Refusal &refusal) -> void;

    Context context_;
    std::string ownService_;
    Hooks hooks_;
    std::shared_ptr<const mesh::ConfigurationIndex> configuration_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::uint64_t lastRequestId_{};
    std::mt19937_64 random_;
    /*! @brief Current weights of smooth weighted round robin, by route and then by service. */
    std::map<std::string, std::map<std::string, double>> splitWeights_;
    std::optional<TimePoint> end_; /*!< When this node ends; nothing while it accepts every request. */
    bool isWithdrawing_{}; /*!< Whether a request that has not run is refused instead of being sent once more. */
};

/**
 * @brief Makes an answer without a body that the node itself sends.
 * @param status HTTP status code.
 * @param retryAfter Value of `Retry-After`, written in seconds with three decimals; zero omits the field.
 * @return The answer.
 */
[[nodiscard]] auto makeAnswer(unsigned status, Duration retryAfter) -> mesh::Answer;

} // namespace jasminelatch::sidecar

#endif
