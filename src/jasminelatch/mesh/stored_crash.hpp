#ifndef JASMINELATCH_MESH_STORED_CRASH_HPP
#define JASMINELATCH_MESH_STORED_CRASH_HPP

#include "crash_tracker.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::mesh {

/*! @brief Crash record of a quarantined request, as kept in the store. */
struct StoredCrash {
    Fingerprint fingerprint{}; /*!< The request. */
    std::vector<CrashId> crashes; /*!< Crashes of which it is not cleared. */
    std::uint64_t lastCrashMs{}; /*!< Time of the last crash in Unix milliseconds. */

    auto operator==(const StoredCrash &) const -> bool = default;
};

/**
 * @brief Serializes a stored crash record; of many crashes only as many are kept as the longest quarantine needs.
 * @param stored The record.
 * @return JSON text.
 */
[[nodiscard]] auto encodeStoredCrash(const StoredCrash &stored) -> std::string;

/**
 * @brief Parses a stored crash record; unknown fields are ignored.
 * @param text JSON text.
 * @return The record, or nothing if the text is malformed or names no request or no crash.
 */
[[nodiscard]] auto decodeStoredCrash(std::string_view text) -> std::optional<StoredCrash>;

} // namespace jasminelatch::mesh

#endif
