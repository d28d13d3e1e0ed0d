#ifndef JASMINELATCH_QUOTA_SPLIT_HPP
#define JASMINELATCH_QUOTA_SPLIT_HPP

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/record/records.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace jasminelatch::quota {

/*! @brief One share of one group of accounts. */
struct Share {
    std::uint32_t group{}; /*!< Group, below `record::Fleet::quotaGroups`. */
    std::uint32_t index{}; /*!< Share within the group, below `record::Fleet::quotaShares`. */

    auto operator==(const Share &) const -> bool = default;

    friend auto operator<(const Share &left, const Share &right) -> bool
    {
        return std::tie(left.group, left.index) < std::tie(right.group, right.index);
    }
};

/*! @brief How an account's rate and burst are split into shares. */
struct Split {
    AccountName account; /*!< The account. */
    std::uint32_t group{}; /*!< Group of the account. */
    std::vector<std::uint32_t> shares; /*!< Indices of the shares that carry the account, each once. */
    double rate{}; /*!< Tokens per second of each of them. */
    double burst{}; /*!< Bucket depth of each of them, in tokens, at least one. */
};

/**
 * @brief Returns the name of the right to one share.
 * @param share The share.
 * @return `quota/<group>/<index>`.
 */
[[nodiscard]] auto rightName(const Share &share) -> LeaseName;

/**
 * @brief Reads the name of a right.
 * @param right Name of any right.
 * @return The share, or nothing when the right is not one to a share.
 */
[[nodiscard]] auto shareOf(const LeaseName &right) -> std::optional<Share>;

/**
 * @brief Splits an account's limits; the parts add up to no more than the whole.
 * @param account The account.
 * @param fleet Numbers of groups and shares.
 * @param minimumShareBurst Smallest burst of one share, in tokens, at least one.
 * @return The split, the same on every node.
 */
[[nodiscard]] auto split(const record::Account &account, const record::Fleet &fleet, double minimumShareBurst) -> Split;

/**
 * @brief Hashes a name the same way on every node and in every release.
 * @param text The name.
 * @return 64-bit FNV-1a hash, mixed.
 */
[[nodiscard]] auto stableHash(std::string_view text) noexcept -> std::uint64_t;

} // namespace jasminelatch::quota

#endif
