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
 * @brief Named event counters and latencies of one node.
 *
 * Names are lower-case words joined by underscores, with the part in front and a dot between: `lease.taken_over`.
 */
class Counters
{
public:
    /**
     * @brief Adds to a counter; an unknown name starts at zero.
     * @param name Name of the counter.
     * @param amount Number of events.
     */
    auto add(std::string_view name, std::uint64_t amount = 1) -> void;

    /**
     * @brief Returns the value of a counter.
     * @param name Name of the counter.
     * @return Number of events so far; zero for an unknown name.
     */
    [[nodiscard]] auto value(std::string_view name) const -> std::uint64_t;

    /**
     * @brief Returns every counter.
     * @return Values by name, in order of name.
     */
    [[nodiscard]] auto all() const noexcept -> const std::map<std::string, std::uint64_t, std::less<>> &;

    /**
     * @brief Counts how long something took.
     * @param name Name of what took the time.
     * @param time How long it took.
     */
    auto observe(std::string_view name, Duration time) -> void;

    /**
     * @brief Returns every latency.
     * @return Histograms by name, in order of name.
     */
    [[nodiscard]] auto latencies() const noexcept -> const std::map<std::string, LatencyHistogram, std::less<>> &;

private:
    std::map<std::string, std::uint64_t, std::less<>> values_;
    std::map<std::string, LatencyHistogram, std::less<>> latencies_;
};

} // namespace jasminelatch

#endif
