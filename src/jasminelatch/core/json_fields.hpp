#ifndef JASMINELATCH_CORE_JSON_FIELDS_HPP
#define JASMINELATCH_CORE_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace jasminelatch {

/*! @brief Largest counter that every JSON implementation represents exactly: 2^53 - 1. */
inline constexpr std::uint64_t maxJsonInteger = (std::uint64_t{1} << 53U) - 1;
/*! @brief Latest time in Unix milliseconds that is accepted: the end of the year 9999. */
inline constexpr std::uint64_t maxUnixMilliseconds = 253'402'300'799'999;

/**
 * @brief Reads an unsigned integer from a field of an object; a cast would accept fractions, negative and large
 * numbers.
 * @param json Object that holds the field.
 * @param name Name of the field.
 * @param max Largest value that is accepted.
 * @return The value.
 * @throws std::exception when the field is missing, not an unsigned integer, or too large.
 */
[[nodiscard]] inline auto readUnsigned(const nlohmann::json &json, const char *name, const std::uint64_t max)
    -> std::uint64_t
{
    const auto &value = json.at(name);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw std::invalid_argument{std::string{"not an unsigned integer in range: "} + name};
    }
    return value.get<std::uint64_t>();
}

/**
 * @brief Reads an unsigned integer from a field that may be missing.
 * @param json Object that may hold the field.
 * @param name Name of the field.
 * @param max Largest value that is accepted.
 * @return The value; zero if the field is missing.
 * @throws std::exception when the field is not an unsigned integer, or too large.
 */
[[nodiscard]] inline auto readOptionalUnsigned(const nlohmann::json &json, const char *name, const std::uint64_t max)
    -> std::uint64_t
{
    return json.contains(name) ? readUnsigned(json, name, max) : 0;
}

} // namespace jasminelatch

#endif
