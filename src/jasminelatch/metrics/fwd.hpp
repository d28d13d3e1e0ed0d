#ifndef JASMINELATCH_METRICS_FWD_HPP
#define JASMINELATCH_METRICS_FWD_HPP

namespace jasminelatch::metrics {

class LatencySummary;

} // namespace jasminelatch::metrics

#endif
