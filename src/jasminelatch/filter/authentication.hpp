#ifndef JASMINELATCH_FILTER_AUTHENTICATION_HPP
#define JASMINELATCH_FILTER_AUTHENTICATION_HPP

#include "chain.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/secret/fleet_secret.hpp>

#include <functional>

namespace jasminelatch::filter {

/*! @brief What authentication needs to know. */
struct AuthenticationSettings {
    NodeAddress self; /*!< Node whose tickets count. */
    const secret::FleetSecret *secret{}; /*!< Authenticates tickets; outlives the filter. */
    const Clock *clock{}; /*!< Clock of the runtime; outlives the filter. */
    std::function<bool()> fresh; /*!< Tells whether the configuration is known to be the newest. */
    std::function<bool(const RequestId &)> isRunning; /*!< Tells whether an attempt is running beside this node. */
};

/**
 * @brief Finds the client account by key or ticket, and takes the key out of the request wherever it stood.
 *
 * A key counts only at the callers' door, a ticket only at the backend server's.
 * @param settings What it needs to know.
 * @return The filter.
 */
[[nodiscard]] auto authenticationFilter(AuthenticationSettings settings) -> Filter;

} // namespace jasminelatch::filter

#endif
