#ifndef JASMINELATCH_SIDECAR_METRICS_TEXT_HPP
#define JASMINELATCH_SIDECAR_METRICS_TEXT_HPP

#include <jasminelatch/core/counters.hpp>

#include <map>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief Writes counters, latencies and gauges in the text format of Prometheus.
 *
 * A dot in a counter's name becomes an underscore: `entry.refused.over_cap` is
 * `jasminelatch_entry_refused_over_cap_total`, and `entry.request_time` is the histogram
 * `jasminelatch_entry_request_time_seconds`.
 * @param counters Counters of events and latencies.
 * @param gauges Present values by name.
 * @return The text.
 */
[[nodiscard]] auto metricsText(const Counters &counters, const std::map<std::string, double> &gauges) -> std::string;

} // namespace jasminelatch::sidecar

#endif
