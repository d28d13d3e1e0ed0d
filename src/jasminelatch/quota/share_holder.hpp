#ifndef JASMINELATCH_QUOTA_SHARE_HOLDER_HPP
#define JASMINELATCH_QUOTA_SHARE_HOLDER_HPP

#include "bucket.hpp"
#include "message.hpp"
#include "settings.hpp"
#include "split.hpp"

#include <jasminelatch/core/counters.hpp>

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <tuple>
#include <unordered_map>

namespace jasminelatch::quota {

/**
 * @brief Lends the tokens of every share that this node holds the right to.
 *
 * For each share of an account, level and unexpired loans together never exceed the share's burst, so that over any
 * window the tokens spent by all borrowers stay within burst + rate x window. A share that was just acquired starts
 * empty and accrues only after the loans of an earlier holder have expired.
 */
class ShareHolder
{
public:
    /*! @brief Ways out of the controller. */
    struct Hooks {
        std::function<void(const NodeAddress &to, Message)> send; /*!< Sends a message to a node. */
        std::function<bool(const LeaseName &)> holds; /*!< Tells whether this node holds a right at this moment. */
    };

    /**
     * @brief Makes a holder of no share.
     * @param settings Settings.
     * @param clock Clock of this node.
     * @param counters Counters of this node.
     * @param hooks Ways out; all are required.
     */
    ShareHolder(Settings settings, const Clock &clock, Counters &counters, Hooks hooks);

    /**
     * @brief Puts records in force; call it for each accepted configuration.
     *
     * A lower rate or burst is in force for new loans at once, and for all after the lifetime of a loan.
     *
     * @param fleet Limits of the fleet.
     * @param accounts Every account.
     */
    auto setRecords(const record::Fleet &fleet, std::span<const record::Account> accounts) -> void;

    /**
     * @brief Starts a new tenure of a right; rights that are not to a share are ignored.
     * @param right The right acquired, also when this node held it before.
     */
    auto onAcquired(const LeaseName &right) -> void;

    /**
     * @brief Ends the tenure of a right.
     * @param right The right lost.
     */
    auto onLost(const LeaseName &right) -> void;

    /**
     * @brief Takes a message; messages meant for the borrower are ignored.
     * @param from Node that sent it.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Drops the loans whose time has run out; call it every 10 to 50 ms. */
    auto tick() -> void;

private:
    struct LoanId {
        NodeAddress borrower;
        std::uint64_t incarnation{};
        std::uint64_t ask{};
        AccountName account;

        friend auto operator<(const LoanId &left, const LoanId &right) -> bool
        {
            return std::tie(left.borrower, left.incarnation, left.ask, left.account)
                 < std::tie(right.borrower, right.incarnation, right.ask, right.account);
        }
    };

    struct Loan {
        TimePoint grantedAt;
        std::uint32_t granted{};
        std::uint32_t spent{};
    };

    struct Expiry {
        TimePoint at;
        LoanId loan;
    };

    struct Tenure {
        TimePoint accrualStart;
        std::map<AccountName, internal::Bucket> buckets;
        std::map<LoanId, Loan> loans;
        std::deque<Expiry> expiries;
    };

    struct AccountEntry {
        Split split;
        TimePoint accrualStart;
    };

    [[nodiscard]] auto lenderLifetime() const -> Duration;
    [[nodiscard]] auto accrualRate(const Split &split) const -> double;
    [[nodiscard]] auto makeEntry(const record::Account &account) const -> AccountEntry;
    auto carryOver(const AccountEntry &previous, AccountEntry &next) -> void;
    auto dropAccount(const AccountName &account) -> void;
    auto restartTenures() -> void;
    auto answer(const NodeAddress &from, const LoanAsk &ask) -> void;
    auto settle(Tenure &tenure, const NodeAddress &from, const LoanAsk &ask) -> void;
    auto settleLoan(Tenure &tenure, const LoanId &id, const Settlement &settlement) -> void;
    auto lend(Tenure &tenure, const Share &share, const LoanId &id, std::uint32_t wanted) -> AccountGrant;
    auto bucketOf(Tenure &tenure, const Share &share, const AccountName &account) -> internal::Bucket *;
    auto expireLoans(Tenure &tenure) -> void;

    Settings settings_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    record::Fleet fleet_;
    std::unordered_map<AccountName, AccountEntry> accounts_;
    std::map<Share, Tenure> tenures_;
};

} // namespace jasminelatch::quota

#endif
