#include "borrower.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::quota {

namespace {

constexpr Duration shortestRetryAfter = std::chrono::milliseconds{10};
constexpr Duration noHolderRetryAfter = std::chrono::seconds{1};
constexpr double idleDemand = 0.01; // requests per second

} // namespace

Borrower::Borrower(Settings settings,
                   const NodeAddress &self,
                   const std::uint64_t incarnation,
                   const Clock &clock,
                   Counters &counters,
                   Hooks hooks)
    : settings_{settings}
    , selfHash_{stableHash(self.text())}
    , incarnation_{incarnation}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , nextPlan_{clock.now()}
{
}

auto Borrower::setRecords(const record::Fleet &fleet, const std::span<const record::Account> accounts) -> void
{
    fleet_ = fleet;
    auto previous = std::exchange(accounts_, {});
    for (const auto &account : accounts) {
        auto node = previous.extract(account.name);
        if (node.empty()) {
            accounts_.try_emplace(account.name, makeState(account));
            continue;
        }
        updateState(node.mapped(), account);
        accounts_.insert(std::move(node));
    }
    for (auto &[name, state] : previous) {
        active_.erase(name);
        for (auto &waiter : state.waiters) {
            finish(std::move(waiter.callback), {Verdict::UnknownAccount});
        }
    }
    flush();
}

auto Borrower::acquire(const AccountName &account, Callback callback) -> void
{
    if (settings_.mode == Mode::Off) {
        finish(std::move(callback), {Verdict::Granted});
        flush();
        return;
    }
    const auto position = accounts_.find(account);
    if (position == accounts_.end()) {
        finish(std::move(callback), {Verdict::UnknownAccount});
        flush();
        return;
    }
    auto &state = position->second;
    if (settings_.mode == Mode::StaticSplit) {
        acquireLocally(state, std::move(callback));
        flush();
        return;
    }
    active_.insert(account);
    state.demand.add();
    state.waiters.push_back({clock_->now() + settings_.maxWait, std::move(callback)});
    serveWaiters(state);
    if (!state.waiters.empty()) {
        counters_->add("quota.waited");
        Asks asks;
        planForWaiters(state, asks);
        refuseWaitersInVain(state);
        sendAsks(std::move(asks));
    }
    flush();
}

auto Borrower::receive(const NodeAddress &from, const Message &message) -> void
{
    if (const auto *const grant = std::get_if<LoanGrant>(&message)) {
        onGrant(from, *grant);
        flush();
    }
}

auto Borrower::tick() -> void
{
    const auto now = clock_->now();
    checkOpenAsks();
    Asks asks;
    for (auto position = active_.begin(); position != active_.end();) {
        auto &state = accounts_.at(*position);
        state.demand.update(now);
        counters_->add("quota.token_expired", state.loans.expire(now, settings_.loanLifetime));
        refuseLateWaiters(state);
        planForWaiters(state, asks);
        refuseWaitersInVain(state);
        const auto idle = state.waiters.empty() && state.loans.empty() && state.demand.perSecond() < idleDemand;
        position = idle ? active_.erase(position) : std::next(position);
    }
    if (now >= nextPlan_) {
        nextPlan_ = now + settings_.loanLifetime / 2;
        planAhead(asks);
    }
    sendAsks(std::move(asks));
    flush();
}

auto Borrower::makeState(const record::Account &account) const -> AccountState
{
    AccountState state;
    updateState(state, account);
    return state;
}

auto Borrower::updateState(AccountState &state, const record::Account &account) const -> void
{
    auto next = split(account, fleet_, settings_.minimumShareBurst);
    if (next.group != state.split.group || next.shares != state.split.shares) {
        state.shares.assign(next.shares.size(), ShareState{});
        state.preferred = selfHash_ % next.shares.size();
        state.loans = {};
    }
    for (auto &share : state.shares) {
        share.view.setLimits(next.rate, next.burst);
    }
    state.account = account;
    state.split = std::move(next);
    if (settings_.mode == Mode::StaticSplit) {
        const auto nodes = static_cast<double>(std::max<std::uint32_t>(1, settings_.nodeCount));
        const auto depth = std::max(1.0, account.burst / nodes);
        const auto filling = std::chrono::duration<double>{depth * nodes / account.rate};
        const auto start = clock_->now() - std::chrono::ceil<Duration>(filling);
        state.localBucket.emplace(account.rate / nodes, depth, start);
    }
}

auto Borrower::acquireLocally(AccountState &state, Callback callback) -> void
{
    const auto now = clock_->now();
    if (state.localBucket->lend(1, now) == 1) {
        state.localBucket->settleSpent(1, now, now);
        finish(std::move(callback), {Verdict::Granted});
        return;
    }
    const std::chrono::duration<double> perToken{settings_.nodeCount / state.account.rate};
    finish(std::move(callback), {Verdict::OverRate, std::chrono::ceil<Duration>(perToken)});
}

auto Borrower::serveWaiters(AccountState &state) -> void
{
    while (!state.waiters.empty() && state.loans.spend(clock_->now())) {
        finish(std::move(state.waiters.front().callback), {Verdict::Granted});
        state.waiters.pop_front();
    }
}

auto Borrower::refuseLateWaiters(AccountState &state) -> void
{
    while (!state.waiters.empty() && clock_->now() >= state.waiters.front().deadline) {
        refuse(state, std::move(state.waiters.front().callback));
        state.waiters.pop_front();
    }
}

auto Borrower::refuseWaitersInVain(AccountState &state) -> void
{
    if (state.waiters.empty() || tokensUnderway(state) > 0) {
        return;
    }
    const auto hopeful = sharesWorthAskingBy(state, state.waiters.front().deadline);
    while (state.waiters.size() > hopeful) {
        refuse(state, std::move(state.waiters.back().callback));
        state.waiters.pop_back();
    }
}

auto Borrower::refuse(AccountState &state, Callback callback) -> void
{
    state.lastRefused = clock_->now();
    auto reachable = false;
    auto retryAfter = noHolderRetryAfter;
    for (std::size_t position = 0; position < state.shares.size(); ++position) {
        const auto &view = state.shares[position].view;
        if (view.failing() || !holderOf(state, position)) {
            continue;
        }
        reachable = true;
        retryAfter = std::min(retryAfter, view.timeUntilWorthAsking(clock_->now()));
    }
    const auto verdict = reachable ? Verdict::OverRate : Verdict::NoHolder;
    finish(std::move(callback), {verdict, std::max(retryAfter, shortestRetryAfter)});
}

auto Borrower::finish(Callback callback, const Decision decision) -> void
{
    switch (decision.verdict) {
    case Verdict::Granted:
        counters_->add("quota.granted");
        break;
    case Verdict::OverRate:
        counters_->add("quota.refused_rate");
        break;
    case Verdict::NoHolder:
        counters_->add("quota.no_holder");
        break;
    case Verdict::UnknownAccount:
        counters_->add("quota.unknown_account");
        break;
    }
    outcomes_.push_back({std::move(callback), decision});
}

auto Borrower::flush() -> void
{
    for (auto &outcome : std::exchange(outcomes_, {})) {
        outcome.callback(outcome.decision);
    }
}

} // namespace jasminelatch::quota
