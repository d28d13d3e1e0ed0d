#ifndef JASMINELATCH_RETRY_REASON_HPP
#define JASMINELATCH_RETRY_REASON_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>

namespace jasminelatch::retry {

/*! @brief Why a retry is wanted; each has a counter of its own. */
enum class Reason : std::uint8_t {
    BackendFailed, /*!< The backend server answered with an error. */
    BackendLost, /*!< The connection to the backend server was lost. */
    ShedNotRun, /*!< The instance shed the request before it ran. */
    LeavingNotRun, /*!< The instance is leaving and did not run the request. */
    NodeLost, /*!< The node beside the instance went silent. */
    TimedOut /*!< No answer within the time set aside for the attempt. */
};

/*! @brief How an ask for a retry ended; each refusal has a counter of its own. */
enum class Verdict : std::uint8_t {
    Granted, /*!< One retry may be made. */
    Limit, /*!< The client request has used up its retries. */
    ServiceShare, /*!< The service is being retried too much by this node. */
    NoAnswer, /*!< The ledger did not answer in time. */
    UnknownRequest, /*!< The ledger does not know the client request. */
    Closed /*!< The client request is over. */
};

NLOHMANN_JSON_SERIALIZE_ENUM(Reason,
                             {{Reason::BackendFailed, "backend_failed"},
                              {Reason::BackendLost, "backend_lost"},
                              {Reason::ShedNotRun, "shed_not_run"},
                              {Reason::LeavingNotRun, "leaving_not_run"},
                              {Reason::NodeLost, "node_lost"},
                              {Reason::TimedOut, "timed_out"}})

NLOHMANN_JSON_SERIALIZE_ENUM(Verdict,
                             {{Verdict::NoAnswer, "no_answer"},
                              {Verdict::Granted, "granted"},
                              {Verdict::Limit, "limit"},
                              {Verdict::ServiceShare, "service_share"},
                              {Verdict::UnknownRequest, "unknown_request"},
                              {Verdict::Closed, "closed"}})

/**
 * @brief Returns the name of a reason as used in counters.
 * @param reason The reason.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toString(Reason reason) noexcept -> std::string_view;

/**
 * @brief Returns the name of a verdict as used in counters.
 * @param verdict The verdict.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toString(Verdict verdict) noexcept -> std::string_view;

} // namespace jasminelatch::retry

#endif
