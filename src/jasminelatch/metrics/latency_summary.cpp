#include "latency_summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace jasminelatch::metrics {

namespace internal {

namespace tags = boost::accumulators::tag;

constexpr std::array<double, 2> probabilities{0.5, 0.99};

using Accumulator = boost::accumulators::
    accumulator_set<double, boost::accumulators::stats<tags::count, tags::mean, tags::max, tags::extended_p_square>>;

auto toDuration(const double microseconds) -> Duration
{
    return Duration{static_cast<Duration::rep>(microseconds)};
}

} // namespace internal

struct LatencySummary::Impl {
    internal::Accumulator accumulator{boost::accumulators::extended_p_square_probabilities = internal::probabilities};

    [[nodiscard]] auto quantile(const std::ptrdiff_t index) const -> Duration
    {
        if (boost::accumulators::count(accumulator) == 0) {
            return {};
        }
        return internal::toDuration(boost::accumulators::extended_p_square(accumulator)[index]);
    }
};

LatencySummary::LatencySummary()
    : impl_{std::make_unique<Impl>()}
{
}

LatencySummary::~LatencySummary() = default;

auto LatencySummary::add(const Duration latency) -> void
{
    impl_->accumulator(static_cast<double>(latency.count()));
}

auto LatencySummary::count() const -> std::uint64_t
{
    return boost::accumulators::count(impl_->accumulator);
}

auto LatencySummary::mean() const -> Duration
{
    return count() == 0 ? Duration{} : internal::toDuration(boost::accumulators::mean(impl_->accumulator));
}

auto LatencySummary::maximum() const -> Duration
{
    return count() == 0 ? Duration{} : internal::toDuration(boost::accumulators::max(impl_->accumulator));
}

auto LatencySummary::median() const -> Duration
{
    return impl_->quantile(0);
}

auto LatencySummary::percentile99() const -> Duration
{
    return impl_->quantile(1);
}

} // namespace jasminelatch::metrics
