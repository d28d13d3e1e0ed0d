#ifndef JASMINELATCH_MESH_RETRY_POLICY_HPP
#define JASMINELATCH_MESH_RETRY_POLICY_HPP

#include "hop.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace jasminelatch::mesh {

/*! @brief Progress of a request that one or more nodes have not answered. */
struct DispatchProgress {
    std::size_t nodesTried{}; /*!< Nodes that it was sent to. */
    std::uint32_t instancesReached{}; /*!< Instances that received it. */
    std::uint32_t maxAttempts{1}; /*!< Maximum number of instances that may receive it. */
    bool isIdempotent{}; /*!< Whether it may run more than once. */
};

/*! @brief Whether a request may be sent to another instance. */
enum class RetryPermission : std::uint8_t {
    Denied, /*!< It may not. */
    Free, /*!< It may; no instance has received it, so it is no retry. */
    FromBudget /*!< It may if the retry budget of its service allows it. */
};

/**
 * @brief Decides whether a request without an answer may be sent to another instance.
 *
 * Load pattern: instances reject or lose requests. A request that may have run is repeated only if it is idempotent.
 * @param progress Progress of the request, the last reply included.
 * @param reply Last reply.
 * @return The permission; the caller checks the deadline.
 */
[[nodiscard]] auto retryPermission(const DispatchProgress &progress, const HopReply &reply) -> RetryPermission;

/**
 * @brief Returns the `Retry-After` of a client request that admission refuses.
 *
 * It grows with the fraction that is refused; the jitter keeps requests refused together from retrying together.
 * @param admittedFraction Admitted fraction of its kind, between zero and one.
 * @param jitter Random factor around one.
 * @return Time to wait, at least `minRetryAfter`.
 */
[[nodiscard]] auto overloadRetryAfter(double admittedFraction, double jitter) -> Duration;

/*! @brief Lower bound of `Retry-After`. */
constexpr Duration minRetryAfter = std::chrono::milliseconds{300};

} // namespace jasminelatch::mesh

#endif
