#ifndef JASMINELATCH_CALL_EXECUTOR_HPP
#define JASMINELATCH_CALL_EXECUTOR_HPP

#include "message.hpp"

#include <jasminelatch/admission/controller.hpp>
#include <jasminelatch/connection/answer_cache.hpp>
#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/membership/endpoint.hpp>
#include <jasminelatch/net/http.hpp>
#include <jasminelatch/secret/fleet_secret.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminelatch::call {

/*! @brief What a backend server announces about itself. */
struct Announcement {
    std::string url; /*!< URL to call it at. */
    std::uint32_t slots{}; /*!< Requests it can run at once. */
    std::uint32_t connections{}; /*!< Connections it accepts. */
    membership::EndpointState state{membership::EndpointState::Ready}; /*!< Whether it takes new work. */
};

/*! @brief Call to the backend server beside this node. */
struct BackendCall {
    RequestId id; /*!< Id of the attempt. */
    std::string url; /*!< Whole URL. */
    std::string method; /*!< HTTP method. */
    net::Headers headers; /*!< Header fields with ticket, request id and remaining time. */
    std::string body; /*!< Whole body. */
    Duration timeout{}; /*!< Time left until the deadline. */
    bool freshConnection{}; /*!< Open connections are not trusted with it. */
};

/*! @brief How a call to the backend server ended. */
enum class BackendEnd : std::uint8_t {
    Answered, /*!< The response is there. */
    NotSent, /*!< Nothing was sent. */
    Lost, /*!< The connection broke; it may have run. */
    TimedOut /*!< No response before the deadline; it may have run. */
};

/*! @brief End of a call to the backend server. */
struct BackendResult {
    BackendEnd end{BackendEnd::Lost}; /*!< How it ended. */
    net::HttpResponse response; /*!< The response when answered. */
};

/**
 * @brief Runs attempts on the backend server beside this node, once each.
 */
class Executor
{
public:
    /*! @brief Actions of the executor; they may call it back at once. */
    struct Hooks {
        std::function<void(const BackendCall &)> callBackend; /*!< Begins a call. */
        std::function<void(const RequestId &)> cancelBackend; /*!< Ends a call early. */
        std::function<void(const NodeAddress &to, const Answer &)> reply; /*!< Answers a node, itself included. */
        std::function<void(const RequestId &)> ended; /*!< An attempt has ended: its nested calls are void. */
    };

    /**
     * @brief Creates an executor without a backend server.
     * @param self Address of this node.
     * @param admission Settings of admission.
     * @param secret Authenticates tickets; must outlive the executor.
     * @param cache Answers of this node; must outlive the executor.
     * @param clock Clock; must outlive the executor.
     * @param counters Counters; must outlive the executor.
     * @param hooks Actions.
     */
    Executor(NodeAddress self,
             admission::Settings admission,
             const secret::FleetSecret &secret,
             connection::AnswerCache &cache,
             const Clock &clock,
             Counters &counters,
             Hooks hooks);

    /**
     * @brief Takes in what the backend server announces; it must do so every second.
     * @param announcement The announcement.
     */
    auto announce(Announcement announcement) -> void;

    /**
     * @brief Takes in an attempt; exactly one answer follows unless it is cancelled.
     * @param from Node that asks.
     * @param attempt The attempt.
     */
    auto receive(const NodeAddress &from, const Attempt &attempt) -> void;

    /**
     * @brief Withdraws an attempt; an unknown one is ignored.
     * @param attempt Id of the attempt.
     */
    auto cancel(const RequestId &attempt) -> void;

    /**
     * @brief Takes in the end of a call to the backend server.
     * @param attempt Id of the attempt.
     * @param result How it ended.
     */
    auto backendAnswered(const RequestId &attempt, BackendResult result) -> void;

    /*! @brief Refuses all new attempts from now on. */
    auto leave() -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Tells whether an attempt is at the backend server.
     * @param attempt Id of the attempt.
     * @return True between its start and its end.
     */
    [[nodiscard]] auto isRunning(const RequestId &attempt) const -> bool;

    /**
     * @brief Returns the attempts that have no answer yet.
     * @return Number of attempts, waiting ones included.
     */
    [[nodiscard]] auto size() const noexcept -> std::size_t;

    /**
     * @brief Returns what the backend server announced last.
     * @return The announcement; nothing before the first one and when it fell silent.
     */
    [[nodiscard]] auto backend() const noexcept -> const std::optional<Announcement> &;

    /**
     * @brief Returns the admission controller.
     * @return The controller.
     */
    [[nodiscard]] auto admission() noexcept -> admission::Controller &;

private:
    struct Task {
        NodeAddress from;
        Attempt attempt;
        TimePoint deadline;
        std::optional<TimePoint> startedAt;
    };

    auto start(const RequestId &id) -> void;
    auto refuse(const RequestId &id, const Refusal &refusal) -> void;
    auto refuseNew(const NodeAddress &from, const RequestId &id, RefusalReason reason) -> void;
    auto finish(const RequestId &id, Answer answer) -> void;
    [[nodiscard]] auto toBackendCall(const Task &task) const -> BackendCall;
    [[nodiscard]] auto takesWork() const -> bool;

    NodeAddress self_;
    const secret::FleetSecret *secret_;
    connection::AnswerCache *cache_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    admission::Controller admission_;
    std::optional<Announcement> backend_;
    std::string backendUrl_; // Last known, also while the backend server is silent.
    TimePoint announcedAt_;
    bool leaving_{};
    std::unordered_map<RequestId, Task> tasks_;
};

} // namespace jasminelatch::call

#endif
