#ifndef JASMINELATCH_QUOTA_LOAN_BOOK_HPP
#define JASMINELATCH_QUOTA_LOAN_BOOK_HPP

#include "message.hpp"

#include <cstdint>
#include <vector>

namespace jasminelatch::quota::internal {

/**
 * @brief Loans that a borrower has for one account, and what it still has to report of them.
 */
class LoanBook
{
public:
    /**
     * @brief Adds a loan.
     * @param ask Number of the ask that it answers.
     * @param share Index of the share that lent it.
     * @param tokens Tokens lent.
     * @param expiry Time from which it may not be spent.
     */
    auto add(std::uint64_t ask, std::uint32_t share, std::uint32_t tokens, TimePoint expiry) -> void;

    /**
     * @brief Spends one token of the loan that expires first.
     * @param now Present time.
     * @return True when there was an unexpired token.
     */
    auto spend(TimePoint now) -> bool;

    /**
     * @brief Closes the loans that have expired and forgets those that no holder counts any more.
     * @param now Present time.
     * @param forgetAfter Time after expiry when a loan needs no report.
     * @return Tokens that expired unspent.
     */
    auto expire(TimePoint now, Duration forgetAfter) -> std::uint32_t;

    /**
     * @brief Closes the loans of one share that are about to expire, so that their rest can be returned.
     * @param limit Loans that expire by then are closed.
     * @param share Index of the share.
     */
    auto closeExpiringBefore(TimePoint limit, std::uint32_t share) -> void;

    /**
     * @brief Reports the loans of one share that have changed.
     * @param share Index of the share.
     * @param account Account that the loans are for.
     * @param ask Number of the ask that carries the report.
     * @param now Present time.
     * @param out Receives one settlement a loan.
     */
    auto report(std::uint32_t share,
                const AccountName &account,
                std::uint64_t ask,
                TimePoint now,
                std::vector<Settlement> &out) -> void;

    /**
     * @brief Forgets the closed loans that a report has reached the holder for.
     * @param ask Number of the ask that carried the report.
     */
    auto confirm(std::uint64_t ask) -> void;

    /**
     * @brief Returns the tokens that can still be spent at a time.
     * @param until The time, now or later.
     * @return Unspent tokens of the loans that expire after it.
     */
    [[nodiscard]] auto available(TimePoint until) const -> std::uint32_t;

    /**
     * @brief Returns the unspent tokens of one share that expire by a time.
     * @param limit The time.
     * @param share Index of the share.
     * @return Tokens that `closeExpiringBefore` would return.
     */
    [[nodiscard]] auto unspentBefore(TimePoint limit, std::uint32_t share) const -> std::uint32_t;

    /**
     * @brief Tells whether no loan is known.
     * @return True when there is nothing to spend or report.
     */
    [[nodiscard]] auto empty() const noexcept -> bool { return loans_.empty(); }

private:
    struct Loan {
        std::uint64_t ask{};
        std::uint32_t share{};
        std::uint32_t tokens{};
        std::uint32_t spent{};
        TimePoint expiry;
        TimePoint lastSpent;
        std::uint64_t reportedIn{};
        std::uint32_t reportedSpent{};
        std::uint32_t confirmedSpent{};
        bool reportedClosed{};
        bool closed{};
    };

    std::vector<Loan> loans_;
};

} // namespace jasminelatch::quota::internal

#endif
