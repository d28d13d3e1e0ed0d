#ifndef JASMINELATCH_METRICS_LATENCY_SUMMARY_HPP
#define JASMINELATCH_METRICS_LATENCY_SUMMARY_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <memory>

namespace jasminelatch::metrics {

/**
 * @brief Running summary of latencies in constant memory.
 */
class LatencySummary
{
public:
    LatencySummary();
    LatencySummary(const LatencySummary &) = delete;
    auto operator=(const LatencySummary &) -> LatencySummary & = delete;
    ~LatencySummary();

    /**
     * @brief Adds a latency.
     * @param latency The latency.
     */
    auto add(Duration latency) -> void;

    /*! @brief Returns the number of latencies. */
    [[nodiscard]] auto count() const -> std::uint64_t;
    /*! @brief Returns the mean; zero without latencies. */
    [[nodiscard]] auto mean() const -> Duration;
    /*! @brief Returns the largest; zero without latencies. */
    [[nodiscard]] auto maximum() const -> Duration;
    /*! @brief Estimates the median; zero without latencies. */
    [[nodiscard]] auto median() const -> Duration;
    /*! @brief Estimates the latency that 99 in 100 stay below; zero without latencies. */
    [[nodiscard]] auto percentile99() const -> Duration;

private:
    struct Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace jasminelatch::metrics

#endif
