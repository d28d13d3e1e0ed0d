#ifndef JASMINELATCH_CONTROL_FAILURE_HPP
#define JASMINELATCH_CONTROL_FAILURE_HPP

#include <jasminelatch/core/finding.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>

namespace jasminelatch::control {

/*! @brief Exit code of the operators' program. */
enum class ExitCode : std::uint8_t {
    Ok = 0, /*!< Done. */
    Findings = 1, /*!< Bad input; nothing was written. */
    Usage = 2, /*!< Wrong command line. */
    Conflict = 3, /*!< Another operator was faster; nothing was written. */
    StoreUnreachable = 4, /*!< The store did not answer; the message says what may have been written. */
    NotInForce = 5, /*!< Not in force everywhere in time. */
    NodeUnreachable = 6 /*!< The node that was asked does not answer. */
};

/*! @brief Error of an operation: why it was given up. */
struct Failure {
    ExitCode code{ExitCode::Findings}; /*!< What to tell the caller. */
    std::string reason; /*!< What happened, as a sentence. */
    Findings findings; /*!< What is wrong with the input, if that is why. */
};

/*! @brief Result of an operation; the error object is a `Failure`. */
template<typename Value>
using Result = boost::leaf::result<Value>;

} // namespace jasminelatch::control

#endif
