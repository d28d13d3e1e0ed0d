#ifndef JASMINELATCH_SIDECAR_STORE_KEYS_HPP
#define JASMINELATCH_SIDECAR_STORE_KEYS_HPP

#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/*! @brief Key prefix of all items that nodes write. */
inline constexpr std::string_view ownPrefix = "jasminelatch/";
/*! @brief Key prefix of node records, by VM. */
inline constexpr std::string_view recordPrefix = "jasminelatch/nodes/";
/*! @brief Key prefix of the latest departure of an instance, by VM. */
inline constexpr std::string_view departurePrefix = "jasminelatch/departures/";
/*! @brief Key prefix of quarantined requests, by fingerprint. */
inline constexpr std::string_view crashPrefix = "jasminelatch/crashes/";

/**
 * @brief Returns the key of an item.
 * @param prefix Prefix of its kind.
 * @param name Name of the VM or the request.
 * @return Key in the store.
 */
[[nodiscard]] inline auto storeKey(const std::string_view prefix, const std::string_view name) -> std::string
{
    return std::string{prefix}.append(name);
}

} // namespace jasminelatch::sidecar

#endif
