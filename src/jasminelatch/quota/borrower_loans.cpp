#include "borrower.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminelatch::quota {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double smallestAheadPart = 0.25; // of a share's burst, for asks that are not urgent
constexpr Duration refusalMemory = std::chrono::milliseconds{250};
constexpr double largestStockPart = 0.5; // of the burst, over all nodes together
constexpr double lowStockPart = 0.25; // of the stock target, below which the next plan is brought forward
constexpr int renewalDivisor = 2; // loans are renewed in the last half of their lifetime

} // namespace

auto Borrower::stockTarget(const AccountState &state) const -> double
{
    const auto &account = state.account;
    const auto demand = std::min(state.demand.perSecond(), account.rate);
    const auto expected = demand * Seconds{settings_.loanLifetime}.count() / 2.0;
    const auto fairPart = demand * largestStockPart * account.burst / account.rate;
    return std::min(expected + std::sqrt(expected), fairPart);
}

auto Borrower::tokensUnderway(const AccountState &state) const -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto &share : state.shares) {
        tokens += share.tokensAsked;
    }
    return tokens;
}

auto Borrower::tokensMissing(const AccountState &state) const -> double
{
    const auto fresh = state.loans.available(clock_->now() + settings_.loanLifetime / renewalDivisor);
    const auto wanted = stockTarget(state) + static_cast<double>(state.waiters.size());
    return wanted - fresh - tokensUnderway(state);
}

auto Borrower::holderOf(const AccountState &state, const std::size_t position) const -> std::optional<NodeAddress>
{
    return hooks_.holderOf(rightName({state.split.group, state.split.shares[position]}));
}

auto Borrower::sharesWorthAskingBy(const AccountState &state, const TimePoint limit) const -> std::size_t
{
    const auto now = clock_->now();
    std::size_t count = 0;
    if (recentlyRefused(state)) {
        return count;
    }
    for (std::size_t position = 0; position < state.shares.size(); ++position) {
        const auto inTime = now + state.shares[position].view.timeUntilWorthAsking(now) < limit;
        count += inTime && holderOf(state, position) ? 1 : 0;
    }
    return count;
}

auto Borrower::recentlyRefused(const AccountState &state) const -> bool
{
    return state.lastRefused && clock_->now() < *state.lastRefused + refusalMemory;
}

auto Borrower::lendable(const AccountState &state, const std::size_t position) const -> double
{
    const auto now = clock_->now();
    const auto limit = now + settings_.loanLifetime / renewalDivisor;
    const auto returned = state.loans.unspentBefore(limit, state.split.shares[position]);
    return state.shares[position].view.likelyLevel(now) + returned;
}

auto Borrower::chooseShare(const AccountState &state, const double wanted) const -> std::optional<std::size_t>
{
    const auto now = clock_->now();
    const auto count = state.shares.size();
    const auto chunk = std::max(1.0, state.split.burst * smallestAheadPart);
    const auto urgent = !state.waiters.empty() && !recentlyRefused(state);
    const auto least = urgent ? 1.0 : std::min(wanted, chunk);
    std::optional<std::size_t> best;
    auto bestLevel = least;
    for (std::size_t offset = 0; offset < count; ++offset) {
        const auto position = (state.preferred + offset) % count;
        const auto &share = state.shares[position];
        const auto level = lendable(state, position);
        if (share.openAsk != 0 || level < 1.0 || !share.view.mayAsk(now) || !holderOf(state, position)) {
            continue;
        }
        if (level >= wanted) {
            return position;
        }
        if (level >= bestLevel) {
            best = position;
            bestLevel = level;
        }
    }
    return best;
}

auto Borrower::planForWaiters(AccountState &state, Asks &asks) -> void
{
    if (state.waiters.size() > tokensUnderway(state)) {
        plan(state, tokensMissing(state), asks);
        return;
    }
    const auto target = stockTarget(state);
    const auto stock = state.loans.available(clock_->now()) + tokensUnderway(state);
    if (stock < target * lowStockPart && chooseShare(state, std::floor(target))) {
        nextPlan_ = clock_->now();
    }
}

auto Borrower::planAhead(Asks &asks) -> void
{
    for (const auto &name : active_) {
        auto &state = accounts_.at(name);
        const auto missing = tokensMissing(state);
        if (missing >= stockTarget(state) * lowStockPart) {
            plan(state, missing, asks);
        }
    }
}

auto Borrower::plan(AccountState &state, double missing, Asks &asks) -> void
{
    while (missing >= 1.0) {
        const auto position = chooseShare(state, std::floor(missing));
        if (!position) {
            return;
        }
        const auto tokens = std::floor(std::min(missing, lendable(state, *position)));
        planAsk(state, *position, static_cast<std::uint32_t>(tokens), asks);
        missing -= tokens;
    }
}

auto Borrower::planAsk(AccountState &state, const std::size_t position, const std::uint32_t tokens, Asks &asks) -> void
{
    const auto now = clock_->now();
    const Share share{state.split.group, state.split.shares[position]};
    auto &ask = asks[share];
    if (ask.number == 0) {
        ask.incarnation = incarnation_;
        ask.number = nextAsk_++;
        ask.right = rightName(share);
    }
    ask.wanted.push_back({state.account.name, tokens});
    state.loans.closeExpiringBefore(now + settings_.loanLifetime / renewalDivisor, share.index);
    state.loans.report(share.index, state.account.name, ask.number, now, ask.settled);
    state.shares[position].openAsk = ask.number;
    state.shares[position].tokensAsked = tokens;
    counters_->add("quota.tokens_asked", tokens);
}

auto Borrower::sendAsks(Asks asks) -> void
{
    const auto now = clock_->now();
    for (auto &[share, ask] : asks) {
        const auto holder = hooks_.holderOf(ask.right);
        auto &open = openAsks_[ask.number];
        open = {share, holder.value_or(NodeAddress{}), now, ask.wanted};
        if (!holder) {
            markOverdue(ask.number, open);
            continue;
        }
        counters_->add("quota.ask_sent");
        hooks_.send(*holder, std::move(ask));
    }
}

auto Borrower::markOverdue(const std::uint64_t number, OpenAsk &ask) -> void
{
    ask.overdue = true;
    counters_->add("quota.ask_overdue");
    for (const auto &wanted : ask.wanted) {
        const auto position = accounts_.find(wanted.account);
        if (position == accounts_.end()) {
            continue;
        }
        for (auto &share : position->second.shares) {
            if (share.openAsk == number) {
                share.view.onFailure(clock_->now());
                share.openAsk = 0;
                share.tokensAsked = 0;
            }
        }
    }
}

auto Borrower::checkOpenAsks() -> void
{
    const auto now = clock_->now();
    const auto patience = std::min(settings_.askPatience, settings_.loanLifetime);
    for (auto &[number, ask] : openAsks_) {
        if (!ask.overdue && now >= ask.sentAt + patience) {
            markOverdue(number, ask);
        }
    }
    std::erase_if(openAsks_, [&](const auto &entry) { return now >= entry.second.sentAt + settings_.loanLifetime; });
}

auto Borrower::onGrant(const NodeAddress &from, const LoanGrant &grant) -> void
{
    const auto position = openAsks_.find(grant.number);
    if (grant.incarnation != incarnation_ || position == openAsks_.end() || position->second.holder != from) {
        counters_->add("quota.grant_ignored");
        return;
    }
    const auto ask = std::move(position->second);
    openAsks_.erase(position);
    if (!grant.held) {
        counters_->add("quota.ask_wrong_holder");
    }
    for (const auto &wanted : ask.wanted) {
        takeLoan(ask, wanted, grant);
    }
    Asks asks;
    for (const auto &wanted : ask.wanted) {
        const auto account = accounts_.find(wanted.account);
        if (account != accounts_.end()) {
            serveWaiters(account->second);
            planForWaiters(account->second, asks);
            refuseWaitersInVain(account->second);
        }
    }
    sendAsks(std::move(asks));
}

auto Borrower::takeLoan(const OpenAsk &ask, const AccountAsk &wanted, const LoanGrant &grant) -> void
{
    const auto account = accounts_.find(wanted.account);
    if (account == accounts_.end()) {
        return;
    }
    auto &state = account->second;
    const auto position = std::ranges::find(state.split.shares, ask.share.index);
    if (state.split.group != ask.share.group || position == state.split.shares.end()) {
        return;
    }
    const auto index = static_cast<std::size_t>(position - state.split.shares.begin());
    auto &share = state.shares[index];
    if (share.openAsk == grant.number) {
        share.openAsk = 0;
        share.tokensAsked = 0;
    }
    const auto now = clock_->now();
    const auto lent = std::ranges::find(grant.lent, wanted.account, &AccountGrant::account);
    if (!grant.held || lent == grant.lent.end()) {
        share.view.onFailure(now);
        return;
    }
    state.loans.confirm(grant.number);
    share.view.onGrant(wanted.tokens, lent->tokens, lent->level, now);
    if (lent->tokens > 0) {
        const auto lifetime = std::min(grant.lifetime, settings_.loanLifetime);
        state.loans.add(grant.number, ask.share.index, lent->tokens, ask.sentAt + lifetime);
        state.preferred = index;
    }
}

} // namespace jasminelatch::quota
