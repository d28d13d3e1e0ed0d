#ifndef JASMINELATCH_MESH_INSTANCE_DEPARTURE_HPP
#define JASMINELATCH_MESH_INSTANCE_DEPARTURE_HPP

#include "instance_record.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Departure of one start of an instance, as kept in the store. */
struct InstanceDeparture {
    std::string instanceId; /*!< Id of the instance that left. */
    std::uint64_t startTimeMs{}; /*!< Its process start in Unix milliseconds; zero if unknown. */
    std::uint64_t recordedMs{}; /*!< When the node recorded it, in Unix milliseconds. */

    auto operator==(const InstanceDeparture &) const -> bool = default;
};

/**
 * @brief Departures of the instances that have run on one VM.
 *
 * Each start departs on its own, whether or not the node has heard of it before and whatever other starts it knows.
 *
 * Load pattern: an instance leaves before its first reports arrive; several leave in a row, the process of their node
 * ends, and reports of any of them reach the next process late.
 */
class InstanceDepartures
{
public:
    /*! @brief Bounds of what is remembered. */
    struct Settings {
        std::size_t maxCount{16}; /*!< Number of departures. */
        std::uint64_t memoryMs{600'000}; /*!< Milliseconds for which one is kept beside later ones. */
    };

    /**
     * @brief Creates a VM that no instance has left.
     * @param settings Bounds.
     */
    explicit InstanceDepartures(Settings settings);

    /**
     * @brief Adds a departure unless it is known; one whose start is known now replaces one of the same id without it.
     * @param departure The departure.
     */
    auto add(InstanceDeparture departure) -> void;

    /**
     * @brief Tells whether a report comes from a start that has departed.
     * @param report Report of an instance on the VM.
     * @return Whether that start must not be used; a report without a start counts as one of any start of its id.
     */
    [[nodiscard]] auto contains(const InstanceReport &report) const -> bool;

    /**
     * @brief Tells whether a report may come from a start that has ended: its start precedes one that departed, by the
     * wall clock of the VM, or one of its id departed without naming its start.
     *
     * Load pattern: two instances leave in a row and reports of the first are late; or the clock was stepped back
     * before the next instance started, which then keeps reporting.
     * @param report Report of an instance on the VM.
     */
    [[nodiscard]] auto mayPrecede(const InstanceReport &report) const -> bool;

    /*! @brief Returns all departures in the order of their records. */
    [[nodiscard]] auto entries() const noexcept -> std::span<const InstanceDeparture>;

private:
    Settings settings_;
    std::vector<InstanceDeparture> entries_;
};

/**
 * @brief Serializes the departures of one VM; earlier builds read the latest one.
 * @param departures Departures in the order of their records; at least one.
 * @return JSON text.
 */
[[nodiscard]] auto encodeDepartures(std::span<const InstanceDeparture> departures) -> std::string;

/**
 * @brief Parses the departures of one VM; unknown fields are ignored.
 * @param text JSON text, also of an earlier build, which wrote only the latest departure.
 * @return The departures in the order of their records, or nothing if the text is malformed.
 */
[[nodiscard]] auto decodeDepartures(std::string_view text) -> std::optional<std::vector<InstanceDeparture>>;

} // namespace jasminelatch::mesh

#endif
