#ifndef JASMINELATCH_TEST_MODEL_SCENARIOS_HPP
#define JASMINELATCH_TEST_MODEL_SCENARIOS_HPP

#include <jasminelatch/model/scenario.hpp>

namespace jasminelatch::model::test {

/**
 * @brief Shop whose browses and orders end in eight calls to a stock service, which clients' stock requests use as
 * well.
 *
 * The instances of the stock service differ in speed by more than a factor of two.
 * @param factor Factor on all rates; at one the stock service is in use by about 0.6.
 * @param length Time in which clients send.
 */
[[nodiscard]] auto shop(double factor, Duration length) -> Scenario;

} // namespace jasminelatch::model::test

#endif
