#ifndef JASMINELATCH_RECORD_PARSE_HPP
#define JASMINELATCH_RECORD_PARSE_HPP

#include "reader.hpp"
#include "records.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace jasminelatch::record {

/*! @brief Type name of `Account` records. */
inline constexpr std::string_view accountType = "account";
/*! @brief Type name of `Key` records. */
inline constexpr std::string_view keyType = "key";
/*! @brief Type name of `Kind` records. */
inline constexpr std::string_view kindType = "kind";
/*! @brief Type name of the `Fleet` record. */
inline constexpr std::string_view fleetType = "fleet";
/*! @brief Name of the one `Fleet` record. */
inline constexpr std::string_view fleetName = "fleet";

/*! @brief Identity of a record. The type is text, so that types of later versions can be passed on. */
struct Id {
    std::string type; /*!< Type, the record's field `record`. */
    std::string name; /*!< Name, unique within the type. */

    auto operator==(const Id &) const -> bool = default;

    /*! @brief Orders by type, then by name. */
    auto operator<(const Id &other) const -> bool { return std::tie(type, name) < std::tie(other.type, other.name); }
};

/*! @brief Record in its JSON form, of whatever schema version. */
struct Document {
    Id id; /*!< Identity. */
    std::string text; /*!< Compact JSON. */

    auto operator==(const Document &) const -> bool = default;
};

auto to_json(nlohmann::json &out, const Id &id) -> void;
auto from_json(const nlohmann::json &in, Id &id) -> void;
auto to_json(nlohmann::json &out, const Document &document) -> void;
auto from_json(const nlohmann::json &in, Document &document) -> void;

/*! @brief Contents of a record. */
using Body = std::variant<Account, Key, Kind, Fleet>;

/*! @brief Record that was read without findings. */
struct Record {
    Id id; /*!< Identity. */
    Body body; /*!< Contents. */
    Document document; /*!< JSON form it was read from. */
    Place place; /*!< Where it was read. */
};

/**
 * @brief Reads one record of any schema version this program knows.
 * @param value The JSON value.
 * @param place Its place.
 * @param findings Receives everything that is wrong with it.
 * @return The record, or nothing when there were findings.
 */
[[nodiscard]] auto parseRecord(const nlohmann::json &value, const Place &place, Findings &findings)
    -> std::optional<Record>;

/**
 * @brief Reads a file with one record or a list of records.
 * @param text Contents of the file, JSON with comments.
 * @param file Name of the file for findings.
 * @param findings Receives everything that is wrong.
 * @return The records that are right in themselves.
 */
[[nodiscard]] auto parseFile(std::string_view text, const std::string &file, Findings &findings) -> std::vector<Record>;

/**
 * @brief Checks that no record stands twice.
 * @param records Records as they were read.
 * @param findings Receives everything that is wrong.
 */
auto checkUnique(std::span<const Record> records, Findings &findings) -> void;

/**
 * @brief Checks records against each other: accounts of keys, routes of kinds.
 * @param records All records that would be in force together.
 * @param findings Receives everything that is wrong.
 */
auto checkTogether(std::span<const Record> records, Findings &findings) -> void;

} // namespace jasminelatch::record

#endif
