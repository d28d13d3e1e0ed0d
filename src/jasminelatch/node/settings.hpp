#ifndef JASMINELATCH_NODE_SETTINGS_HPP
#define JASMINELATCH_NODE_SETTINGS_HPP

#include <jasminelatch/admission/settings.hpp>
#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/quota/settings.hpp>
#include <jasminelatch/retry/settings.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::node {

/*! @brief Settings of one node. */
struct Settings {
    NodeAddress address; /*!< Address that other nodes know it by, as host:port. */
    std::string listen; /*!< Address to listen on for other nodes; empty for the same. */
    FailureDomain domain; /*!< Failure domain of the VM. */
    ServiceName service; /*!< Service of the backend server beside it. */
    std::string store; /*!< URL of the platform's key-value store. */
    std::string fleetSecret; /*!< Secret that all nodes share. */
    std::string host{"127.0.0.1"}; /*!< IP address of the callers' and the operators' port. */
    std::uint16_t callerPort{}; /*!< Port for callers. */
    std::uint16_t localPort{}; /*!< Port on the loopback address for the backend server. */
    std::uint16_t operatorPort{}; /*!< Port for operators. */
    std::size_t maxBody{std::size_t{1} << 20U}; /*!< Largest request body in bytes. */
    std::uint32_t maxConnections{1000}; /*!< Open connections of callers at once. */
    admission::Mode admission{admission::Mode::Adaptive}; /*!< How work is admitted. */
    quota::Mode quota{quota::Mode::Escrow}; /*!< How account rates are enforced. */
    retry::Mode retry{retry::Mode::Ledger}; /*!< How retries are bounded. */
    std::uint32_t staticNodes{1}; /*!< Number of nodes, for `quota::Mode::StaticSplit` only. */
};

/**
 * @brief Reads the settings of a node from JSON with comments.
 * @param text The text.
 * @param file File name for findings.
 * @param findings Receives everything that is wrong.
 * @return The settings, or nothing when there were findings.
 */
[[nodiscard]] auto parseSettings(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<Settings>;

} // namespace jasminelatch::node

#endif
