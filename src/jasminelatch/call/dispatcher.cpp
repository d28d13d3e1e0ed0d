#include "dispatcher.hpp"

#include <utility>

namespace jasminelatch::call {

namespace internal {

constexpr Duration noInstanceRetryAfter = std::chrono::seconds{1};
constexpr int firstServerError = 500;

auto toResult(const RefusalReason reason, const Outcome outcome, const Duration retryAfter) -> JobResult
{
    return {Refusal{reason, outcome, retryAfter}, {}};
}

auto toResult(const Answer &answer) -> JobResult
{
    if (answer.reason) {
        return toResult(*answer.reason, answer.outcome, answer.retryAfter);
    }
    return {std::nullopt, {answer.status, answer.headers, std::string{answer.body.begin(), answer.body.end()}}};
}

auto isFailure(const Answer &answer) -> bool
{
    return answer.reason.has_value() || answer.status >= firstServerError;
}

/*! @brief Returns why an answer allows a retry, or nothing when trying again is useless. */
auto retryReason(const Answer &answer) -> std::optional<retry::Reason>
{
    if (!answer.reason) {
        return retry::Reason::BackendFailed;
    }
    switch (*answer.reason) {
    case RefusalReason::Leaving:
    case RefusalReason::NoBackend:
        return retry::Reason::LeavingNotRun;
    case RefusalReason::Shed:
    case RefusalReason::QueueFull:
        return retry::Reason::ShedNotRun;
    case RefusalReason::BackendFailed:
        return retry::Reason::BackendFailed;
    case RefusalReason::BackendLost:
        return retry::Reason::BackendLost;
    default:
        return std::nullopt;
    }
}

auto toPickerResult(const Answer &answer) -> balance::Result
{
    if (!answer.reason) {
        return answer.status >= firstServerError ? balance::Result::Failed : balance::Result::Ok;
    }
    if (*answer.reason == RefusalReason::Leaving) {
        return balance::Result::Silent;
    }
    const auto isFault = *answer.reason == RefusalReason::BackendFailed || *answer.reason == RefusalReason::BackendLost
                      || *answer.reason == RefusalReason::NoBackend;
    return isFault ? balance::Result::Failed : balance::Result::Refused;
}

} // namespace internal

Dispatcher::Dispatcher(
    const Clock &clock, Counters &counters, balance::Picker &picker, retry::Asker &asker, Hooks hooks)
    : clock_{&clock}
    , counters_{&counters}
    , picker_{&picker}
    , asker_{&asker}
    , hooks_{std::move(hooks)}
{
}

auto Dispatcher::dispatch(Job job) -> void
{
    const auto id = job.id;
    asker_->dispatched(job.attempt.service);
    running_[id].job = std::move(job);
    attemptSomewhere(id);
}

auto Dispatcher::attemptSomewhere(const RequestId job) -> void
{
    const auto position = running_.find(job);
    if (position == running_.end()) {
        return;
    }
    auto &running = position->second;
    auto node = picker_->pick(running.job.attempt.service, running.tried);
    if (!node && !running.tried.empty()) {
        running.tried.clear();
        node = picker_->pick(running.job.attempt.service, running.tried);
    }
    if (!node) {
        const auto outcome = running.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        finish(job, internal::toResult(RefusalReason::NoBackend, outcome, internal::noInstanceRetryAfter));
        return;
    }
    attemptOn(running, *node);
}

auto Dispatcher::attemptOn(Running &running, const NodeAddress &node) -> void
{
    running.node = node;
    running.tried.push_back(node);
    running.attempt = hooks_.newAttemptId();
    jobOfAttempt_[*running.attempt] = running.job.id;
    picker_->started(node);
    auto attempt = running.job.attempt;
    attempt.id = *running.attempt;
    attempt.remaining = running.job.deadline - clock_->now();
    hooks_.send(node, attempt);
}

auto Dispatcher::takeAttempt(const RequestId &attempt) -> Running *
{
    const auto position = jobOfAttempt_.find(attempt);
    if (position == jobOfAttempt_.end()) {
        return nullptr;
    }
    auto &running = running_.at(position->second);
    jobOfAttempt_.erase(position);
    running.attempt.reset();
    return &running;
}

auto Dispatcher::receive(const NodeAddress &from, const Answer &answer) -> void
{
    auto *running = takeAttempt(answer.id);
    if (running == nullptr) {
        counters_->add("call.late_answer");
        return;
    }
    picker_->finished(from, internal::toPickerResult(answer), answer.pressure);
    if (answer.pressure) {
        hooks_.pressure(running->job.attempt, from, *answer.pressure);
    }
    if (!internal::isFailure(answer)) {
        finish(running->job.id, internal::toResult(answer));
        return;
    }
    const auto reason = internal::retryReason(answer);
    if (!reason) {
        finish(running->job.id, internal::toResult(answer));
        return;
    }
    onFailure(*running, *reason, internal::toResult(answer), answer.outcome);
}

auto Dispatcher::lost(const RequestId &attempt, const Outcome outcome) -> void
{
    auto *running = takeAttempt(attempt);
    if (running == nullptr) {
        return;
    }
    picker_->finished(running->node, balance::Result::Silent, std::nullopt);
    auto result = internal::toResult(RefusalReason::BackendLost, outcome, internal::noInstanceRetryAfter);
    onFailure(*running, retry::Reason::NodeLost, std::move(result), outcome);
}

auto Dispatcher::peerSilent(const NodeAddress &node) -> std::vector<RequestId>
{
    std::vector<RequestId> attempts;
    for (const auto &[id, running] : running_) {
        if (running.attempt && running.node == node && running.job.attempt.idempotent) {
            attempts.push_back(*running.attempt);
        }
    }
    for (const auto &attempt : attempts) {
        lost(attempt, Outcome::Unknown);
    }
    return attempts;
}

auto Dispatcher::onFailure(Running &running, const retry::Reason reason, JobResult result, const Outcome outcome)
    -> void
{
    running.mayHaveRun = running.mayHaveRun || outcome != Outcome::NotRun;
    const auto id = running.job.id;
    if (running.mayHaveRun && !running.job.attempt.idempotent) {
        finish(id, std::move(result));
        return;
    }
    const auto &attempt = running.job.attempt;
    const retry::Need need{
        attempt.root, attempt.ledger, attempt.service, reason, running.job.deadline - clock_->now(), running.retries};
    asker_->ask(need, [this, id, last = std::move(result)](const bool granted) {
        const auto position = running_.find(id);
        if (position == running_.end()) {
            return;
        }
        if (!granted) {
            finish(id, last);
            return;
        }
        counters_->add("call.retried");
        ++position->second.retries;
        attemptSomewhere(id);
    });
}

auto Dispatcher::cancel(const RequestId &job) -> void
{
    const auto position = running_.find(job);
    if (position == running_.end()) {
        return;
    }
    if (position->second.attempt) {
        const auto attempt = *position->second.attempt;
        const auto node = position->second.node;
        jobOfAttempt_.erase(attempt);
        picker_->finished(node, balance::Result::Refused, std::nullopt);
        hooks_.cancel(node, attempt);
    }
    running_.erase(job);
}

auto Dispatcher::tick() -> void
{
    const auto now = clock_->now();
    std::vector<RequestId> expired;
    for (const auto &[id, running] : running_) {
        if (running.job.deadline <= now) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        expire(running_.at(id));
    }
}

auto Dispatcher::expire(Running &running) -> void
{
    const auto id = running.job.id;
    const auto isOut = running.attempt.has_value();
    const auto outcome = isOut || running.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (isOut) {
        const auto attempt = *running.attempt;
        const auto node = running.node;
        takeAttempt(attempt);
        picker_->finished(node, balance::Result::Failed, std::nullopt);
        hooks_.cancel(node, attempt);
    }
    finish(id, internal::toResult(RefusalReason::DeadlineExpired, outcome, internal::noInstanceRetryAfter));
}

auto Dispatcher::finish(const RequestId job, JobResult result) -> void
{
    const auto position = running_.find(job);
    if (position == running_.end()) {
        return;
    }
    // "Not run" speaks of the last attempt alone; an earlier one may have run.
    if (result.refusal && result.refusal->outcome == Outcome::NotRun && position->second.mayHaveRun) {
        result.refusal->outcome = Outcome::Unknown;
    }
    running_.erase(position);
    hooks_.done(job, std::move(result));
}

auto Dispatcher::size() const noexcept -> std::size_t
{
    return running_.size();
}

} // namespace jasminelatch::call
