#ifndef JASMINELATCH_MEMBERSHIP_CELL_RECORD_HPP
#define JASMINELATCH_MEMBERSHIP_CELL_RECORD_HPP

#include "endpoint.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::membership {

/*! @brief Prefix of the store keys of all cell records. */
inline constexpr std::string_view cellPrefix = "cell/";

/*! @brief Prefix of the store keys of lease records. */
inline constexpr std::string_view leasePrefix = "lease/";

/*! @brief One member in a cell record. */
struct MemberRecord {
    Endpoint endpoint; /*!< The backend server and its node. */
    std::uint64_t incarnation{}; /*!< Start of the node's process; a later start has a higher one. */
    std::uint64_t joins{}; /*!< Cells that this process has joined so far. */
    std::vector<LeaseName> rights; /*!< Rights that the node holds, in order. */

    auto operator==(const MemberRecord &) const -> bool = default;
};

/*! @brief What the holder of a cell writes to the store. */
struct CellRecord {
    NodeAddress holder; /*!< Node that wrote the record. */
    std::uint64_t incarnation{}; /*!< Incarnation of that node. */
    std::uint64_t version{}; /*!< Counts that node's writes; with the two above it names one write. */
    std::vector<MemberRecord> members; /*!< Members in order of node address. */

    auto operator==(const CellRecord &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberRecord, endpoint, incarnation, joins, rights)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellRecord, holder, incarnation, version, members)

/**
 * @brief Names the right to a cell, which is also the store key of its record.
 * @param domain Failure domain of all members.
 * @param index Number of the cell in the domain.
 * @return `cell/<domain>/<index>`.
 */
[[nodiscard]] auto cellRight(const FailureDomain &domain, std::size_t index) -> LeaseName;

/**
 * @brief Reads the index of a cell of one failure domain.
 * @param key Store key or right of a cell.
 * @param domain The failure domain.
 * @return The index; nothing when the cell belongs to another domain.
 */
[[nodiscard]] auto cellIndex(std::string_view key, const FailureDomain &domain) -> std::optional<std::size_t>;

/**
 * @brief Reads a cell record.
 * @param value Value of a store entry.
 * @return The record; nothing when it does not parse.
 */
[[nodiscard]] auto parseCellRecord(std::string_view value) -> std::optional<CellRecord>;

} // namespace jasminelatch::membership

#endif
