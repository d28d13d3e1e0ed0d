#include "claim_holder.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::order {

namespace internal {

constexpr Duration sweepInterval = std::chrono::seconds{1};

} // namespace internal

ClaimHolder::ClaimHolder(Settings settings,
                         NodeAddress self,
                         const std::uint64_t incarnation,
                         const Clock &clock,
                         Counters &counters,
                         Hooks hooks)
    : settings_{settings}
    , self_{std::move(self)}
    , incarnation_{incarnation}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto ClaimHolder::acquired(const Shard shard, const lease::Acquisition &acquisition) -> void
{
    auto &state = shards_[shard];
    const auto keepsMemory = acquisition.kind == lease::AcquisitionKind::Regained && state.term == acquisition.term;
    if (!keepsMemory) {
        state = State{};
        state.term = acquisition.term;
        state.readNow = true;
    }
    state.active = true;
}

auto ClaimHolder::lost(const Shard shard) -> void
{
    shards_[shard].active = false;
}

auto ClaimHolder::tick() -> void
{
    for (auto &[shard, state] : shards_) {
        forget(state);
        if (!state.active || !hooks_.holds(shard)) {
            continue;
        }
        fetch(shard, state);
        replicate(shard, state);
        grantDurable(shard, state);
        serveStore(shard, state);
    }
    forgetKept();
}

auto ClaimHolder::handOver() -> void
{
    handingOver_ = true;
}

auto ClaimHolder::isHandedOver() const -> bool
{
    return std::all_of(shards_.begin(), shards_.end(), [](const auto &entry) {
        const State &state = entry.second;
        const auto isCommitted = state.loaded && !state.dirty && state.pending.empty() && state.pendingCall == 0
                              && state.confirmed && state.confirmed->replica == ReplicaId{};
        return !state.active || isCommitted;
    });
}

auto ClaimHolder::receive(const NodeAddress &from, const Message &message) -> void
{
    std::visit([&](const auto &content) { handle(from, content); }, message);
}

auto ClaimHolder::decides(const Shard shard, const State &state) const -> bool
{
    return state.active && hooks_.holds(shard);
}

auto ClaimHolder::handle(const NodeAddress &from, const ClaimRequest &request) -> void
{
    const auto position = shards_.find(request.shard);
    if (position == shards_.end() || !decides(request.shard, position->second)) {
        counters_->add("order.not_holder");
        hooks_.send(from, ClaimAnswer{request.requestId, Decision::NotHolder});
        return;
    }
    auto &state = position->second;
    if (!state.loaded) {
        counters_->add("order.not_loaded");
        hooks_.send(from, ClaimAnswer{request.requestId, Decision::HolderUnavailable, state.term});
        return;
    }
    const auto key = claimKey(request.account, request.idempotencyKey);
    const auto claim = state.claims.find(key);
    auto answer = claim == state.claims.end() ? decideNew(state, key, from, request)
                                              : decideKnown(state, claim->second, from, request);
    answer.term = state.term;
    hooks_.send(from, std::move(answer));
}

auto ClaimHolder::decideNew(State &state, const std::string &key, const NodeAddress &from, const ClaimRequest &request)
    -> ClaimAnswer
{
    const auto now = clock_->now();
    const auto owner = shortHash(request.requestId.text());
    if (state.unknownUntil && now < *state.unknownUntil) {
        counters_->add("order.outcome_unknown_after_take_over");
        return {request.requestId, Decision::OutcomeUnknown};
    }
    if (state.finished.contains(owner)) {
        counters_->add("order.delayed_ask");
        return {request.requestId, Decision::HolderUnavailable};
    }
    if (handingOver_) {
        counters_->add("order.handing_over");
        return {request.requestId, Decision::HolderUnavailable};
    }
    if (state.claims.size() >= settings_.maxClaims) {
        counters_->add("order.shard_full");
        return {request.requestId, Decision::HolderUnavailable};
    }
    auto &claim = state.claims[key];
    claim.body = shortHash(request.bodyHash);
    claim.owner = owner;
    claim.since = now;
    claim.requestId = request.requestId;
    claim.entry = from;
    state.change(claim, ClaimState::Pending);
    state.pending.insert(key);
    return {request.requestId, Decision::HolderUnavailable};
}

auto ClaimHolder::decideKnown(State &state, Claim &claim, const NodeAddress &from, const ClaimRequest &request)
    -> ClaimAnswer
{
    if (claim.body != shortHash(request.bodyHash)) {
        counters_->add("order.conflict");
        return {request.requestId, Decision::Conflict};
    }
    const auto isOwner = claim.owner == shortHash(request.requestId.text());
    switch (claim.state) {
    case ClaimState::Pending:
        claim.entry = isOwner ? from : claim.entry;
        return {request.requestId, isOwner ? Decision::HolderUnavailable : Decision::InProgress};
    case ClaimState::Done:
        counters_->add(claim.answer ? "order.answered_again" : "order.answer_lost");
        return {request.requestId,
                Decision::Answered,
                state.term,
                {},
                claim.answer.has_value(),
                claim.answer.value_or(Answer{})};
    case ClaimState::Granted:
        break;
    case ClaimState::Unknown:
        counters_->add("order.outcome_unknown");
        return {request.requestId, Decision::OutcomeUnknown};
    }
    const auto age = clock_->now() - claim.since;
    if (isOwner && age < settings_.grantValidity) {
        return grantFor(state, request.requestId);
    }
    if (age < settings_.runLimit) {
        counters_->add("order.in_progress");
        return {request.requestId, Decision::InProgress};
    }
    counters_->add("order.outcome_unknown");
    return {request.requestId, Decision::OutcomeUnknown};
}

auto ClaimHolder::grantFor(const State &state, const RequestId &requestId) const -> ClaimAnswer
{
    return {requestId, Decision::Granted, state.term, settings_.grantValidity};
}

auto ClaimHolder::grantDurable(const Shard shard, State &state) -> void
{
    const auto now = clock_->now();
    std::erase_if(state.pending, [&](const std::string &key) {
        const auto position = state.claims.find(key);
        if (position == state.claims.end() || position->second.state != ClaimState::Pending) {
            return true;
        }
        auto &claim = position->second;
        const auto committed = claim.sequence <= state.committedThrough;
        const auto storeIsSilent = now >= claim.since + settings_.commitPatience;
        const auto replicated = settings_.grantFromReplica && storeIsSilent && state.isReplicated(claim.sequence);
        if ((!committed && !replicated) || !decides(shard, state)) {
            return false;
        }
        counters_->add(committed ? "order.granted" : "order.granted_from_replica");
        claim.state = ClaimState::Granted;
        hooks_.send(claim.entry, grantFor(state, claim.requestId));
        return true;
    });
}

auto ClaimHolder::handle(const NodeAddress &from, const Result &result) -> void
{
    const auto position = shards_.find(result.shard);
    if (position == shards_.end() || !position->second.loaded || !decides(result.shard, position->second)) {
        return;
    }
    apply(position->second, result);
    hooks_.send(from, ResultAck{result.requestId});
}

auto ClaimHolder::apply(State &state, const Result &result) -> void
{
    const auto key = claimKey(result.account, result.idempotencyKey);
    const auto owner = shortHash(result.requestId.text());
    const auto now = clock_->now();
    if (result.kind == ResultKind::NotRun) {
        state.finished[owner] = now;
    }
    const auto position = state.claims.find(key);
    if (position == state.claims.end()) {
        applyUnknownKey(state, key, result, now);
        return;
    }
    auto &claim = position->second;
    const auto isFinal = claim.state == ClaimState::Done || claim.state == ClaimState::Unknown;
    if (claim.owner != owner || isFinal) {
        return;
    }
    if (result.kind == ResultKind::NotRun) {
        state.claims.erase(position);
        state.dirty = true;
        return;
    }
    if (result.kind == ResultKind::Unknown) {
        state.change(claim, ClaimState::Unknown);
        return;
    }
    state.change(claim, ClaimState::Done);
    keepAnswer(state, key, claim, result.answer);
}

auto ClaimHolder::applyUnknownKey(State &state, const std::string &key, const Result &result, const TimePoint now)
    -> void
{
    if (result.kind == ResultKind::NotRun) {
        return;
    }
    auto &claim = state.claims[key];
    claim.body = shortHash(result.bodyHash);
    claim.owner = shortHash(result.requestId.text());
    claim.since = now;
    state.change(claim, result.kind == ResultKind::Answered ? ClaimState::Done : ClaimState::Unknown);
}

auto ClaimHolder::keepAnswer(State &state, const std::string &key, Claim &claim, const Answer &answer) const -> void
{
    if (answer.body.size() > settings_.maxAnswerBytes) {
        return;
    }
    claim.answer = answer;
    state.answerBytes += answer.body.size();
    state.answerOrder.push_back(key);
    while (state.answerBytes > settings_.maxAnswerBytes) {
        const auto oldest = state.claims.find(state.answerOrder.front());
        state.answerOrder.pop_front();
        if (oldest != state.claims.end() && oldest->second.answer) {
            state.answerBytes -= oldest->second.answer->body.size();
            oldest->second.answer.reset();
        }
    }
}

auto ClaimHolder::forget(State &state) const -> void
{
    const auto now = clock_->now();
    if (now < state.nextSweep) {
        return;
    }
    state.nextSweep = now + internal::sweepInterval;
    const auto limit = now - settings_.retention;
    std::erase_if(state.claims, [&](const auto &item) {
        const auto &claim = item.second;
        const auto expired = claim.since < limit;
        if (expired && claim.answer) {
            state.answerBytes -= claim.answer->body.size();
        }
        return expired;
    });
    std::erase_if(state.finished, [&](const auto &item) { return item.second < limit; });
}

} // namespace jasminelatch::order
