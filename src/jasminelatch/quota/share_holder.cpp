#include "share_holder.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::quota {

ShareHolder::ShareHolder(Settings settings, const Clock &clock, Counters &counters, Hooks hooks)
    : settings_{settings}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto ShareHolder::setRecords(const record::Fleet &fleet, const std::span<const record::Account> accounts) -> void
{
    if (fleet.quotaGroups != fleet_.quotaGroups || fleet.quotaShares != fleet_.quotaShares) {
        restartTenures();
    }
    fleet_ = fleet;
    auto previous = std::exchange(accounts_, {});
    for (const auto &account : accounts) {
        auto next = makeEntry(account);
        if (const auto known = previous.find(account.name); known != previous.end()) {
            carryOver(known->second, next);
            previous.erase(known);
        }
        accounts_.insert_or_assign(account.name, std::move(next));
    }
    for (const auto &withdrawn : previous) {
        dropAccount(withdrawn.first);
    }
}

auto ShareHolder::onAcquired(const LeaseName &right) -> void
{
    if (const auto share = shareOf(right)) {
        tenures_.insert_or_assign(*share, Tenure{.accrualStart = clock_->now() + lenderLifetime()});
        counters_->add("quota.share_acquired");
        LOG(INFO) << "quota: lends share " << right;
    }
}

auto ShareHolder::onLost(const LeaseName &right) -> void
{
    if (const auto share = shareOf(right)) {
        tenures_.erase(*share);
        counters_->add("quota.share_lost");
        LOG(INFO) << "quota: no longer lends share " << right;
    }
}

auto ShareHolder::receive(const NodeAddress &from, const Message &message) -> void
{
    if (const auto *const ask = std::get_if<LoanAsk>(&message)) {
        answer(from, *ask);
    }
}

auto ShareHolder::tick() -> void
{
    for (auto &[share, tenure] : tenures_) {
        expireLoans(tenure);
    }
}

auto ShareHolder::lenderLifetime() const -> Duration
{
    const auto drift = settings_.clockDrift;
    return std::chrono::ceil<Duration>(settings_.loanLifetime * ((1.0 + drift) / (1.0 - drift)));
}

auto ShareHolder::accrualRate(const Split &split) const -> double
{
    return split.rate / (1.0 + settings_.clockDrift);
}

auto ShareHolder::makeEntry(const record::Account &account) const -> AccountEntry
{
    return {quota::split(account, fleet_, settings_.minimumShareBurst), clock_->now() + lenderLifetime()};
}

auto ShareHolder::carryOver(const AccountEntry &previous, AccountEntry &next) -> void
{
    const auto &name = next.split.account;
    if (previous.split.shares != next.split.shares) {
        dropAccount(name);
        return;
    }
    next.accrualStart = previous.accrualStart;
    const auto now = clock_->now();
    for (auto &[share, tenure] : tenures_) {
        const auto bucket = tenure.buckets.find(name);
        if (bucket != tenure.buckets.end()) {
            bucket->second.setLimits(accrualRate(next.split), next.split.burst, now);
        }
    }
}

auto ShareHolder::dropAccount(const AccountName &account) -> void
{
    for (auto &[share, tenure] : tenures_) {
        tenure.buckets.erase(account);
        std::erase_if(tenure.loans, [&](const auto &loan) { return loan.first.account == account; });
    }
}

auto ShareHolder::restartTenures() -> void
{
    for (auto &[share, tenure] : tenures_) {
        tenure = Tenure{.accrualStart = clock_->now() + lenderLifetime()};
    }
}

auto ShareHolder::answer(const NodeAddress &from, const LoanAsk &ask) -> void
{
    const auto share = shareOf(ask.right);
    if (!share) {
        counters_->add("quota.ask_malformed");
        return;
    }
    LoanGrant grant{.incarnation = ask.incarnation, .number = ask.number, .lifetime = settings_.loanLifetime};
    const auto holdsNow = hooks_.holds(ask.right);
    const auto tenure = tenures_.find(*share);
    grant.held = holdsNow && tenure != tenures_.end();
    if (!grant.held) {
        counters_->add("quota.ask_not_holder");
        hooks_.send(from, std::move(grant));
        return;
    }
    expireLoans(tenure->second);
    settle(tenure->second, from, ask);
    for (const auto &wanted : ask.wanted) {
        const LoanId id{from, ask.incarnation, ask.number, wanted.account};
        grant.lent.push_back(lend(tenure->second, *share, id, wanted.tokens));
    }
    counters_->add("quota.ask_answered");
    hooks_.send(from, std::move(grant));
}

auto ShareHolder::settle(Tenure &tenure, const NodeAddress &from, const LoanAsk &ask) -> void
{
    for (const auto &settlement : ask.settled) {
        settleLoan(tenure, {from, ask.incarnation, settlement.ask, settlement.account}, settlement);
    }
}

auto ShareHolder::settleLoan(Tenure &tenure, const LoanId &id, const Settlement &settlement) -> void
{
    const auto position = tenure.loans.find(id);
    const auto bucket = tenure.buckets.find(id.account);
    if (position == tenure.loans.end() || bucket == tenure.buckets.end()) {
        return;
    }
    const auto now = clock_->now();
    auto &loan = position->second;
    const auto spent = std::clamp(settlement.spent, loan.spent, loan.granted);
    const auto age = std::chrono::floor<Duration>(settlement.sinceSpent * (1.0 - 2.0 * settings_.clockDrift));
    bucket->second.settleSpent(spent - loan.spent, std::max(loan.grantedAt, now - age), now);
    loan.spent = spent;
    if (settlement.closed) {
        bucket->second.giveBack(loan.granted - loan.spent, now);
        tenure.loans.erase(position);
    }
}

auto ShareHolder::lend(Tenure &tenure, const Share &share, const LoanId &id, const std::uint32_t wanted) -> AccountGrant
{
    const auto now = clock_->now();
    auto *const bucket = bucketOf(tenure, share, id.account);
    if (bucket == nullptr) {
        counters_->add("quota.ask_unknown_account");
        return {id.account};
    }
    if (const auto known = tenure.loans.find(id); known != tenure.loans.end()) {
        counters_->add("quota.ask_doubled");
        return {id.account, known->second.granted, bucket->level(now)};
    }
    const auto tokens = bucket->lend(wanted, now);
    if (tokens > 0) {
        tenure.loans.emplace(id, Loan{.grantedAt = now, .granted = tokens});
        tenure.expiries.push_back({now + lenderLifetime(), id});
        counters_->add("quota.tokens_lent", tokens);
    }
    if (tokens < wanted) {
        counters_->add("quota.ask_short");
    }
    return {id.account, tokens, bucket->level(now)};
}

auto ShareHolder::bucketOf(Tenure &tenure, const Share &share, const AccountName &account) -> internal::Bucket *
{
    const auto entry = accounts_.find(account);
    if (entry == accounts_.end()) {
        return nullptr;
    }
    const auto &split = entry->second.split;
    if (split.group != share.group || std::ranges::find(split.shares, share.index) == split.shares.end()) {
        return nullptr;
    }
    const auto start = std::max(tenure.accrualStart, entry->second.accrualStart);
    const auto position = tenure.buckets.try_emplace(account, accrualRate(split), split.burst, start).first;
    return &position->second;
}

auto ShareHolder::expireLoans(Tenure &tenure) -> void
{
    const auto now = clock_->now();
    while (!tenure.expiries.empty() && tenure.expiries.front().at <= now) {
        const auto position = tenure.loans.find(tenure.expiries.front().loan);
        tenure.expiries.pop_front();
        if (position == tenure.loans.end()) {
            continue;
        }
        const auto bucket = tenure.buckets.find(position->first.account);
        if (bucket != tenure.buckets.end()) {
            bucket->second.expire(position->second.granted - position->second.spent, now);
        }
        tenure.loans.erase(position);
        counters_->add("quota.loan_expired_unreported");
    }
}

} // namespace jasminelatch::quota
