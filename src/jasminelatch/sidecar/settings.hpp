#ifndef JASMINELATCH_SIDECAR_SETTINGS_HPP
#define JASMINELATCH_SIDECAR_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/event/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/*! @brief Settings of a node on the platform. */
struct Settings {
    std::string name; /*!< Name of the VM. */
    std::string domain; /*!< Failure domain. */
    std::string service; /*!< Service of the local instance. */
    event::Endpoint instance; /*!< Address of the local instance. */
    event::Endpoint callers; /*!< Address on which callers on this VM are served. */
    event::Endpoint ready; /*!< Address on which readiness is asked for. */
    event::Endpoint reports; /*!< Address on which the local instance reports. */
    event::Endpoint peers; /*!< Address on which other nodes are served. */
    event::Endpoint metrics; /*!< Address on which counters are served. */
    event::Endpoint store; /*!< Address of the store. */
    Duration grace{}; /*!< Time between the signal to stop and the end by force. */
    Duration revocation{}; /*!< Time after which a withdrawn key must not work. */
    double retryRatio{}; /*!< Repeats of the fleet per request. */
    double retrySlack{}; /*!< Repeats of the fleet in a window beyond the ratio. */
    Duration retryWindow{}; /*!< Window in which repeats are counted. */
    double capOverFraction{}; /*!< Part of rate and burst by which all nodes together may exceed an account's cap. */
    Duration capWindow{}; /*!< Window in which requests beyond a cap are counted. */
    double capExcessRequests{}; /*!< Requests by which all nodes together may exceed it in a window besides. */
    std::size_t memoryBytes{}; /*!< Memory that the node may take. */
};

/**
 * @brief Reads settings from JSON with comments.
 * @param text The text.
 * @param file File name for findings.
 * @param findings Receives every fault.
 * @return The settings, or nothing when there are findings.
 */
[[nodiscard]] auto parseSettings(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<Settings>;

} // namespace jasminelatch::sidecar

#endif
