#ifndef JASMINELATCH_CORE_COUNTERS_HPP
#define JASMINELATCH_CORE_COUNTERS_HPP

#include "clock.hpp"
#include "latency_histogram.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jasminelatch {

/**
 * @brief Named event counters and latency histograms of one node.
 *
 * A name consists of a component, a dot and lower-case words joined by underscores: `lease.taken_over`.
 */
class Counters
{
public:
    /**
     * @brief Increments a counter, which is created at zero on first use.
     * @param name Name of the counter.
     * @param amount Number of events to add.
     */
    auto add(std::string_view name, std::uint64_t amount = 1) -> void;

    /**
     * @brief Returns the cumulative count of a counter.
     * @param name Name of the counter.
     * @return Number of events so far; zero for an unknown name.
     */
    [[nodiscard]] auto value(std::string_view name) const -> std::uint64_t;

    /**
     * @brief Returns all counters.
     * @return Cumulative counts, ordered by name.
     */
    [[nodiscard]] auto all() const noexcept -> const std::map<std::string, std::uint64_t, std::less<>> &;

    /**
     * @brief Adds a sample to a latency histogram, which is created on first use.
     * @param name Name of the histogram.
     * @param time Measured duration.
     */
    auto observe(std::string_view name, Duration time) -> void;

    /**
     * @brief Returns all latency histograms.
     * @return Histograms, ordered by name.
     */
    [[nodiscard]] auto latencies() const noexcept -> const std::map<std::string, LatencyHistogram, std::less<>> &;

private:
    std::map<std::string, std::uint64_t, std::less<>> values_;
    std::map<std::string, LatencyHistogram, std::less<>> latencies_;
};

} // namespace jasminelatch

#endif
