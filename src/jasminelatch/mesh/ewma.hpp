#ifndef JASMINELATCH_MESH_EWMA_HPP
#define JASMINELATCH_MESH_EWMA_HPP

#include <jasminelatch/core/clock.hpp>

#include <chrono>
#include <cmath>

namespace jasminelatch::mesh {

/*! @brief Lower bound of the time between two reports, for reports that arrive together. */
inline constexpr Duration minElapsed = std::chrono::milliseconds{1};

/**
 * @brief Returns the weight of the newest value in an exponentially weighted moving average with irregular intervals.
 * @param elapsed Time that the newest value covers.
 * @param timeConstant Time constant of the average.
 * @return Between zero and one.
 */
[[nodiscard]] inline auto ewmaWeight(const Duration elapsed, const Duration timeConstant) -> double
{
    return 1.0 - std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(timeConstant));
}

} // namespace jasminelatch::mesh

#endif
