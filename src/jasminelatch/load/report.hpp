#ifndef JASMINELATCH_LOAD_REPORT_HPP
#define JASMINELATCH_LOAD_REPORT_HPP

#include "measures.hpp"
#include "sample.hpp"
#include "scenario.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace jasminelatch::load {

/**
 * @brief Writes the measures for people.
 * @param scenario The scenario.
 * @param measures Measures of the run.
 * @return A few lines of text.
 */
[[nodiscard]] auto toTable(const Scenario &scenario, const Measures &measures) -> std::string;

/**
 * @brief Writes the measures for programs.
 * @param scenario The scenario.
 * @param measures Measures of the run.
 * @param seed Seed of the run.
 * @return Times in milliseconds, shares from 0 to 1, goodput in weight a second.
 */
[[nodiscard]] auto toJson(const Scenario &scenario, const Measures &measures, std::uint64_t seed) -> nlohmann::json;

/**
 * @brief Writes every client request.
 * @param samples The requests.
 * @return List of objects, times in milliseconds.
 */
[[nodiscard]] auto toJson(std::span<const Sample> samples) -> nlohmann::json;

} // namespace jasminelatch::load

#endif
