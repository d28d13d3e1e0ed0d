#include "metrics_text.hpp"

#include <algorithm>
#include <sstream>

namespace jasminelatch::sidecar {

namespace internal {

auto metricName(std::string name) -> std::string
{
    std::ranges::replace(name, '.', '_');
    return "jasminelatch_" + name;
}

} // namespace internal

auto metricsText(const Counters &counters, const std::map<std::string, double> &gauges) -> std::string
{
    std::ostringstream text;
    for (const auto &[name, value] : counters.all()) {
        const auto metric = internal::metricName(name) + "_total";
        text << "# TYPE " << metric << " counter\n" << metric << ' ' << value << '\n';
    }
    for (const auto &[name, latency] : counters.latencies()) {
        const auto metric = internal::metricName(name) + "_seconds";
        text << "# TYPE " << metric << " histogram\n";
        for (const auto &bucket : latency.buckets()) {
            text << metric << "_bucket{le=\"" << bucket.seconds << "\"} " << bucket.count << '\n';
        }
        text << metric << "_bucket{le=\"+Inf\"} " << latency.count() << '\n'
             << metric << "_sum " << std::chrono::duration<double>(latency.sum()).count() << '\n'
             << metric << "_count " << latency.count() << '\n';
    }
    for (const auto &[name, value] : gauges) {
        const auto metric = internal::metricName(name);
        text << "# TYPE " << metric << " gauge\n" << metric << ' ' << value << '\n';
    }
    return text.str();
}

} // namespace jasminelatch::sidecar
