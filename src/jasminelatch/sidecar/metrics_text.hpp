#ifndef JASMINELATCH_SIDECAR_METRICS_TEXT_HPP
#define JASMINELATCH_SIDECAR_METRICS_TEXT_HPP

#include <jasminelatch/core/counters.hpp>

#include <map>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief Formats counters, latencies and gauges in the Prometheus text exposition format.
 *
 * Dots in names become underscores: `entry.refused.over_cap` is
 * `jasminelatch_entry_refused_over_cap_total`, and `entry.request_time` is the histogram
 * `jasminelatch_entry_request_time_seconds`.
 * @param counters Event counters and latency histograms.
 * @param gauges Current values by name.
 * @return Body of the metrics page.
 */
[[nodiscard]] auto metricsText(const Counters &counters, const std::map<std::string, double> &gauges) -> std::string;

} // namespace jasminelatch::sidecar

#endif
