#include "answer_cache.hpp"

#include <utility>

namespace jasminelatch::connection {

AnswerCache::AnswerCache(
    CacheSettings settings, const Incarnation incarnation, const Clock &clock, Counters &counters, Hooks hooks)
    : settings_{settings}
    , incarnation_{incarnation}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto AnswerCache::begin(const RequestId &id, const Incarnation target) -> bool
{
    if (target != 0 && target != incarnation_) {
        counters_->add("connection.meant_for_other_incarnation");
        return false;
    }
    const auto known = entries_.find(id);
    if (known != entries_.end()) {
        counters_->add(known->second.state == State::Refused ? "connection.refused_late" : "connection.duplicate");
        return false;
    }
    if (taken_.size() >= settings_.idLimit) {
        forgetOldest();
    }
    entries_.emplace(id, Entry{});
    taken_.push_back({id, clock_->now()});
    return true;
}

auto AnswerCache::complete(const RequestId &id, std::string answer) -> void
{
    const auto known = entries_.find(id);
    if (known == entries_.end() || known->second.state != State::InProgress) {
        return;
    }
    answerBytes_ += answer.size();
    known->second.state = State::Done;
    known->second.answer = std::move(answer);
    answers_.push_back({id, clock_->now()});
    while (answerBytes_ > settings_.answerBytes) {
        counters_->add("connection.answer_evicted");
        dropOldestAnswer();
    }
}

auto AnswerCache::report(const NodeAddress &from, const AnswerQuery &query) -> AnswerReport
{
    AnswerReport report;
    for (const auto &missing : query.missing) {
        report.statuses.push_back({missing.id, stateOf(from, missing)});
    }
    return report;
}

auto AnswerCache::tick() -> void
{
    const auto now = clock_->now();
    while (!answers_.empty() && now - answers_.front().at >= settings_.answerRetention) {
        dropOldestAnswer();
    }
    while (!taken_.empty() && now - taken_.front().at >= settings_.idRetention) {
        erase(taken_.front().id);
        taken_.pop_front();
    }
    while (!refused_.empty() && now - refused_.front().at >= settings_.idRetention) {
        erase(refused_.front().id);
        refused_.pop_front();
    }
}

auto AnswerCache::incarnation() const noexcept -> Incarnation
{
    return incarnation_;
}

auto AnswerCache::answerBytes() const noexcept -> std::size_t
{
    return answerBytes_;
}

auto AnswerCache::stateOf(const NodeAddress &from, const MissingAnswer &missing) -> AnswerState
{
    const auto known = entries_.find(missing.id);
    if (known == entries_.end()) {
        return stateOfUnknown(missing);
    }
    switch (known->second.state) {
    case State::InProgress:
        return AnswerState::InProgress;
    case State::Refused:
        return missing.incarnation == incarnation_ ? AnswerState::NotRun : AnswerState::Unknown;
    case State::Done:
        break;
    }
    if (!known->second.answer) {
        return AnswerState::Ran;
    }
    counters_->add("connection.answer_resent");
    hooks_.resend(from, missing.id, *known->second.answer);
    return AnswerState::Done;
}

auto AnswerCache::stateOfUnknown(const MissingAnswer &missing) -> AnswerState
{
    if (missing.incarnation == 0 || missing.incarnation != incarnation_) {
        counters_->add("connection.other_incarnation");
        return AnswerState::Unknown;
    }
    if (hasForgotten() || refused_.size() >= settings_.refusedLimit) {
        counters_->add("connection.memory_full");
        return AnswerState::Unknown;
    }
    entries_.emplace(missing.id, Entry{State::Refused, std::nullopt});
    refused_.push_back({missing.id, clock_->now()});
    counters_->add("connection.declared_not_run");
    return AnswerState::NotRun;
}

auto AnswerCache::dropOldestAnswer() -> void
{
    const auto entry = entries_.find(answers_.front().id);
    answers_.pop_front();
    if (entry != entries_.end() && entry->second.answer) {
        answerBytes_ -= entry->second.answer->size();
        entry->second.answer.reset();
    }
}

auto AnswerCache::forgetOldest() -> void
{
    erase(taken_.front().id);
    taken_.pop_front();
    forgotAt_ = clock_->now();
    counters_->add("connection.id_forgotten");
}

auto AnswerCache::erase(const RequestId &id) -> void
{
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) {
        return;
    }
    if (entry->second.answer) {
        answerBytes_ -= entry->second.answer->size();
    }
    entries_.erase(entry);
}

auto AnswerCache::hasForgotten() const -> bool
{
    return forgotAt_ && clock_->now() - *forgotAt_ < settings_.idRetention;
}

} // namespace jasminelatch::connection
