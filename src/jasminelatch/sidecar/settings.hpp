#ifndef JASMINELATCH_SIDECAR_SETTINGS_HPP
#define JASMINELATCH_SIDECAR_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/mesh/capacity_estimator.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/*! @brief Validated contents of a sidecar node's settings file. */
struct Settings {
    std::string name; /*!< Name of the VM. */
    std::string domain; /*!< Failure domain of the VM. */
    std::string service; /*!< Service that the local instance provides. */
    event::Endpoint instance; /*!< Address of the local instance. */
    event::Endpoint callers; /*!< Address of the HTTP entry for callers on this VM. */
    event::Endpoint ready; /*!< Address of the readiness endpoint. */
    event::Endpoint reports; /*!< Address that receives the local instance's state reports. */
    event::Endpoint peers; /*!< Address on which other nodes connect. */
    event::Endpoint metrics; /*!< Address of the metrics endpoint. */
    event::Endpoint store; /*!< Address of the store. */
    Duration grace{}; /*!< Time from the stop signal until the process is killed. */
    Duration revocation{}; /*!< Time within which a withdrawn API key must stop working. */
    double retryRatio{}; /*!< Retries per request that the whole fleet may make. */
    double retrySlack{}; /*!< Retries per window that the whole fleet may make beyond the ratio. */
    Duration retryWindow{}; /*!< Window over which retries are counted. */
    double
        capOverFraction{}; /*!< Fraction of rate and burst by which all nodes together may exceed an account's cap. */
    Duration capWindow{}; /*!< Window over which requests beyond a cap are counted. */
    double capExcessRequests{}; /*!< Requests per window by which all nodes together may exceed the cap in addition. */
    std::size_t memoryBytes{}; /*!< Memory limit of the node in bytes. */
    double coldOverFactor{1.0}; /*!< Requests per second that a cold instance may get, relative to its rate. */
    double coldSlackRequests{}; /*!< Requests in one second that it may get in addition. */
    mesh::LearnConcurrency learnConcurrency{
        mesh::LearnConcurrency::Stated}; /*!< When the concurrency limit of the instance is learned. */
};

/**
 * @brief Parses and validates settings from JSON with comments.
 * @param text Contents of the settings file.
 * @param file File name that findings refer to.
 * @param findings Receives one entry per error.
 * @return The settings, or nothing if any error was found.
 */
[[nodiscard]] auto parseSettings(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<Settings>;

} // namespace jasminelatch::sidecar

#endif
