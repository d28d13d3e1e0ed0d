#include "latency_histogram.hpp"

#include <boost/histogram/axis/variable.hpp>

#include <algorithm>

namespace jasminelatch {

namespace internal {

/*! @brief Buckets in seconds, from a hop between nodes to the longest route timeouts, plus an overflow bucket. */
auto latencyAxis() -> const auto &
{
    static const boost::histogram::axis::variable<> axis{
        0.0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};
    return axis;
}

} // namespace internal

auto LatencyHistogram::add(const Duration time) -> void
{
    const auto bucket = internal::latencyAxis().index(std::chrono::duration<double>(time).count());
    ++counts_.at(static_cast<std::size_t>(std::max(bucket, 0)));
    ++count_;
    sum_ += time;
}

auto LatencyHistogram::buckets() const -> std::vector<Bucket>
{
    std::vector<Bucket> buckets;
    std::uint64_t count{};
    for (auto index = 0; index < internal::latencyAxis().size(); ++index) {
        count += counts_.at(static_cast<std::size_t>(index));
        buckets.push_back({internal::latencyAxis().bin(index).upper(), count});
    }
    return buckets;
}

auto LatencyHistogram::count() const noexcept -> std::uint64_t
{
    return count_;
}

auto LatencyHistogram::sum() const noexcept -> Duration
{
    return sum_;
}

} // namespace jasminelatch
