#ifndef JASMINELATCH_CORE_DURATION_TEXT_HPP
#define JASMINELATCH_CORE_DURATION_TEXT_HPP

#include "clock.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch {

/**
 * @brief Parses a non-negative duration with unit, such as `1500ms` or `2.5s`; the unit is `ms` or `s`.
 * @param text Number and unit without a space in between.
 * @return The duration, or nothing when the text is malformed, negative or above 1e9 units.
 */
[[nodiscard]] auto parseDuration(std::string_view text) -> std::optional<Duration>;

/**
 * @brief Formats a duration in whole milliseconds, rounded down.
 * @param time Duration to format.
 * @return Number and unit, such as `1500ms`.
 */
[[nodiscard]] auto toText(Duration time) -> std::string;

} // namespace jasminelatch

#endif
