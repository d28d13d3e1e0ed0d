#ifndef JASMINELATCH_SIDECAR_ROUTE_EXPLANATION_HPP
#define JASMINELATCH_SIDECAR_ROUTE_EXPLANATION_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>
#include <jasminelatch/mesh/usage_caps.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/*! @brief Request whose way through a node is to be explained. */
struct ExplainedRequest {
    std::string host; /*!< Value of the `Host` field. */
    std::string target; /*!< Path, with or without a query. */
    std::string account; /*!< Client account; empty for a call of an instance or a route that needs no key. */
    std::optional<Duration> timeLeft; /*!< Time until the caller's deadline; nothing if it states none. */
};

/*! @brief What a node believes at the moment; refers to its parts. */
struct ExplanationContext {
    const mesh::ConfigurationIndex *configuration{}; /*!< Configuration in force; null before the first. */
    bool isConfigurationFresh{}; /*!< Whether the store has confirmed it recently. */
    std::string_view ownDomain; /*!< Failure domain of the node. */
    const mesh::Placement &placement; /*!< Instances that requests are sent to. */
    const mesh::UsageCaps &caps; /*!< Rate caps of accounts. */
    const mesh::TreeAdmission &admission; /*!< Admitted fraction of each kind of request. */
};

/**
 * @brief Decodes a request to be explained.
 * @param text JSON object with `host` and `target`, and optionally `account` and `time_left_ms`.
 * @param error Receives the error message on failure.
 * @return The request, or nothing on failure.
 */
[[nodiscard]] auto parseExplainedRequest(std::string_view text, std::string &error) -> std::optional<ExplainedRequest>;

/**
 * @brief Explains where a request would go now, without sending it or changing what the node believes.
 *
 * A real request may go elsewhere: instances that cost nearly the same are chosen between at random, a small fraction
 * goes to any instance, and requests that may crash instances follow rules of their own.
 * @param request Request to explain.
 * @param context State of the node.
 * @param now Current time.
 * @return Route, account, admission and the candidates of each service, the cheapest first; `outcome` is `sent`,
 * `partly refused` or `refused`, with a `reason` unless it is sent.
 */
[[nodiscard]] auto explainRequest(const ExplainedRequest &request, const ExplanationContext &context, TimePoint now)
    -> nlohmann::json;

} // namespace jasminelatch::sidecar

#endif
