#ifndef JASMINELATCH_QUOTA_DECISION_HPP
#define JASMINELATCH_QUOTA_DECISION_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>

namespace jasminelatch::quota {

/*! @brief How an attempt to take a token ended. */
enum class Verdict : std::uint8_t {
    Granted, /*!< A token was spent: the request may run now. */
    OverRate, /*!< No token in time: the account is over its rate, or its tokens are elsewhere. */
    NoHolder, /*!< No holder of any of the account's shares answered. */
    UnknownAccount /*!< No such account in the records in force. */
};

/*! @brief Result of `Borrower::acquire`. */
struct Decision {
    Verdict verdict{Verdict::OverRate}; /*!< How it ended. */
    Duration retryAfter{}; /*!< When a token is likely, in microseconds; zero when granted or useless. */
};

} // namespace jasminelatch::quota

#endif
