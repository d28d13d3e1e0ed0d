#ifndef JASMINELATCH_MESH_EWMA_HPP
#define JASMINELATCH_MESH_EWMA_HPP

#include <jasminelatch/core/clock.hpp>

#include <chrono>
#include <cmath>

namespace jasminelatch::mesh {

/*! @brief Time taken to lie between two reports that come at once. */
inline constexpr Duration minElapsed = std::chrono::milliseconds{1};

/**
 * @brief Returns the weight of the newest value in a mean over timeConstant, so that reports may follow at any
 * interval.
 * @param elapsed Time for which the newest value stands.
 * @param timeConstant Time over which the mean is taken.
 * @return Between zero and one.
 */
[[nodiscard]] inline auto ewmaWeight(const Duration elapsed, const Duration timeConstant) -> double
{
    return 1.0 - std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(timeConstant));
}

} // namespace jasminelatch::mesh

#endif
