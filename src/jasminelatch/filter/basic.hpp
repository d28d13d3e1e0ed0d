#ifndef JASMINELATCH_FILTER_BASIC_HPP
#define JASMINELATCH_FILTER_BASIC_HPP

#include "chain.hpp"

#include <jasminelatch/core/clock.hpp>

#include <functional>

namespace jasminelatch::filter {

/*! @brief Refuses bodies that passed the server's bound, and malformed paths. */
[[nodiscard]] auto sizeFilter() -> Filter;

/*! @brief Finds the request kind by method, service and path; the service is the first segment of the path. */
[[nodiscard]] auto routeFilter() -> Filter;

/**
 * @brief Sets the deadline: what the caller asks for, the kind's timeout, and for a nested call the caller's deadline.
 * @param clock Clock of the runtime.
 * @return The filter.
 */
[[nodiscard]] auto deadlineFilter(const Clock &clock) -> Filter;

} // namespace jasminelatch::filter

#endif
