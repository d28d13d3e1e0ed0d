#ifndef JASMINELATCH_CORE_REFUSAL_HPP
#define JASMINELATCH_CORE_REFUSAL_HPP

#include "clock.hpp"

#include <cstdint>
#include <string_view>

namespace jasminelatch {

/*! @brief Whether a request without a regular answer was executed. */
enum class Outcome : std::uint8_t {
    NotRun, /*!< No backend server has executed it, and none will. */
    Ran, /*!< A backend server has executed it. */
    Unknown /*!< It may or may not have been executed. */
};

/*! @brief Reason for rejecting a request; each reason has its own counter. */
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

/*! @brief Number of enumerators of `RefusalReason`. */
inline constexpr auto refusalReasonCount = static_cast<std::size_t>(RefusalReason::Internal) + 1;

/*! @brief Error answer to a request that is rejected or has failed. */
struct Refusal {
    RefusalReason reason{RefusalReason::Internal}; /*!< Cause, which also determines the HTTP status. */
    Outcome outcome{Outcome::NotRun}; /*!< Whether the request was executed. */
    Duration retryAfter{}; /*!< Delay before a retry, in microseconds; zero when a retry cannot succeed. */
};

/**
 * @brief Returns the name of a reason in answers and counters.
 * @param reason Reason to name.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toString(RefusalReason reason) noexcept -> std::string_view;

/**
 * @brief Returns the name of an outcome in answers.
 * @param outcome Outcome to name.
 * @return `not_run`, `ran` or `unknown`.
 */
[[nodiscard]] auto toString(Outcome outcome) noexcept -> std::string_view;

/**
 * @brief Returns the HTTP status of answers with a reason.
 * @param reason Reason to map.
 * @return Status code from 400 to 599.
 */
[[nodiscard]] auto httpStatus(RefusalReason reason) noexcept -> int;

} // namespace jasminelatch

#endif
