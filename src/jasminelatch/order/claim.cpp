#include "claim.hpp"

#include <sodium.h>

#include <array>
#include <charconv>

namespace jasminelatch::order {

namespace internal {

template<std::size_t Size>
auto hashOf(const std::string_view text) -> std::string
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
    crypto_generichash(
        digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr, 0);
    std::array<char, 2 * Size + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), Size);
    return hex.data();
}

constexpr std::size_t keyHashSize = 16;
constexpr std::size_t shortHashSize = 8;
constexpr std::size_t shardDigits = 8;
constexpr int hexadecimal = 16;

static_assert(keyHashSize <= crypto_generichash_BYTES_MIN);

} // namespace internal

auto to_json(nlohmann::json &json, const StoredClaim &claim) -> void
{
    json = nlohmann::json::array({claim.key, claim.body, claim.owner, claim.state, claim.age, claim.sequence});
}

auto from_json(const nlohmann::json &json, StoredClaim &claim) -> void
{
    json.at(0).get_to(claim.key);
    json.at(1).get_to(claim.body);
    json.at(2).get_to(claim.owner);
    json.at(3).get_to(claim.state);
    json.at(4).get_to(claim.age);
    json.at(5).get_to(claim.sequence);
}

auto claimKey(const AccountName &account, const std::string_view idempotencyKey) -> std::string
{
    // The length in front keeps pairs apart that join to the same text.
    auto text = std::to_string(account.text().size()) + ':' + account.text();
    text += idempotencyKey;
    return internal::hashOf<internal::keyHashSize>(text);
}

auto shortHash(const std::string_view text) -> std::string
{
    return internal::hashOf<internal::shortHashSize>(text);
}

auto shardOf(const std::string_view claimKey, const std::uint32_t shardCount) -> Shard
{
    const auto digits = claimKey.substr(0, internal::shardDigits);
    std::uint32_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number, internal::hexadecimal);
    return number % shardCount;
}

auto rightOf(const Shard shard) -> LeaseName
{
    return LeaseName{"order/" + std::to_string(shard)};
}

auto parseShardValue(const std::string_view value) -> std::optional<ShardValue>
{
    try {
        return nlohmann::json::parse(value).get<ShardValue>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::order
