#ifndef JASMINELATCH_FILTER_FIELDS_HPP
#define JASMINELATCH_FILTER_FIELDS_HPP

#include <string_view>

namespace jasminelatch::filter {

/*! @brief Field with the key as a bearer token. */
inline constexpr std::string_view authorizationField = "Authorization";
/*! @brief Field with the bare key. */
inline constexpr std::string_view apiKeyField = "X-Api-Key";
/*! @brief Query argument with the bare key. */
inline constexpr std::string_view apiKeyArgument = "api_key";
/*! @brief Field with the ticket of a backend server's own call. */
inline constexpr std::string_view ticketField = "X-Jasminelatch-Ticket";
/*! @brief Field with the time that the caller waits, in milliseconds. */
inline constexpr std::string_view timeoutField = "X-Timeout-Ms";
/*! @brief Field that names an order, so that its repeats are known. */
inline constexpr std::string_view idempotencyField = "Idempotency-Key";
/*! @brief Field with the id of a request. */
inline constexpr std::string_view requestIdField = "X-Request-Id";
/*! @brief Field with what is known of a request that got no answer of its own. */
inline constexpr std::string_view outcomeField = "X-Outcome";
/*! @brief Field with the seconds after which to come back. */
inline constexpr std::string_view retryAfterField = "Retry-After";

} // namespace jasminelatch::filter

#endif
