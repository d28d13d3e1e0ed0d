#ifndef JASMINELATCH_QUOTA_SETTINGS_HPP
#define JASMINELATCH_QUOTA_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>

namespace jasminelatch::quota {

/*! @brief How an account's rate is enforced. */
enum class Mode : std::uint8_t {
    Escrow, /*!< Tokens are borrowed from the holders of the account's shares. */
    StaticSplit, /*!< Baseline: each node enforces its equal part by itself. */
    Off /*!< Baseline: nothing is enforced. */
};

/*! @brief Lifetime of a loan on the borrower's clock. */
inline constexpr Duration defaultLoanLifetime = std::chrono::seconds{1};
/*! @brief Longest time a request waits for a token. */
inline constexpr Duration defaultMaxWait = std::chrono::milliseconds{50};
/*! @brief Time without an answer after which another share is asked. */
inline constexpr Duration defaultAskPatience = std::chrono::milliseconds{15};
/*! @brief Bound on the rate error of each node's clock, as a fraction. */
inline constexpr double defaultClockDrift = 0.001;
/*! @brief Smallest burst of one share, in tokens; an account with less burst has fewer shares. */
inline constexpr double defaultMinimumShareBurst = 12.0;

/*! @brief Settings of share holders and borrowers; the same on every node. */
struct Settings {
    Mode mode{Mode::Escrow}; /*!< How rates are enforced. */
    Duration loanLifetime{defaultLoanLifetime}; /*!< Lifetime of a loan, in microseconds. */
    Duration maxWait{defaultMaxWait}; /*!< Longest wait of `Borrower::acquire`, in microseconds. */
    Duration askPatience{defaultAskPatience}; /*!< Wait for one holder before another is asked, in microseconds. */
    double clockDrift{defaultClockDrift}; /*!< Bound on each clock's rate error: 0.001 is one in a thousand. */
    double minimumShareBurst{defaultMinimumShareBurst}; /*!< Smallest burst of one share, at least one token. */
    std::uint32_t nodeCount{1}; /*!< Number of nodes, for `Mode::StaticSplit` only. */
};

} // namespace jasminelatch::quota

#endif
