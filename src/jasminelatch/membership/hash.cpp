#include "hash.hpp"

#include <array>
#include <cstddef>

namespace jasminelatch::membership::internal {

constexpr std::uint64_t fnvPrime = 0x100000001b3U;
constexpr std::size_t numberBytes = 8;

/*! @brief Factors that stand for zero bytes in a row, by their number. */
constexpr auto zeroBytesFactors = [] {
    std::array<std::uint64_t, numberBytes + 1> factors{1};
    for (std::size_t count = 1; count < factors.size(); ++count) {
        factors[count] = factors[count - 1] * fnvPrime;
    }
    return factors;
}();

auto Hasher::add(std::uint64_t value) -> Hasher &
{
    auto remaining = numberBytes;
    for (; value != 0; --remaining) {
        state_ = (state_ ^ (value & 0xffU)) * fnvPrime;
        value >>= 8U;
    }
    state_ *= zeroBytesFactors[remaining];
    return *this;
}

auto Hasher::add(const std::string_view text) -> Hasher &
{
    for (const auto character : text) {
        state_ = (state_ ^ static_cast<unsigned char>(character)) * fnvPrime;
    }
    return add(std::uint64_t{text.size()});
}

auto Hasher::add(const Endpoint &endpoint) -> Hasher &
{
    add(endpoint.node).add(endpoint.service).add(endpoint.domain);
    return add(std::uint64_t{endpoint.slots})
        .add(std::uint64_t{endpoint.connections})
        .add(static_cast<std::uint64_t>(endpoint.state));
}

auto Hasher::result() const -> std::uint64_t
{
    auto mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return mixed == 0 ? 1 : mixed;
}

auto versionOf(const std::span<const Endpoint> endpoints) -> ContentVersion
{
    Hasher hasher;
    for (const auto &endpoint : endpoints) {
        hasher.add(endpoint);
    }
    return hasher.result();
}

auto versionOf(const std::span<const RightHolder> rights) -> ContentVersion
{
    Hasher hasher;
    for (const auto &entry : rights) {
        hasher.add(entry.right).add(entry.holder);
    }
    return hasher.result();
}

auto versionOf(const Assignment &assignment) -> ContentVersion
{
    Hasher hasher;
    hasher.add(assignment.fleetSize).add(std::uint64_t{assignment.peers.size()});
    for (const auto &peer : assignment.peers) {
        hasher.add(peer);
    }
    for (const auto &duty : assignment.duties) {
        hasher.add(duty.right).add(duty.successor);
    }
    return hasher.result();
}

auto versionOf(const std::span<const ServiceVersion> services,
               const ContentVersion directory,
               const ContentVersion assignment) -> ContentVersion
{
    Hasher hasher;
    for (const auto &entry : services) {
        hasher.add(entry.service).add(entry.version);
    }
    return hasher.add(directory).add(assignment).result();
}

} // namespace jasminelatch::membership::internal
