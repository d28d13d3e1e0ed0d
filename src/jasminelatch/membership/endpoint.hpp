#ifndef JASMINELATCH_MEMBERSHIP_ENDPOINT_HPP
#define JASMINELATCH_MEMBERSHIP_ENDPOINT_HPP

#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>

namespace jasminelatch::membership {

/*! @brief Whether a backend server takes new work. */
enum class EndpointState : std::uint8_t {
    Starting, /*!< Cold: announced, takes a growing share of work. */
    Ready, /*!< Takes work. */
    Draining /*!< Takes no new work. */
};

/*! @brief One backend server and the node beside it. */
struct Endpoint {
    NodeAddress node; /*!< Address of the node beside it, for other nodes. */
    ServiceName service; /*!< Service it belongs to. */
    FailureDomain domain; /*!< Failure domain of its VM. */
    std::uint32_t slots{}; /*!< Requests it says it can run at once. */
    std::uint32_t connections{}; /*!< Connections it accepts. */
    EndpointState state{EndpointState::Ready}; /*!< Whether it takes new work. */

    auto operator==(const Endpoint &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, node, service, domain, slots, connections, state)

} // namespace jasminelatch::membership

#endif
