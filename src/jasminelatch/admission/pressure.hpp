#ifndef JASMINELATCH_ADMISSION_PRESSURE_HPP
#define JASMINELATCH_ADMISSION_PRESSURE_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/json.hpp>
#include <jasminelatch/record/records.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>

namespace jasminelatch::admission {

/*! @brief Number of importances. */
inline constexpr std::size_t importanceCount = std::size_t{record::leastImportant} + 1;

/*! @brief Load report of one node; it travels on answers to the nodes that call it. */
struct Pressure {
    record::Importance level{record::leastImportant}; /*!< Least important kinds that are admitted at all. */
    double fraction{1.0}; /*!< Share admitted at `level`, from zero to one; more important ones are all admitted. */
    std::uint32_t inFlight{}; /*!< Requests at the backend server. */
    std::uint32_t limit{1}; /*!< Concurrency limit. */
    std::uint32_t queued{}; /*!< Requests waiting. */
    Duration expectedWait{}; /*!< Time that a new request would wait, in microseconds. */
    Duration age{}; /*!< Age of what sets the level, in microseconds: it grows while it is passed on along a chain. */

    auto operator==(const Pressure &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Pressure, level, fraction, inFlight, limit, queued, expectedWait, age)

/**
 * @brief Returns how much a pressure admits, as one number.
 * @param pressure The pressure.
 * @return Number of importances admitted, the boundary one in part; `importanceCount` when all is admitted.
 */
[[nodiscard]] auto openness(const Pressure &pressure) noexcept -> double;

/**
 * @brief Sets level and fraction from one number.
 * @param pressure The pressure to change.
 * @param openness Number of importances admitted; clamped to the possible range.
 */
auto setOpenness(Pressure &pressure, double openness) noexcept -> void;

/**
 * @brief Returns the share of an importance that is admitted.
 * @param openness Number of importances admitted.
 * @param importance The importance.
 * @return Share from zero to one.
 */
[[nodiscard]] auto admittedShare(double openness, record::Importance importance) noexcept -> double;

} // namespace jasminelatch::admission

#endif
