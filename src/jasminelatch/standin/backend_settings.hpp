#ifndef JASMINELATCH_STANDIN_BACKEND_SETTINGS_HPP
#define JASMINELATCH_STANDIN_BACKEND_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::standin {

/*! @brief Call that a backend server makes through its node while it runs a request. */
struct NestedCall {
    std::string method{"GET"}; /*!< HTTP method. */
    std::string path; /*!< Service and path, as in `/inventory/stock`. */
};

/*! @brief What a backend server does on one route. */
struct Route {
    std::string path; /*!< Path prefix. */
    Duration work{}; /*!< Time of its own work. */
    std::vector<NestedCall> calls; /*!< Calls made one after the other, after the work. */
};

/*! @brief Settings of a backend server's stand-in. */
struct BackendSettings {
    std::uint16_t port{}; /*!< TCP port on the loopback address. */
    std::string service; /*!< Name of its service. */
    std::string node; /*!< URL of its node's local port. */
    std::uint32_t slots{1}; /*!< Requests that it runs at once; others wait. */
    std::uint32_t connections{1}; /*!< Connections that it accepts. */
    std::uint32_t queue{}; /*!< Requests that may wait before it sheds. */
    Duration coldStart{}; /*!< Time during which it is slow after its start. */
    std::size_t answerBytes{}; /*!< Size of the filling of each answer. */
    std::vector<Route> routes; /*!< What it does. */
};

/**
 * @brief Reads settings from JSON with comments.
 * @param text The text.
 * @param file File name for findings.
 * @param findings Receives everything that is wrong.
 * @return The settings, or nothing when there were findings.
 */
[[nodiscard]] auto parseBackendSettings(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<BackendSettings>;

} // namespace jasminelatch::standin

#endif
