#ifndef JASMINELATCH_MESH_INSTANCE_DEPARTURE_HPP
#define JASMINELATCH_MESH_INSTANCE_DEPARTURE_HPP

#include "instance_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::mesh {

/*! @brief Acknowledged departure of the instance beside a node, as kept in the store. */
struct InstanceDeparture {
    std::string instanceId; /*!< Id of the instance that left. */
    std::uint64_t startTimeMs{}; /*!< Its process start in Unix milliseconds; zero if unknown. */
    std::uint64_t recordedMs{}; /*!< When the node recorded it, in Unix milliseconds. */

    auto operator==(const InstanceDeparture &) const -> bool = default;
};

/**
 * @brief Tells whether a report comes from an instance that has departed, or from an earlier one on the same VM.
 *
 * Load pattern: an instance leaves, the process of its node ends, and reports of the instance reach the next process
 * late.
 * @param departure Latest departure on the VM.
 * @param report Report of an instance there.
 * @return Whether the instance must not be used; a report without a start counts as one of the start that departed.
 */
[[nodiscard]] auto covers(const InstanceDeparture &departure, const InstanceReport &report) -> bool;

/**
 * @brief Tells whether a report comes from a start that precedes the one that departed, by the wall clock of the VM.
 *
 * Load pattern: two instances leave in a row and reports of the first are late; or the clock was stepped back before
 * the next instance started, which then keeps reporting.
 * @param departure Latest departure on the VM.
 * @param report Report of an instance there.
 * @return Whether the start times differ in this order.
 */
[[nodiscard]] auto isOfEarlierStart(const InstanceDeparture &departure, const InstanceReport &report) -> bool;

/**
 * @brief Serializes a departure.
 * @param departure The departure.
 * @return JSON text.
 */
[[nodiscard]] auto encodeDeparture(const InstanceDeparture &departure) -> std::string;

/**
 * @brief Parses a departure; unknown fields are ignored.
 * @param text JSON text.
 * @return The departure, or nothing if the text is malformed or names no instance.
 */
[[nodiscard]] auto decodeDeparture(std::string_view text) -> std::optional<InstanceDeparture>;

} // namespace jasminelatch::mesh

#endif
