#ifndef JASMINELATCH_PROBE_PAIRED_SAMPLES_HPP
#define JASMINELATCH_PROBE_PAIRED_SAMPLES_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace jasminelatch::probe {

/*! @brief Latencies of one target. */
struct Summary {
    std::size_t samples{}; /*!< Answers that count. */
    Duration median{}; /*!< Latency that half of them stay within, in microseconds. */
    Duration percentile99{}; /*!< Latency that 99 in 100 stay within, in microseconds. */
    Duration addedMedian{}; /*!< Median of the differences from the first target within a round. */
    Duration added99{}; /*!< Difference from the first target that 99 in 100 rounds stay within. */
};

/**
 * @brief Latencies of several targets that were called in turn within each round.
 */
class PairedSamples
{
public:
    /**
     * @brief Makes an empty set.
     * @param targets Number of targets, at least one; the first is the one that others are compared with.
     */
    explicit PairedSamples(std::size_t targets);

    /**
     * @brief Adds a round.
     * @param latencies One a target, in microseconds; nothing where the call failed. Others must match in number.
     */
    auto add(std::span<const std::optional<Duration>> latencies) -> void;

    /**
     * @brief Sums up one target.
     * @param target Index of the target.
     * @return Zeroes when no call was answered.
     */
    [[nodiscard]] auto summary(std::size_t target) const -> Summary;

    /**
     * @brief Counts the calls that failed.
     * @param target Index of the target.
     * @return Number of rounds without a latency of it.
     */
    [[nodiscard]] auto failures(std::size_t target) const -> std::size_t;

private:
    std::vector<std::vector<std::optional<Duration>>> latencies_; // By target, then by round.
};

/**
 * @brief Returns the value that a share of the values stays within.
 * @param values The values, in any order.
 * @param share Between zero and one.
 * @return The smallest such value; zero when there are none.
 */
[[nodiscard]] auto percentile(std::vector<Duration> values, double share) -> Duration;

} // namespace jasminelatch::probe

#endif
