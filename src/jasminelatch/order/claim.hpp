#ifndef JASMINELATCH_ORDER_CLAIM_HPP
#define JASMINELATCH_ORDER_CLAIM_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/json.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace jasminelatch::order {

/*! @brief Number of a part of all idempotency keys; each has one holder. */
using Shard = std::uint32_t;

/*! @brief What is known about a claimed request. */
enum class ClaimState : std::uint8_t {
    Pending, /*!< Not durable yet, so not granted. Never leaves the holder. */
    Granted, /*!< It may run or have run. */
    Done, /*!< It ran. */
    Unknown /*!< The entry node doesn't know whether it ran. */
};

/*! @brief Whole answer of a backend server. */
struct Answer {
    std::uint16_t status{}; /*!< HTTP status. */
    std::string contentType; /*!< Media type. */
    std::string body; /*!< Bytes. */

    auto operator==(const Answer &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Answer, status, contentType, body)

/*! @brief Claim as it is stored and replicated. */
struct StoredClaim {
    std::string key; /*!< Hash of account and idempotency key. */
    std::string body; /*!< Short hash of the request body. */
    std::string owner; /*!< Short hash of the id of the request that was granted. */
    ClaimState state{ClaimState::Granted}; /*!< What is known. */
    Duration age{}; /*!< Time since the claim, at the time of writing. */
    std::uint64_t sequence{}; /*!< Order of changes within one holder's term. */
};

auto to_json(nlohmann::json &json, const StoredClaim &claim) -> void;
auto from_json(const nlohmann::json &json, StoredClaim &claim) -> void;

/*! @brief Process whose memory counts beside the store. */
struct ReplicaId {
    NodeAddress node; /*!< Address; empty for none. */
    std::uint64_t incarnation{}; /*!< Number of the process. */

    auto operator==(const ReplicaId &) const -> bool = default;

    auto operator<(const ReplicaId &other) const -> bool
    {
        return std::tie(node, incarnation) < std::tie(other.node, other.incarnation);
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicaId, node, incarnation)

/*! @brief What the store keeps about one shard. */
struct ShardValue {
    std::uint64_t term{}; /*!< Term of the holder that wrote it. */
    std::uint64_t through{}; /*!< Highest sequence among the claims. */
    ReplicaId replica; /*!< Claims may have been granted that only this process and the holder know. */
    Duration unknownFor{}; /*!< How long unknown keys still get an unknown outcome. */
    std::string writeId; /*!< Unique id of the write. */
    std::vector<StoredClaim> claims; /*!< All claims within the retention time. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardValue, term, through, replica, unknownFor, writeId, claims)

/**
 * @brief Returns the hash under which a request is claimed.
 * @param account Client account.
 * @param idempotencyKey Key chosen by the client.
 * @return 128 bits in hexadecimal.
 */
[[nodiscard]] auto claimKey(const AccountName &account, std::string_view idempotencyKey) -> std::string;

/**
 * @brief Returns a short hash of a text.
 * @param text Request id or hash of a body.
 * @return 64 bits in hexadecimal.
 */
[[nodiscard]] auto shortHash(std::string_view text) -> std::string;

/**
 * @brief Returns the shard of a claim.
 * @param claimKey Result of `claimKey`.
 * @param shardCount Number of shards, at least one.
 * @return Number below `shardCount`.
 */
[[nodiscard]] auto shardOf(std::string_view claimKey, std::uint32_t shardCount) -> Shard;

/**
 * @brief Returns the right whose holder decides on a shard's claims.
 * @param shard The shard.
 * @return `order/<shard>`.
 */
[[nodiscard]] auto rightOf(Shard shard) -> LeaseName;

/**
 * @brief Reads a shard's value.
 * @param value Value from the store.
 * @return The claims; nothing when the value is malformed.
 */
[[nodiscard]] auto parseShardValue(std::string_view value) -> std::optional<ShardValue>;

} // namespace jasminelatch::order

#endif
