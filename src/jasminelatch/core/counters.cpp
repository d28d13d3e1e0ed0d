#include "counters.hpp"

namespace jasminelatch {

auto Counters::add(const std::string_view name, const std::uint64_t amount) -> void
{
    auto position = values_.find(name);
    if (position == values_.end()) {
        position = values_.emplace(std::string{name}, 0).first;
    }
    position->second += amount;
}

auto Counters::value(const std::string_view name) const -> std::uint64_t
{
    const auto position = values_.find(name);
    return position == values_.end() ? 0 : position->second;
}

auto Counters::all() const noexcept -> const std::map<std::string, std::uint64_t, std::less<>> &
{
    return values_;
}

auto Counters::observe(const std::string_view name, const Duration time) -> void
{
    auto position = latencies_.find(name);
    if (position == latencies_.end()) {
        position = latencies_.try_emplace(std::string{name}).first;
    }
    position->second.add(time);
}

auto Counters::latencies() const noexcept -> const std::map<std::string, LatencyHistogram, std::less<>> &
{
    return latencies_;
}

} // namespace jasminelatch
