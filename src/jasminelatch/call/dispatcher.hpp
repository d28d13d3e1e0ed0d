#ifndef JASMINELATCH_CALL_DISPATCHER_HPP
#define JASMINELATCH_CALL_DISPATCHER_HPP

#include "message.hpp"

#include <jasminelatch/balance/picker.hpp>
#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/net/http.hpp>
#include <jasminelatch/retry/asker.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasminelatch::call {

/*! @brief Request that passed all filters and is to be run somewhere. */
struct Job {
    RequestId id; /*!< Id of the exchange. */
    Attempt attempt; /*!< What to send; `id` and `remaining` are set for each attempt. */
    TimePoint deadline; /*!< When its answer becomes worthless. */
};

/*! @brief End of a job. */
struct JobResult {
    std::optional<Refusal> refusal; /*!< Set when there is no response. */
    net::HttpResponse response; /*!< Response of a backend server. */
};

/**
 * @brief Sends requests to instances and decides on retries.
 *
 * A request that is not idempotent is sent again only after an answer that says it did not run.
 */
class Dispatcher
{
public:
    /*! @brief Actions of the dispatcher; they may call it back at once. */
    struct Hooks {
        std::function<RequestId()> newAttemptId; /*!< Draws an id, unique over all nodes and restarts. */
        std::function<void(const NodeAddress &to, const Attempt &)> send; /*!< Sends to a node, itself included. */
        std::function<void(const NodeAddress &to, const RequestId &attempt)> cancel; /*!< Withdraws an attempt. */
        std::function<void(const RequestId &job, JobResult)> done; /*!< A job has ended; called once for each. */
        /*! Takes in the load report on an answer. */
        std::function<void(const Attempt &, const NodeAddress &, const admission::Pressure &)> pressure;
    };

    /**
     * @brief Creates a dispatcher without jobs.
     * @param clock Clock; must outlive the dispatcher.
     * @param counters Counters; must outlive the dispatcher.
     * @param picker Chooses instances; must outlive the dispatcher.
     * @param asker Asks for retries; must outlive the dispatcher.
     * @param hooks Actions.
     */
    Dispatcher(const Clock &clock, Counters &counters, balance::Picker &picker, retry::Asker &asker, Hooks hooks);

    /**
     * @brief Begins a job.
     * @param job The job; its id must not be known.
     */
    auto dispatch(Job job) -> void;

    /**
     * @brief Takes in an answer; one that belongs to no attempt is ignored.
     * @param from Node that answered.
     * @param answer The answer.
     */
    auto receive(const NodeAddress &from, const Answer &answer) -> void;

    /**
     * @brief Tells that no answer to an attempt will come.
     * @param attempt The attempt.
     * @param outcome What is known of it.
     */
    auto lost(const RequestId &attempt, Outcome outcome) -> void;

    /**
     * @brief Tells that the connection to a node broke or went silent: idempotent jobs there are tried elsewhere.
     * @param node The node.
     * @return Attempts that are no longer waited for.
     */
    auto peerSilent(const NodeAddress &node) -> std::vector<RequestId>;

    /**
     * @brief Ends a job without a result: its caller is gone.
     * @param job Id of the job; an unknown id is ignored.
     */
    auto cancel(const RequestId &job) -> void;

    /*! @brief Ends jobs past their deadline; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Returns the jobs under way.
     * @return Number of jobs.
     */
    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    struct Running {
        Job job;
        std::vector<NodeAddress> tried;
        std::optional<RequestId> attempt;
        NodeAddress node;
        std::uint32_t retries{};
        bool mayHaveRun{};
    };

    auto attemptOn(Running &running, const NodeAddress &node) -> void;
    auto attemptSomewhere(RequestId job) -> void;
    auto takeAttempt(const RequestId &attempt) -> Running *;
    auto onFailure(Running &running, retry::Reason reason, JobResult result, Outcome outcome) -> void;
    auto finish(RequestId job, JobResult result) -> void;
    auto expire(Running &running) -> void;

    const Clock *clock_;
    Counters *counters_;
    balance::Picker *picker_;
    retry::Asker *asker_;
    Hooks hooks_;
    std::unordered_map<RequestId, Running> running_;
    std::unordered_map<RequestId, RequestId> jobOfAttempt_;
};

} // namespace jasminelatch::call

#endif
