#ifndef JASMINELATCH_CORE_LATENCY_HISTOGRAM_HPP
#define JASMINELATCH_CORE_LATENCY_HISTOGRAM_HPP

#include "clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminelatch {

/**
 * @brief Histogram of durations with fixed bucket bounds from 1 ms to 10 s.
 */
class LatencyHistogram
{
public:
    /*! @brief Cumulative bucket: number of samples up to an upper bound. */
    struct Bucket {
        double seconds{}; /*!< Upper bound in seconds. */
        std::uint64_t count{}; /*!< Number of samples up to the bound. */
    };

    /**
     * @brief Adds a sample.
     * @param time Measured duration; a negative one counts in the first bucket.
     */
    auto add(Duration time) -> void;

    /*! @brief Returns the cumulative buckets in ascending order of their bounds, without the overflow bucket. */
    [[nodiscard]] auto buckets() const -> std::vector<Bucket>;

    /*! @brief Returns the number of samples, including those in the overflow bucket. */
    [[nodiscard]] auto count() const noexcept -> std::uint64_t;

    /*! @brief Returns the sum of all samples. */
    [[nodiscard]] auto sum() const noexcept -> Duration;

private:
    static constexpr std::size_t bucketCount = 14; /*!< The last one is the overflow bucket. */

    std::array<std::uint64_t, bucketCount> counts_{};
    std::uint64_t count_{};
    Duration sum_{};
};

} // namespace jasminelatch

#endif
