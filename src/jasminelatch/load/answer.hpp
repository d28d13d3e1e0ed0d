#ifndef JASMINELATCH_LOAD_ANSWER_HPP
#define JASMINELATCH_LOAD_ANSWER_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/net/http_client.hpp>

#include <string>
#include <string_view>

namespace jasminelatch::load {

/**
 * @brief Checks that an answer is whole and belongs to the request.
 * @param response The response.
 * @param path Path below the service, which the answer repeats.
 * @param body Body of the request, which the answer repeats.
 * @return True for a whole answer to this very request.
 */
[[nodiscard]] auto isWhole(const net::HttpResponse &response, std::string_view path, std::string_view body) -> bool;

/**
 * @brief Names what went wrong with an attempt.
 * @param result How the attempt ended.
 * @return The reason of the refusal, `status_N`, or how the call ended.
 */
[[nodiscard]] auto failureReason(const net::HttpResult &result) -> std::string;

/**
 * @brief Reads how long a refusal asks the caller to wait.
 * @param response The response.
 * @return The wait; zero when coming back is useless.
 */
[[nodiscard]] auto retryAfter(const net::HttpResponse &response) -> Duration;

} // namespace jasminelatch::load

#endif
