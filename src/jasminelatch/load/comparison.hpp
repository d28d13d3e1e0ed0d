#ifndef JASMINELATCH_LOAD_COMPARISON_HPP
#define JASMINELATCH_LOAD_COMPARISON_HPP

#include <nlohmann/json.hpp>

#include <span>
#include <string>

namespace jasminelatch::load {

/*! @brief Measures of one run of the same scenario. */
struct NamedMeasures {
    std::string name; /*!< What was different in the run. */
    nlohmann::json measures; /*!< Contents of its `measures.json`. */
};

/**
 * @brief Sets runs of one scenario side by side.
 * @param runs The runs; the first is the one that the others are compared to.
 * @return Table with a line a run; ratios are the first run's goodput over that of the line's run.
 */
[[nodiscard]] auto compareRuns(std::span<const NamedMeasures> runs) -> std::string;

} // namespace jasminelatch::load

#endif
