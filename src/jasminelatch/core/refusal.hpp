#ifndef JASMINELATCH_CORE_REFUSAL_HPP
#define JASMINELATCH_CORE_REFUSAL_HPP

#include "clock.hpp"

#include <cstdint>
#include <string_view>

namespace jasminelatch {

/*! @brief What is known about a request that got no answer of its own. */
enum class Outcome : std::uint8_t {
    NotRun, /*!< No backend server ran it, and none will. */
    Ran, /*!< A backend server ran it. */
    Unknown /*!< It may have run. */
};

/*! @brief Reason for a refusal; each has a counter of its own. */
enum class RefusalReason : std::uint8_t {
    MalformedRequest,
    BodyTooLarge,
    UnknownRoute,
    MissingKey,
    UnknownKey,
    WithdrawnKey,
    InvalidTicket,
    DepthExceeded,
    DeadlineExpired,
    DeadlineTooShort,
    IdempotencyKeyMissing,
    OrderInProgress,
    OrderConflict,
    OrderHolderUnavailable,
    OutcomeUnknown,
    AccountRate,
    QuotaUnavailable,
    Shed,
    QueueFull,
    NoBackend,
    BackendFailed,
    BackendLost,
    RetriesExhausted,
    Cancelled,
    Leaving,
    ConfigurationStale,
    Internal
};

/*! @brief Number of refusal reasons. */
inline constexpr auto refusalReasonCount = static_cast<std::size_t>(RefusalReason::Internal) + 1;

/*! @brief Answer to a request that the system gives up on. */
struct Refusal {
    RefusalReason reason{RefusalReason::Internal}; /*!< Why. */
    Outcome outcome{Outcome::NotRun}; /*!< Whether it ran. */
    Duration retryAfter{}; /*!< When to come back, in microseconds; zero when coming back is useless. */
};

/**
 * @brief Returns the name of a reason as used in answers and counters.
 * @param reason The reason.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toString(RefusalReason reason) noexcept -> std::string_view;

/**
 * @brief Returns the name of an outcome as used in answers.
 * @param outcome The outcome.
 * @return `not_run`, `ran` or `unknown`.
 */
[[nodiscard]] auto toString(Outcome outcome) noexcept -> std::string_view;

/**
 * @brief Returns the HTTP status that goes with a reason.
 * @param reason The reason.
 * @return Status code from 400 to 599.
 */
[[nodiscard]] auto httpStatus(RefusalReason reason) noexcept -> int;

} // namespace jasminelatch

#endif
