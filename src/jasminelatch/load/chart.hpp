#ifndef JASMINELATCH_LOAD_CHART_HPP
#define JASMINELATCH_LOAD_CHART_HPP

#include "measures.hpp"
#include "sample.hpp"
#include "scenario.hpp"

#include <span>
#include <string>

namespace jasminelatch::load {

/**
 * @brief Draws offered load, goodput and refusals by reason over time.
 * @param scenario The scenario, whose triggers are shaded.
 * @param measures Measures of the run.
 * @param samples Every client request.
 * @return SVG document.
 */
[[nodiscard]] auto drawChart(const Scenario &scenario, const Measures &measures, std::span<const Sample> samples)
    -> std::string;

} // namespace jasminelatch::load

#endif
