#include "stored_crash.hpp"

#include <jasminelatch/core/json_fields.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Largest record in bytes, far above what a node writes. */
constexpr std::size_t maxStoredCrashBytes = 4096;
/*! @brief Largest number of crashes in a record. */
constexpr std::size_t maxStoredCrashes = 16;
constexpr auto maxId = std::numeric_limits<std::uint64_t>::max();

} // namespace internal

auto encodeStoredCrash(const StoredCrash &stored) -> std::string
{
    auto crashes = stored.crashes;
    crashes.resize(std::min(crashes.size(), internal::maxStoredCrashes));
    const nlohmann::json json{
        {"fingerprint", stored.fingerprint}, {"crashes", crashes}, {"lastCrashMs", stored.lastCrashMs}};
    return json.dump();
}

auto decodeStoredCrash(const std::string_view text) -> std::optional<StoredCrash>
{
    if (text.size() > internal::maxStoredCrashBytes) {
        return std::nullopt;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        StoredCrash stored{readUnsigned(json, "fingerprint", internal::maxId),
                           json.at("crashes").get<std::vector<CrashId>>(),
                           readUnsigned(json, "lastCrashMs", maxUnixMilliseconds)};
        const auto isValid =
            stored.fingerprint != 0 && !stored.crashes.empty() && stored.crashes.size() <= internal::maxStoredCrashes;
        return isValid ? std::optional{std::move(stored)} : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::mesh
