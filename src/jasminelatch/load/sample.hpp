#ifndef JASMINELATCH_LOAD_SAMPLE_HPP
#define JASMINELATCH_LOAD_SAMPLE_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace jasminelatch::load {

/*! @brief Failed attempt of a client request. */
struct FailedAttempt {
    Duration at{}; /*!< Time of the answer after the start of the run. */
    std::string reason; /*!< Reason of the refusal, or what else went wrong. */
    bool withinRate{}; /*!< The attempt was within the account's rate. */
};

/*! @brief Client request with all its attempts. */
struct Sample {
    AccountName account; /*!< Account of the caller. */
    KindName kind; /*!< Kind. */
    double weight{}; /*!< Worth of a whole answer. */
    Duration at{}; /*!< Arrival after the start of the run. */
    Duration latency{}; /*!< Time from the arrival to the last answer. */
    bool withinRate{}; /*!< The first attempt was within the account's rate. */
    bool whole{}; /*!< A whole answer to this very request came within the deadline. */
    std::size_t attemptsWithinRate{}; /*!< Attempts within the account's rate. */
    std::vector<FailedAttempt> failures; /*!< Attempts that failed. */
};

} // namespace jasminelatch::load

#endif
