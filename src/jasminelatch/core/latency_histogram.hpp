#ifndef JASMINELATCH_CORE_LATENCY_HISTOGRAM_HPP
#define JASMINELATCH_CORE_LATENCY_HISTOGRAM_HPP

#include "clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminelatch {

/**
 * @brief Counts how long something took, in buckets from 1 ms to 10 s.
 */
class LatencyHistogram
{
public:
    /*! @brief Number of times that something took no longer than a bound. */
    struct Bucket {
        double seconds{}; /*!< The bound. */
        std::uint64_t count{}; /*!< The number. */
    };

    /**
     * @brief Counts once.
     * @param time How long it took.
     */
    auto add(Duration time) -> void;

    /*! @brief Returns the bounds in order, each with the times up to it. */
    [[nodiscard]] auto buckets() const -> std::vector<Bucket>;

    /*! @brief Returns the number of times. */
    [[nodiscard]] auto count() const noexcept -> std::uint64_t;

    /*! @brief Returns the sum of all times. */
    [[nodiscard]] auto sum() const noexcept -> Duration;

private:
    static constexpr std::size_t bucketCount = 14; /*!< The last one has no bound. */

    std::array<std::uint64_t, bucketCount> counts_{};
    std::uint64_t count_{};
    Duration sum_{};
};

} // namespace jasminelatch

#endif
