#ifndef JASMINELATCH_RETRY_SETTINGS_HPP
#define JASMINELATCH_RETRY_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>

namespace jasminelatch::retry {

/*! @brief How retries are bounded. */
enum class Mode : std::uint8_t {
    Ledger, /*!< Each retry is asked for at the entry node of the client request. */
    CopiedBudget /*!< Baseline: each hop may retry each of its calls up to the limit by itself. */
};

/*! @brief Retries for each request dispatched to a service. */
inline constexpr double defaultServiceShare = 0.1;
/*! @brief Retries that a service may always get, per second and node. */
inline constexpr double defaultServiceMinimum = 1.0;
/*! @brief Largest number of unused retries kept for a service. */
inline constexpr double defaultServiceBurst = 10.0;
/*! @brief Longest wait for the ledger. */
inline constexpr Duration defaultAnswerTimeout = std::chrono::milliseconds{100};

/*! @brief Settings of the asking side. */
struct Settings {
    Mode mode{Mode::Ledger}; /*!< How retries are bounded. */
    std::uint32_t copiedLimit{3}; /*!< Retries of one call, for `Mode::CopiedBudget` only. */
    Duration answerTimeout{defaultAnswerTimeout}; /*!< Longest wait for the ledger, in microseconds. */
    double serviceShare{defaultServiceShare}; /*!< Retries for each request dispatched to a service. */
    double serviceMinimum{defaultServiceMinimum}; /*!< Retries per second that a service may always get. */
    double serviceBurst{defaultServiceBurst}; /*!< Most retries of one service at once. */
};

} // namespace jasminelatch::retry

#endif
