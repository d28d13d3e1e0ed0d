#ifndef JASMINELATCH_CONFIGURATION_CHANGE_SET_HPP
#define JASMINELATCH_CONFIGURATION_CHANGE_SET_HPP

#include <jasminelatch/record/parse.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::configuration {

/*! @brief Revision of the configuration: zero before the first change, then one more with every change set. */
using Revision = std::uint64_t;

/*! @brief Records written and withdrawn together by one operator. */
struct ChangeSet {
    Revision revision{}; /*!< Revision that it leads to. */
    std::string writeId; /*!< Unique id of the write, to recognise it after an unknown outcome. */
    std::string author; /*!< Who wrote it. */
    std::string note; /*!< Why. */
    std::vector<record::Document> upserts; /*!< Records written. */
    std::vector<record::Id> withdrawals; /*!< Records withdrawn. */

    auto operator==(const ChangeSet &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeSet, revision, writeId, author, note, upserts, withdrawals)

/*! @brief Id of a withdrawn key, remembered so that its refusal says so. */
struct WithdrawnKey {
    std::string id; /*!< Id of the key. */
    Revision revision{}; /*!< Revision that withdrew it. */

    auto operator==(const WithdrawnKey &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WithdrawnKey, id, revision)

/*! @brief Part of a snapshot of all records at one revision. */
struct SnapshotPart {
    std::vector<record::Document> documents; /*!< Records. */
    std::vector<WithdrawnKey> withdrawnKeys; /*!< Withdrawn keys. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotPart, documents, withdrawnKeys)

/*! @brief Contents of `baseKey`: the newest complete snapshot in the store. */
struct Base {
    Revision revision{}; /*!< Revision of the snapshot. */
    std::uint32_t parts{}; /*!< Number of its parts. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Base, revision, parts)

/*! @brief Key of `Base` in the store. */
inline constexpr std::string_view baseKey = "config/base";
/*! @brief Prefix of the change sets in the store. */
inline constexpr std::string_view changePrefix = "config/change/";
/*! @brief Prefix of the snapshots in the store. */
inline constexpr std::string_view snapshotPrefix = "config/snapshot/";
/*! @brief Largest part of a snapshot and largest change set, in bytes of its records. */
inline constexpr std::size_t maxPartBytes = 384UL * 1024;
/*! @brief Change sets before the base that stay in the store for nodes that lag. */
inline constexpr Revision keptChanges = 200;

/*! @brief Returns the store's key of a change set. */
[[nodiscard]] auto changeKey(Revision revision) -> std::string;

/*! @brief Returns the store's key of a part of a snapshot. */
[[nodiscard]] auto snapshotKey(Revision revision, std::uint32_t part) -> std::string;

/**
 * @brief Reads a change set.
 * @param text JSON text.
 * @return The change set, or nothing when the text is malformed.
 */
[[nodiscard]] auto parseChangeSet(std::string_view text) -> std::optional<ChangeSet>;

/**
 * @brief Reads a part of a snapshot.
 * @param text JSON text.
 * @return The part, or nothing when the text is malformed.
 */
[[nodiscard]] auto parseSnapshotPart(std::string_view text) -> std::optional<SnapshotPart>;

/**
 * @brief Reads the base.
 * @param text JSON text.
 * @return The base, or nothing when the text is malformed.
 */
[[nodiscard]] auto parseBase(std::string_view text) -> std::optional<Base>;

} // namespace jasminelatch::configuration

#endif
