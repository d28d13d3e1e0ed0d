#ifndef JASMINELATCH_QUOTA_BORROWER_HPP
#define JASMINELATCH_QUOTA_BORROWER_HPP

#include "bucket.hpp"
#include "decision.hpp"
#include "demand.hpp"
#include "loan_book.hpp"
#include "message.hpp"
#include "settings.hpp"
#include "share_view.hpp"
#include "split.hpp"

#include <jasminelatch/core/counters.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace jasminelatch::quota {

/**
 * @brief Takes the tokens that client requests need, at the node that they enter.
 *
 * Tokens are borrowed from share holders ahead of need and expire on this node's clock, counted from before the ask was
 * sent. A request that finds none waits for a loan a short time and is refused otherwise.
 */
class Borrower
{
public:
    /*! @brief Receives a decision; may be called from within `acquire`. */
    using Callback = std::function<void(Decision)>;

    /*! @brief Ways out of the controller. */
    struct Hooks {
        std::function<void(const NodeAddress &to, Message)> send; /*!< Sends a message to a node, itself included. */
        /*! @brief Returns the node that probably holds a right; it may be wrong. */
        std::function<std::optional<NodeAddress>(const LeaseName &)> holderOf;
    };

    /**
     * @brief Makes a borrower without tokens.
     * @param settings Settings.
     * @param self Address of this node; it spreads the nodes over the shares.
     * @param incarnation Random number of this process, so that loans of an earlier process are not mixed in.
     * @param clock Clock of this node.
     * @param counters Counters of this node.
     * @param hooks Ways out; all are required.
     */
    Borrower(Settings settings,
             const NodeAddress &self,
             std::uint64_t incarnation,
             const Clock &clock,
             Counters &counters,
             Hooks hooks);

    /**
     * @brief Puts records in force; call it for each accepted configuration.
     * @param fleet Limits of the fleet.
     * @param accounts Every account.
     */
    auto setRecords(const record::Fleet &fleet, std::span<const record::Account> accounts) -> void;

    /**
     * @brief Takes one token for a request that is about to run.
     * @param account Account of the request.
     * @param callback Called exactly once: at once, or after at most `Settings::maxWait` and a tick.
     */
    auto acquire(const AccountName &account, Callback callback) -> void;

    /**
     * @brief Takes a message; messages meant for the share holder are ignored.
     * @param from Node that sent it.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Borrows ahead, ends waits and expires loans; call it every 10 to 50 ms. */
    auto tick() -> void;

private:
    struct Waiter {
        TimePoint deadline;
        Callback callback;
    };

    struct ShareState {
        internal::ShareView view;
        std::uint64_t openAsk{};
        std::uint32_t tokensAsked{};
    };

    struct AccountState {
        record::Account account;
        Split split;
        internal::Demand demand;
        internal::LoanBook loans;
        std::vector<ShareState> shares;
        std::deque<Waiter> waiters;
        std::optional<internal::Bucket> localBucket;
        std::optional<TimePoint> lastRefused;
        std::size_t preferred{};
    };

    struct OpenAsk {
        Share share;
        NodeAddress holder;
        TimePoint sentAt;
        std::vector<AccountAsk> wanted;
        bool overdue{};
    };

    struct Outcome {
        Callback callback;
        Decision decision;
    };

    using Asks = std::map<Share, LoanAsk>;

    [[nodiscard]] auto makeState(const record::Account &account) const -> AccountState;
    auto updateState(AccountState &state, const record::Account &account) const -> void;
    auto acquireLocally(AccountState &state, Callback callback) -> void;
    auto serveWaiters(AccountState &state) -> void;
    auto refuseLateWaiters(AccountState &state) -> void;
    auto refuseWaitersInVain(AccountState &state) -> void;
    auto refuse(AccountState &state, Callback callback) -> void;
    auto finish(Callback callback, Decision decision) -> void;
    auto flush() -> void;

    [[nodiscard]] auto stockTarget(const AccountState &state) const -> double;
    [[nodiscard]] auto tokensUnderway(const AccountState &state) const -> std::uint32_t;
    [[nodiscard]] auto tokensMissing(const AccountState &state) const -> double;
    [[nodiscard]] auto holderOf(const AccountState &state, std::size_t position) const -> std::optional<NodeAddress>;
    [[nodiscard]] auto sharesWorthAskingBy(const AccountState &state, TimePoint limit) const -> std::size_t;
    [[nodiscard]] auto recentlyRefused(const AccountState &state) const -> bool;
    [[nodiscard]] auto lendable(const AccountState &state, std::size_t position) const -> double;
    [[nodiscard]] auto chooseShare(const AccountState &state, double wanted) const -> std::optional<std::size_t>;
    auto planForWaiters(AccountState &state, Asks &asks) -> void;
    auto planAhead(Asks &asks) -> void;
    auto plan(AccountState &state, double missing, Asks &asks) -> void;
    auto planAsk(AccountState &state, std::size_t position, std::uint32_t tokens, Asks &asks) -> void;
    auto sendAsks(Asks asks) -> void;
    auto markOverdue(std::uint64_t number, OpenAsk &ask) -> void;
    auto checkOpenAsks() -> void;
    auto onGrant(const NodeAddress &from, const LoanGrant &grant) -> void;
    auto takeLoan(const OpenAsk &ask, const AccountAsk &wanted, const LoanGrant &grant) -> void;

    Settings settings_;
    std::uint64_t selfHash_;
    std::uint64_t incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    record::Fleet fleet_;
    std::unordered_map<AccountName, AccountState> accounts_;
    std::set<AccountName> active_;
    std::map<std::uint64_t, OpenAsk> openAsks_;
    std::vector<Outcome> outcomes_;
    std::uint64_t nextAsk_{1};
    TimePoint nextPlan_;
};

} // namespace jasminelatch::quota

#endif
