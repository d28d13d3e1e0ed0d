#include "lease_controller.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jasminelatch::lease {

auto LeaseController::serve(const LeaseName &right, State &state) -> void
{
    const auto now = clock_->now();
    if (state.callPending || now < state.nextCall) {
        return;
    }
    if (isOwnRecord(state) && !state.readNow && state.unresolved.empty()) {
        act(right, state);
        return;
    }
    if (state.readNow || now >= nextRead(state)) {
        read(right, state);
    }
}

auto LeaseController::nextRead(const State &state) const -> TimePoint
{
    const auto isSuccessor = state.record && state.record->successor == self_;
    if (!state.contending && !isSuccessor && !state.askedUnnamed) {
        return TimePoint::max();
    }
    if (!state.lastRead || !state.unresolved.empty() || isOwnRecord(state)) {
        return TimePoint{};
    }
    if (!isSuccessor) {
        return *state.lastRead + (state.askedUnnamed ? settings_.renewInterval : settings_.pollInterval);
    }
    if (clock_->now() < state.holderHeard + settings_.suspicionDelay) {
        return *state.lastRead + settings_.pollInterval;
    }
    const auto lapse = state.observedSince + withDrift(settings_, settings_.storeLeaseTtl);
    const auto next = *state.lastRead + settings_.renewInterval;
    return lapse > *state.lastRead ? std::min(lapse, next) : next;
}

auto LeaseController::read(const LeaseName &right, State &state) -> void
{
    state.callPending = true;
    state.readNow = false;
    counters_->add("lease.store_read");
    hooks_.store({.operation = store::Operation::Get, .key = recordKey(right)},
                 [this, right](const store::Answer &answer) { afterRead(right, answer); });
}

auto LeaseController::write(const LeaseName &right, State &state, Record record, const AcquisitionKind kind) -> void
{
    record.writeId = nextWriteId();
    state.callPending = true;
    state.unresolved.push_back({record, clock_->now(), kind});
    counters_->add("lease.store_write");
    hooks_.store(
        {.operation = store::Operation::Put,
         .key = recordKey(right),
         .value = nlohmann::json(record).dump(),
         .expected = state.revision},
        [this, right, writeId = record.writeId](const store::Answer &answer) { afterWrite(right, writeId, answer); });
}

auto LeaseController::afterRead(const LeaseName &right, const store::Answer &answer) -> void
{
    auto &state = states_[right];
    noteLapse(right, state);
    state.callPending = false;
    if (answer.status == store::Status::Unknown) {
        counters_->add("lease.read_unknown");
        state.readNow = true;
        state.nextCall = clock_->now() + settings_.retryInterval;
        return;
    }
    state.lastRead = clock_->now();
    state.nextCall = clock_->now();
    state.askedUnnamed = false;
    if (answer.status == store::Status::Ok && !answer.entries.empty()) {
        observe(right, state, answer.entries.front());
    }
    act(right, state);
}

auto LeaseController::afterWrite(const LeaseName &right, const std::string &writeId, const store::Answer &answer)
    -> void
{
    auto &state = states_[right];
    noteLapse(right, state);
    state.callPending = false;
    if (answer.status == store::Status::Unknown) {
        counters_->add("lease.write_unknown");
        state.readNow = true;
        state.nextCall = clock_->now() + settings_.retryInterval;
        return;
    }
    state.nextCall = clock_->now();
    const auto isThis = [&](const internal::PendingWrite &pending) {
        return pending.record.writeId == writeId;
    };
    const auto pending = std::find_if(state.unresolved.begin(), state.unresolved.end(), isThis);
    if (answer.entries.empty() || pending == state.unresolved.end()) {
        state.readNow = true;
        state.nextCall = clock_->now() + settings_.retryInterval;
        return;
    }
    observe(right, state, answer.entries.front());
}

auto LeaseController::observe(const LeaseName &right, State &state, const store::Entry &entry) -> void
{
    if (entry.revision <= state.revision) {
        return;
    }
    auto record = parseRecord(entry.value);
    if (!record) {
        counters_->add("lease.malformed_record");
        LOG(ERROR) << "lease: record of right " << right << " is malformed";
        record = Record{.holder = NodeAddress{"?"}};
    }
    // All unresolved writes expected the former revision: at most one can have taken effect, and it shows here.
    const auto unresolved = std::exchange(state.unresolved, {});
    state.revision = entry.revision;
    state.observedSince = clock_->now();
    const auto formerSuccessor = state.record ? state.record->successor : NodeAddress{};
    if (record->successor != formerSuccessor) {
        state.successorHeard = clock_->now();
    }
    state.record = std::move(record);
    const auto isWritten = [&](const internal::PendingWrite &write) {
        return write.record.writeId == state.record->writeId;
    };
    const auto own = std::find_if(unresolved.begin(), unresolved.end(), isWritten);
    if (own != unresolved.end()) {
        confirm(right, state, *own);
        return;
    }
    if (state.holding) {
        counters_->add("lease.replaced");
        LOG(WARNING) << "lease: right " << right << " went to " << state.record->holder;
        lose(right, state);
    }
}

auto LeaseController::confirm(const LeaseName &right, State &state, const internal::PendingWrite &write) -> void
{
    if (write.record.released) {
        state.giveUp = false;
        if (!write.record.successor.empty()) {
            hooks_.send(write.record.successor, Released{right, write.record.term});
        }
        return;
    }
    if (write.record.term != state.announcedTerm) {
        state.kind = write.kind;
    }
    const auto until = write.sentAt + settings_.storeLeaseTtl;
    state.storeLeaseUntil = std::max(state.storeLeaseUntil, until);
    state.nextCall = std::max(state.nextCall, write.sentAt + settings_.renewInterval);
    if (!state.holding && !state.giveUp && clock_->now() < state.storeLeaseUntil) {
        announce(right, state);
    }
}

auto LeaseController::announce(const LeaseName &right, State &state) -> void
{
    const auto term = state.record->term;
    const auto kind = state.announcedTerm == term ? AcquisitionKind::Regained : state.kind;
    state.holding = true;
    state.announcedTerm = term;
    state.nextPromiseRequest = clock_->now();
    counters_->add(kind == AcquisitionKind::TakenOver ? "lease.taken_over" : "lease.acquired");
    LOG(INFO) << "lease: holds right " << right << " in term " << term;
    if (hooks_.acquired) {
        hooks_.acquired(right, {term, kind});
    }
}

auto LeaseController::act(const LeaseName &right, State &state) -> void
{
    if (state.callPending) {
        return;
    }
    if (isOwnRecord(state)) {
        renew(right, state);
        return;
    }
    state.giveUp = false;
    if (const auto kind = acquirable(state)) {
        acquire(right, state, *kind);
        return;
    }
    wakeNamedNodes(right, state);
}

auto LeaseController::wakeNamedNodes(const LeaseName &right, const State &state) -> void
{
    if (!state.contending || !state.record || state.record->released || !hasLapsed(state)) {
        return;
    }
    counters_->add("lease.orphaned_seen");
    for (const auto &node : {state.record->holder, state.record->successor}) {
        if (!node.empty() && node != self_) {
            hooks_.send(node, Orphaned{right, state.record->term});
        }
    }
}

auto LeaseController::hasLapsed(const State &state) const -> bool
{
    return clock_->now() >= state.observedSince + withDrift(settings_, settings_.storeLeaseTtl);
}

auto LeaseController::renew(const LeaseName &right, State &state) -> void
{
    auto record = *state.record;
    if (state.giveUp) {
        record.released = true;
        write(right, state, std::move(record), state.kind);
        return;
    }
    if (leaving_) {
        return;
    }
    record.successor = chooseSuccessor(right, state);
    write(right, state, std::move(record), state.kind);
}

auto LeaseController::release(const LeaseName &right, State &state) -> void
{
    const auto acquiring = !state.unresolved.empty();
    if (!isOwnRecord(state) && !acquiring) {
        return;
    }
    state.giveUp = true;
    state.nextCall = clock_->now();
    lose(right, state);
    serve(right, state);
}

auto LeaseController::acquire(const LeaseName &right, State &state, const AcquisitionKind kind) -> void
{
    Record record;
    record.holder = self_;
    record.term = term(right) + 1;
    record.incarnation = incarnation_;
    const auto successor = hooks_.chooseSuccessor(right);
    if (successor && *successor != self_) {
        record.successor = *successor;
    }
    write(right, state, std::move(record), kind);
}

auto LeaseController::acquirable(const State &state) const -> std::optional<AcquisitionKind>
{
    if (leaving_) {
        return std::nullopt;
    }
    if (!state.record) {
        return state.contending ? std::optional{AcquisitionKind::Fresh} : std::nullopt;
    }
    if (state.record->released) {
        const auto kind = state.record->holder.empty() ? AcquisitionKind::Reclaimed : AcquisitionKind::TakenOver;
        return mayTakeReleased(state) ? std::optional{kind} : std::nullopt;
    }
    if (state.record->holder == self_) {
        return AcquisitionKind::Restarted;
    }
    return mayTakeOver(state) ? std::optional{AcquisitionKind::TakenOver} : std::nullopt;
}

auto LeaseController::mayTakeReleased(const State &state) const -> bool
{
    const auto &successor = state.record->successor;
    if (successor == self_) {
        return true;
    }
    // The successor goes first.
    const auto waited = clock_->now() >= state.observedSince + settings_.pollInterval;
    return state.contending && (successor.empty() || waited);
}

auto LeaseController::mayTakeOver(const State &state) const -> bool
{
    const auto now = clock_->now();
    if (state.record->successor != self_ || !hasLapsed(state)) {
        return false;
    }
    if (!settings_.promisesEnabled) {
        return true;
    }
    const auto formerPromisesUntil = startedAt_ + withDrift(settings_, settings_.promiseTtl);
    return now >= state.promisedUntil && now >= formerPromisesUntil;
}

auto LeaseController::chooseSuccessor(const LeaseName &right, const State &state) const -> NodeAddress
{
    const auto now = clock_->now();
    const auto &current = state.record->successor;
    const auto isSilent = now >= state.successorHeard + settings_.successorPatience;
    const auto hasStoreLease = state.holding && now < state.storeLeaseUntil;
    if (!hasStoreLease || (!current.empty() && !isSilent)) {
        return current;
    }
    const auto candidate = hooks_.chooseSuccessor(right);
    return candidate && *candidate != self_ ? *candidate : current;
}

} // namespace jasminelatch::lease
