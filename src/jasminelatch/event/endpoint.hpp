#ifndef JASMINELATCH_EVENT_ENDPOINT_HPP
#define JASMINELATCH_EVENT_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::event {

/*! @brief IPv4 address and TCP port. */
struct Endpoint {
    std::string ip; /*!< IPv4 address in dotted form. */
    std::uint16_t port{}; /*!< TCP port. */

    auto operator<=>(const Endpoint &) const = default;
};

/**
 * @brief Parses `ip:port`; host names are not resolved.
 * @param text IPv4 address in dotted form, colon and port.
 * @return The endpoint, or nothing when the text is malformed.
 */
[[nodiscard]] auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

/**
 * @brief Formats an endpoint, the inverse of `parseEndpoint`.
 * @param endpoint Endpoint to format.
 * @return `ip:port`.
 */
[[nodiscard]] auto toText(const Endpoint &endpoint) -> std::string;

} // namespace jasminelatch::event

#endif
