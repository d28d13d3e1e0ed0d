#ifndef JASMINELATCH_ADMISSION_FAIR_SHARE_HPP
#define JASMINELATCH_ADMISSION_FAIR_SHARE_HPP

#include <vector>

namespace jasminelatch::admission {

/**
 * @brief Computes max-min fair shares by water-filling.
 * @param demands What each party asks for, none negative.
 * @param capacity What there is to give.
 * @return Largest amount that a party gets; a party that asks for less gets what it asks for. Infinity when all demands
 * fit.
 */
[[nodiscard]] auto fairShare(std::vector<double> demands, double capacity) -> double;

} // namespace jasminelatch::admission

#endif
