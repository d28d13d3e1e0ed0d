#ifndef JASMINELATCH_MESH_HOP_HPP
#define JASMINELATCH_MESH_HOP_HPP

#include "crash_tracker.hpp"
#include "http.hpp"
#include "request_fingerprint.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Request from the node that received it to the node beside the selected instance.
 *
 * The first node receives the request from a client or from the instance beside it. The second node queues it until a
 * slot is free and sends it to the selected instance, which runs beside it on the same VM; the number of slots is how
 * many requests an instance runs at once. The route is the configured rule (`Route`) that the request matches by host
 * and path prefix.
 */
struct HopRequest {
    std::string attemptId; /*!< Id of the client's attempt. */
    std::string service; /*!< Service that runs the request. */
    std::string instanceId; /*!< Id of the selected instance. */
    std::string route; /*!< Name of the request's route; requests of one route cost about the same. */
    std::string caller; /*!< Service of the VM that sent the request. */
    std::string account; /*!< Client account; empty for routes without authentication. */
    Fingerprint fingerprint{}; /*!< Identifies the request across attempts; zero from earlier builds. */
    std::vector<CrashId> crashes; /*!< Crashes that ended earlier tries of this attempt. */
    std::uint32_t rank{}; /*!< Priority rank in queues; zero is the highest. */
    bool idempotent{}; /*!< Whether the request may run more than once. */
    TimePoint deadline; /*!< Time after which the caller no longer waits; sent as the time left. */
    Duration waitLimit{}; /*!< Longest time to wait for a slot. */
    Request request; /*!< HTTP request for the instance, without hop-by-hop header fields, the API key and the
                          fields for time left, caller, instance id and account. The node beside the selected instance
                          adds those four from this struct when it sends the request, so that a client cannot forge
                          them. */
};

/*! @brief Outcome of a request that was sent to a node. */
enum class HopOutcome : std::uint8_t {
    Answered, /*!< The instance has answered. */
    NotRun, /*!< The request has not run and never will. */
    Unknown /*!< The request may have run. */
};

/*! @brief Reason why a request has not run, or why its outcome is unknown. */
enum class HopReason : std::uint8_t {
    None, /*!< The request was answered. */
    WrongInstance, /*!< The instance is a different one or not known yet. */
    Leaving, /*!< The instance or its node is draining. */
    QueueFull, /*!< The request could not have started in time. */
    Expired, /*!< The time ran out while the request was waiting. */
    Rejected, /*!< The instance rejected the request. */
    Cancelled, /*!< The caller cancelled the request. */
    Unreachable, /*!< No connection to the node or the instance could be opened. */
    Lost, /*!< The connection broke after the request had been sent. */
    BadAnswer /*!< The response is malformed or incomplete. */
};

/*! @brief Load of an instance as measured by the node beside it. */
struct InstanceLoad {
    std::uint32_t running{}; /*!< Requests that are running. */
    std::uint32_t queued{}; /*!< Requests that are queued at the node. */
    std::uint32_t limit{}; /*!< Concurrency limit. */
    Duration runTime{}; /*!< Run time of the mean request of its service at this instance; zero before the first run. */
};

/*! @brief Reply of the node beside an instance to one request. */
struct HopReply {
    HopOutcome outcome{HopOutcome::Unknown}; /*!< Whether the request ran. */
    HopReason reason{HopReason::None}; /*!< Reason for an outcome other than `Answered`. */
    bool reached{}; /*!< Whether the request was sent to an instance. */
    Duration retryAfter{}; /*!< Time until capacity is expected, for a request that has not run. */
    InstanceLoad load; /*!< Load when the reply was sent; a limit of zero means unknown. */
    Answer answer; /*!< Response of the instance. */
    CrashId crash{}; /*!< Crash of the instance that ended the request; zero for none. */
};

/**
 * @brief Returns the name of a reason in logs and counters.
 * @param reason Reason of a reply.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toText(HopReason reason) -> std::string_view;

} // namespace jasminelatch::mesh

#endif
