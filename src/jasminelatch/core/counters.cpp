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

} // namespace jasminelatch
