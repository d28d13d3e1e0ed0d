#include "claimant.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminelatch::order {

namespace internal {

/*! @brief Returns the verdict for a decision that isn't a grant and needs no further ask. */
auto verdictOf(const ClaimAnswer &answer, const Settings &settings) -> Verdict
{
    switch (answer.decision) {
    case Decision::Answered:
        if (answer.hasAnswer) {
            return answer.answer;
        }
        return Refusal{RefusalReason::OutcomeUnknown, Outcome::Ran, {}};
    case Decision::InProgress:
        // Not `NotRun`: the other request with this key may run.
        return Refusal{RefusalReason::OrderInProgress, Outcome::Unknown, settings.askTimeout};
    case Decision::Conflict:
        return Refusal{RefusalReason::OrderConflict, Outcome::NotRun, {}};
    default:
        return Refusal{RefusalReason::OutcomeUnknown, Outcome::Unknown, {}};
    }
}

} // namespace internal

Claimant::Claimant(
    Settings settings, const std::uint32_t shardCount, const Clock &clock, Counters &counters, Hooks hooks)
    : settings_{settings}
    , shardCount_{shardCount}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto Claimant::claim(Ask ask, std::function<void(Verdict)> decided) -> void
{
    const auto shard = shardOf(claimKey(ask.account, ask.idempotencyKey), shardCount_);
    const auto now = clock_->now();
    const auto id = ask.requestId;
    asks_.insert_or_assign(id, PendingAsk{std::move(ask), shard, now, now, std::move(decided)});
}

auto Claimant::report(const RequestId &requestId, const ResultKind kind, Answer answer) -> void
{
    auto granted = granted_.extract(requestId);
    if (granted.empty()) {
        return;
    }
    queueReport(granted.mapped().ask, granted.mapped().shard, kind, std::move(answer));
}

auto Claimant::tick() -> void
{
    sendAsks();
    sendReports();
}

auto Claimant::receive(const NodeAddress &, const Message &message) -> void
{
    if (const auto *answer = std::get_if<ClaimAnswer>(&message)) {
        handle(*answer);
    } else if (const auto *ack = std::get_if<ResultAck>(&message)) {
        handle(*ack);
    }
}

auto Claimant::handle(const ClaimAnswer &answer) -> void
{
    const auto position = asks_.find(answer.requestId);
    if (position == asks_.end()) {
        return;
    }
    if (answer.decision == Decision::NotHolder || answer.decision == Decision::HolderUnavailable) {
        counters_->add("order.asked_again");
        return;
    }
    auto pending = std::move(position->second);
    asks_.erase(position);
    if (answer.decision == Decision::Granted) {
        grant(std::move(pending), answer);
        return;
    }
    pending.decided(internal::verdictOf(answer, settings_));
}

auto Claimant::handle(const ResultAck &ack) -> void
{
    reports_.erase(ack.requestId);
}

auto Claimant::grant(PendingAsk pending, const ClaimAnswer &answer) -> void
{
    const auto dispatchBefore = pending.since + std::min(answer.validity, settings_.grantValidity);
    if (clock_->now() >= dispatchBefore) {
        counters_->add("order.late_grant");
        giveUp(pending);
        return;
    }
    granted_.insert_or_assign(pending.ask.requestId, GrantedAsk{pending.ask, pending.shard});
    pending.decided(Grant{dispatchBefore, answer.term});
}

auto Claimant::giveUp(const PendingAsk &pending) -> void
{
    // The holder may have granted it: tell it that this request won't run, so that the key is free again.
    queueReport(pending.ask, pending.shard, ResultKind::NotRun, {});
    counters_->add("order.holder_unavailable");
    pending.decided(Refusal{RefusalReason::OrderHolderUnavailable, Outcome::NotRun, settings_.askTimeout});
}

auto Claimant::queueReport(const Ask &ask, const Shard shard, const ResultKind kind, Answer answer) -> void
{
    const auto now = clock_->now();
    Result result{shard, ask.account, ask.idempotencyKey, ask.requestId, ask.bodyHash, kind, std::move(answer)};
    reports_.insert_or_assign(ask.requestId, PendingReport{std::move(result), now, now + settings_.reportTimeout});
}

auto Claimant::sendAsks() -> void
{
    const auto now = clock_->now();
    std::vector<RequestId> expired;
    for (auto &[id, pending] : asks_) {
        if (now >= pending.since + settings_.askTimeout) {
            expired.push_back(id);
            continue;
        }
        if (now < pending.nextSend) {
            continue;
        }
        const auto holder = hooks_.holderOf(pending.shard);
        if (!holder) {
            continue;
        }
        pending.nextSend = now + settings_.askInterval;
        const auto &ask = pending.ask;
        hooks_.send(*holder, ClaimRequest{pending.shard, ask.account, ask.idempotencyKey, ask.requestId, ask.bodyHash});
    }
    for (const auto &id : expired) {
        const auto pending = asks_.extract(id);
        giveUp(pending.mapped());
    }
}

auto Claimant::sendReports() -> void
{
    const auto now = clock_->now();
    std::erase_if(reports_, [&](const auto &item) {
        const auto dropped = now >= item.second.dropAt;
        counters_->add("order.report_dropped", dropped ? 1 : 0);
        return dropped;
    });
    for (auto &[id, report] : reports_) {
        if (now < report.nextSend) {
            continue;
        }
        const auto holder = hooks_.holderOf(report.result.shard);
        if (!holder) {
            continue;
        }
        report.nextSend = now + settings_.askInterval;
        hooks_.send(*holder, report.result);
    }
}

} // namespace jasminelatch::order
