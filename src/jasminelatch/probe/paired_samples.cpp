#include "paired_samples.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::probe {

namespace internal {

constexpr double half = 0.5;
constexpr double ninetyNineInHundred = 0.99;

} // namespace internal

PairedSamples::PairedSamples(const std::size_t targets)
    : latencies_(targets)
{
}

auto PairedSamples::add(const std::span<const std::optional<Duration>> latencies) -> void
{
    for (std::size_t target = 0; target < latencies_.size(); ++target) {
        latencies_[target].push_back(latencies[target]);
    }
}

auto PairedSamples::summary(const std::size_t target) const -> Summary
{
    std::vector<Duration> absolute;
    std::vector<Duration> added;
    const auto &own = latencies_[target];
    const auto &first = latencies_.front();
    for (std::size_t round = 0; round < own.size(); ++round) {
        if (!own[round]) {
            continue;
        }
        absolute.push_back(*own[round]);
        if (first[round]) {
            added.push_back(*own[round] - *first[round]);
        }
    }
    return {absolute.size(),
            percentile(absolute, internal::half),
            percentile(absolute, internal::ninetyNineInHundred),
            percentile(added, internal::half),
            percentile(added, internal::ninetyNineInHundred)};
}

auto PairedSamples::failures(const std::size_t target) const -> std::size_t
{
    const auto &own = latencies_[target];
    return static_cast<std::size_t>(std::count(own.begin(), own.end(), std::nullopt));
}

auto percentile(std::vector<Duration> values, const double share) -> Duration
{
    if (values.empty()) {
        return Duration::zero();
    }
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

} // namespace jasminelatch::probe
