#ifndef JASMINELATCH_SIDECAR_REQUEST_ROUTER_HPP
#define JASMINELATCH_SIDECAR_REQUEST_ROUTER_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "http_server.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/retry_budget.hpp>
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
 * @brief Where requests of this VM enter: decides whether one may run, sends it to an instance and answers it.
 */
class RequestRouter
{
public:
    /*! @brief What the entry depends on; all of it outlives the entry. */
    struct Context {
        event::Loop &loop; /*!< Loop. */
        const Dialect &dialect; /*!< Names and formats. */
        DecisionLog &log; /*!< Log. */
        Counters &counters; /*!< Counters. */
        mesh::Placement &placement; /*!< Choice of instance. */
        mesh::UsageCaps &caps; /*!< Caps of accounts. */
        mesh::RetryBudget &repeats; /*!< Budget of repeats. */
        mesh::TreeAdmission &admission; /*!< Which part of each kind may start. */
        mesh::CallLearner &learner; /*!< Learns which calls the local instance makes. */
    };

    /*! @brief How requests leave this node. */
    struct Hooks {
        /*! @brief Sends a request to a node; the hook is called once, and not before this returns. */
        std::function<std::uint64_t(const std::string &node,
                                    const mesh::HopRequest &request,
                                    std::function<void(mesh::HopReply reply)> finished)>
            send;
        std::function<void(const std::string &node, std::uint64_t exchange)> cancel; /*!< Withdraws it. */
        std::function<bool()> isConfigurationFresh; /*!< Whether the configuration was confirmed lately. */
    };

    /**
     * @brief Makes an entry without a configuration.
     * @param context What it depends on.
     * @param ownService Service of the VM.
     * @param hooks How requests leave.
     */
    RequestRouter(Context context, std::string ownService, Hooks hooks);

    RequestRouter(const RequestRouter &) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    ~RequestRouter() = default;

    /**
     * @brief Puts a configuration in force.
     * @param configuration The configuration.
     */
    auto setConfiguration(std::shared_ptr<const mesh::ConfigurationIndex> configuration) -> void;

    /**
     * @brief Takes in a request.
     * @param request The request.
     * @param respond Sends its answer.
     * @return Name of the request; zero when it was answered at once.
     */
    auto submit(mesh::Request request, HttpServer::Respond respond) -> std::uint64_t;

    /**
     * @brief Ends a request whose caller has left.
     * @param name Name of the request.
     */
    auto cancel(std::uint64_t name) -> void;

    /*! @brief Returns the number of requests that are not answered. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    /*! @brief Request that is not answered yet. */
    struct Attempt {
        mesh::HopRequest hop;
        HttpServer::Respond respond;
        std::uint32_t maxAttempts{1};
        std::vector<std::string> tried; /*!< Nodes that it was sent to. */
        std::uint32_t reached{}; /*!< Instances that it was handed to. */
        bool mayHaveRun{}; /*!< Whether one of them may have run it. */
        std::string node; /*!< Node that has it now. */
        std::uint64_t exchange{};
        mesh::HopReply lastReply;
        event::TimerId timer{};
        TimePoint startedAt;
        TimePoint patientUntil; /*!< Moment up to which it may wait for a slot. */
    };

    /*! @brief Why a request is turned away at once. */
    struct Refusal {
        unsigned status{};
        std::string_view reason;
        Duration retryAfter{};
        nlohmann::json inputs = nlohmann::json::object(); /*!< What decided it, for the log. */
    };

    [[nodiscard]] auto authenticate(const mesh::Route &route,
                                    const ClientCall &call,
                                    const mesh::Account *&account) const -> std::optional<Refusal>;
    [[nodiscard]] auto admit(const mesh::Request &request, const ClientCall &call, Attempt &attempt)
        -> std::optional<Refusal>;
    [[nodiscard]] auto admitRoot(const mesh::Route &route, const mesh::Account &account, mesh::HopRequest &hop)
        -> std::optional<Refusal>;
    [[nodiscard]] auto returnTime(double admittedPart) -> Duration;
    [[nodiscard]] auto pickService(const mesh::Route &route) -> std::string;
    auto dispatch(std::uint64_t name) -> void;
    auto withdraw(const Attempt &attempt) -> void;
    auto replied(std::uint64_t name, mesh::HopReply reply) -> void;
    [[nodiscard]] auto mayRepeat(Attempt &attempt, const mesh::HopReply &reply) -> bool;
    auto giveUp(std::uint64_t name, std::string_view reason) -> void;
    auto timedOut(std::uint64_t name) -> void;
    auto finish(std::uint64_t name, mesh::Answer answer) -> void;
    auto logRefusal(const ClientCall &call, const mesh::Request &request, const Refusal &refusal) -> void;

    Context context_;
    std::string ownService_;
    Hooks hooks_;
    std::shared_ptr<const mesh::ConfigurationIndex> configuration_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::uint64_t lastName_{};
    std::mt19937_64 random_;
    std::map<std::string, std::map<std::string, double>> splitCredit_; /*!< By route, then by service. */
};

/**
 * @brief Makes an answer of the node's own.
 * @param status Status code.
 * @param retryAfter Time after which the caller may come back; zero for none.
 * @return The answer.
 */
[[nodiscard]] auto makeAnswer(unsigned status, Duration retryAfter) -> mesh::Answer;

} // namespace jasminelatch::sidecar

#endif
