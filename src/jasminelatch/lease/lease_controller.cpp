#include "lease_controller.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::lease {

namespace internal {

constexpr std::size_t maxSentRequests = 32;

} // namespace internal

LeaseController::LeaseController(Settings settings,
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
    , startedAt_{clock.now()}
{
}

auto LeaseController::contend(const LeaseName &right) -> void
{
    auto &state = states_[right];
    state.contending = true;
    state.giveUp = false;
    state.readNow = true;
}

auto LeaseController::stopContending(const LeaseName &right) -> void
{
    const auto position = states_.find(right);
    if (position == states_.end()) {
        return;
    }
    auto &state = position->second;
    state.contending = false;
    release(right, state);
}

auto LeaseController::holds(const LeaseName &right) const -> bool
{
    return heldUntil(right).has_value();
}

auto LeaseController::heldUntil(const LeaseName &right) const -> std::optional<TimePoint>
{
    const auto position = states_.find(right);
    if (position == states_.end() || !position->second.holding) {
        return std::nullopt;
    }
    const auto until = position->second.supportUntil(settings_.promisesEnabled);
    return clock_->now() < until ? std::optional{until} : std::nullopt;
}

auto LeaseController::term(const LeaseName &right) const -> std::uint64_t
{
    const auto position = states_.find(right);
    const auto known = position != states_.end() && position->second.record;
    return known ? position->second.record->term : 0;
}

auto LeaseController::successor(const LeaseName &right) const -> NodeAddress
{
    const auto position = states_.find(right);
    const auto known = position != states_.end() && position->second.record;
    return known ? position->second.record->successor : NodeAddress{};
}

auto LeaseController::heldRights() const -> std::vector<LeaseName>
{
    std::vector<LeaseName> rights;
    for (const auto &[right, state] : states_) {
        if (holds(right)) {
            rights.push_back(right);
        }
    }
    return rights;
}

auto LeaseController::tick() -> void
{
    for (auto &[right, state] : states_) {
        noteLapse(right, state);
        requestPromises(right, state);
        serve(right, state);
    }
}

auto LeaseController::receive(const NodeAddress &from, const Message &message) -> void
{
    std::visit([&](const auto &content) { handle(from, content); }, message);
}

auto LeaseController::releaseAll() -> void
{
    leaving_ = true;
    for (auto &[right, state] : states_) {
        release(right, state);
    }
}

auto LeaseController::allReleased() const -> bool
{
    return std::none_of(states_.begin(), states_.end(), [this](const auto &entry) {
        return isOwnRecord(entry.second) || !entry.second.unresolved.empty();
    });
}

auto LeaseController::handle(const NodeAddress &from, const PromiseRequest &request) -> void
{
    auto &state = states_[request.right];
    noteLapse(request.right, state);
    state.askedUnnamed = !state.record || state.record->successor != self_;
    const auto promised = mayPromise(state, request);
    if (promised) {
        const auto until = clock_->now() + withDrift(settings_, request.validity);
        state.promisedUntil = std::max(state.promisedUntil, until);
        state.holderHeard = clock_->now();
    } else {
        counters_->add("lease.promise_refused");
    }
    hooks_.send(from, PromiseAnswer{request.right, request.incarnation, request.sequence, promised});
}

auto LeaseController::handle(const NodeAddress &from, const PromiseAnswer &answer) -> void
{
    const auto position = states_.find(answer.right);
    if (position == states_.end() || answer.incarnation != incarnation_) {
        return;
    }
    auto &state = position->second;
    noteLapse(answer.right, state);
    const auto isAsked = [&](const internal::SentPromiseRequest &sent) {
        return sent.sequence == answer.sequence && sent.to == from;
    };
    const auto sent = std::find_if(state.sentRequests.begin(), state.sentRequests.end(), isAsked);
    if (sent == state.sentRequests.end()) {
        return;
    }
    if (!answer.promised) {
        state.readNow = true;
        return;
    }
    auto &until = state.promisesUntil[from];
    until = std::max(until, sent->sentAt + settings_.promiseTtl);
    if (state.record && state.record->successor == from) {
        state.successorHeard = clock_->now();
    }
}

auto LeaseController::handle(const NodeAddress &, const Released &message) -> void
{
    auto &state = states_[message.right];
    if (!state.record || state.record->term <= message.term) {
        state.readNow = true;
    }
}

auto LeaseController::handle(const NodeAddress &, const Orphaned &message) -> void
{
    auto &state = states_[message.right];
    if (!state.record || state.record->term <= message.term) {
        state.readNow = true;
    }
}

auto LeaseController::noteLapse(const LeaseName &right, State &state) -> void
{
    if (state.holding && clock_->now() >= state.supportUntil(settings_.promisesEnabled)) {
        counters_->add("lease.lapsed");
        LOG(WARNING) << "lease: both supports of right " << right << " ran out";
        lose(right, state);
    }
}

auto LeaseController::lose(const LeaseName &right, State &state) -> void
{
    if (!state.holding) {
        return;
    }
    state.holding = false;
    counters_->add("lease.lost");
    if (hooks_.lost) {
        hooks_.lost(right);
    }
}

auto LeaseController::requestPromises(const LeaseName &right, State &state) -> void
{
    const auto now = clock_->now();
    if (!settings_.promisesEnabled || !state.holding || now < state.nextPromiseRequest) {
        return;
    }
    state.nextPromiseRequest = now + settings_.promiseInterval;
    for (const auto &successor : state.possibleSuccessors()) {
        const auto sequence = ++promiseSequence_;
        state.sentRequests.push_back({sequence, successor, now});
        if (state.sentRequests.size() > internal::maxSentRequests) {
            state.sentRequests.pop_front();
        }
        hooks_.send(successor, PromiseRequest{right, state.record->term, incarnation_, sequence, settings_.promiseTtl});
    }
}

auto LeaseController::mayPromise(const State &state, const PromiseRequest &request) const -> bool
{
    return settings_.promisesEnabled && request.validity <= settings_.promiseTtl && !isOwnRecord(state)
        && state.unresolved.empty();
}

auto LeaseController::isOwnRecord(const State &state) const -> bool
{
    const auto &record = state.record;
    return record && !record->released && record->holder == self_ && record->incarnation == incarnation_;
}

auto LeaseController::nextWriteId() -> std::string
{
    return self_.text() + '#' + std::to_string(incarnation_) + '#' + std::to_string(++writeCount_);
}

} // namespace jasminelatch::lease
