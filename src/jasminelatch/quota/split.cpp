#include "split.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace jasminelatch::quota {

namespace {

constexpr std::string_view rightPrefix = "quota/";
constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;
constexpr std::uint64_t mixFactor = 0xff51afd7ed558ccdULL;
constexpr int mixShift = 33;

auto readNumber(std::string_view &text) -> std::optional<std::uint32_t>
{
    std::uint32_t number{};
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return number;
}

} // namespace

auto rightName(const Share &share) -> LeaseName
{
    return LeaseName{std::string{rightPrefix} + std::to_string(share.group) + '/' + std::to_string(share.index)};
}

auto shareOf(const LeaseName &right) -> std::optional<Share>
{
    std::string_view text{right.text()};
    if (!text.starts_with(rightPrefix)) {
        return std::nullopt;
    }
    text.remove_prefix(rightPrefix.size());
    const auto group = readNumber(text);
    if (!group || !text.starts_with('/')) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    const auto index = readNumber(text);
    if (!index || !text.empty()) {
        return std::nullopt;
    }
    return Share{*group, *index};
}

auto split(const record::Account &account, const record::Fleet &fleet, const double minimumShareBurst) -> Split
{
    const auto hash = stableHash(account.name.text());
    const auto mostShares = std::max<std::uint32_t>(1, fleet.quotaShares);
    const auto fullShares = std::floor(account.burst / std::max(1.0, minimumShareBurst));
    const auto count = static_cast<std::uint32_t>(std::clamp<double>(fullShares, 1.0, mostShares));
    Split result;
    result.account = account.name;
    result.group = static_cast<std::uint32_t>(hash % std::max<std::uint32_t>(1, fleet.quotaGroups));
    const auto first = static_cast<std::uint32_t>((hash >> mixShift) % mostShares);
    for (std::uint32_t offset = 0; offset < count; ++offset) {
        result.shares.push_back((first + offset) % mostShares);
    }
    result.rate = account.rate / count;
    result.burst = account.burst / count;
    return result;
}

auto stableHash(const std::string_view text) noexcept -> std::uint64_t
{
    auto hash = fnvOffset;
    for (const auto character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    hash ^= hash >> mixShift;
    hash *= mixFactor;
    return hash ^ (hash >> mixShift);
}

} // namespace jasminelatch::quota
