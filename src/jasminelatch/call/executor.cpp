#include "executor.hpp"

#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/ticket/ticket.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace jasminelatch::call {

namespace internal {

constexpr Duration announcementLifetime = std::chrono::seconds{2};
constexpr Duration leavingRetryAfter = std::chrono::seconds{1};
constexpr int firstServerError = 500;
constexpr int serviceUnavailable = 503;

auto toRefusal(const RequestId &id, const Refusal &refusal) -> Answer
{
    Answer answer;
    answer.id = id;
    answer.outcome = refusal.outcome;
    answer.reason = refusal.reason;
    answer.retryAfter = refusal.retryAfter;
    return answer;
}

auto isShed(const net::HttpResponse &response) -> bool
{
    return response.status == serviceUnavailable
        && net::header(response.headers, filter::outcomeField) == toString(Outcome::NotRun);
}

auto toCompletion(const BackendResult &result, const Duration latency) -> admission::Completion
{
    switch (result.end) {
    case BackendEnd::Answered:
        break;
    case BackendEnd::TimedOut:
        return {latency, admission::Result::TimedOut};
    case BackendEnd::NotSent:
    case BackendEnd::Lost:
        return {latency, admission::Result::Failed};
    }
    if (isShed(result.response)) {
        return {latency, admission::Result::ShedByBackend};
    }
    const auto failed = result.response.status >= firstServerError;
    return {latency, failed ? admission::Result::Failed : admission::Result::Ok};
}

auto toAnswer(const RequestId &id, BackendResult result) -> Answer
{
    switch (result.end) {
    case BackendEnd::Answered:
        break;
    case BackendEnd::NotSent:
        return toRefusal(id, {RefusalReason::NoBackend, Outcome::NotRun, leavingRetryAfter});
    case BackendEnd::Lost:
        return toRefusal(id, {RefusalReason::BackendLost, Outcome::Unknown, leavingRetryAfter});
    case BackendEnd::TimedOut:
        return toRefusal(id, {RefusalReason::DeadlineExpired, Outcome::Unknown, leavingRetryAfter});
    }
    if (isShed(result.response)) {
        return toRefusal(id, {RefusalReason::Shed, Outcome::NotRun, leavingRetryAfter});
    }
    Answer answer;
    answer.id = id;
    answer.outcome = Outcome::Ran;
    answer.status = result.response.status;
    answer.headers = std::move(result.response.headers);
    answer.body.assign(result.response.body.begin(), result.response.body.end());
    return answer;
}

} // namespace internal

Executor::Executor(NodeAddress self,
                   admission::Settings admission,
                   const secret::FleetSecret &secret,
                   connection::AnswerCache &cache,
                   const Clock &clock,
                   Counters &counters,
                   Hooks hooks)
    : self_{std::move(self)}
    , secret_{&secret}
    , cache_{&cache}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , admission_{admission,
                 clock,
                 counters,
                 {[this](const RequestId &id) { start(id); },
                  [this](const RequestId &id, const Refusal &refusal) {
                      refuse(id, refusal);
                  }}}
{
}

auto Executor::announce(Announcement announcement) -> void
{
    announcedAt_ = clock_->now();
    const auto &known = backend_;
    const auto changed = !known || known->slots != announcement.slots || known->connections != announcement.connections
                      || known->state != announcement.state;
    backendUrl_ = announcement.url;
    backend_ = std::move(announcement);
    if (changed) {
        admission_.setCapacity(backend_->slots, backend_->connections, backend_->state);
    }
}

auto Executor::takesWork() const -> bool
{
    return !leaving_ && backend_ && backend_->state != membership::EndpointState::Draining;
}

auto Executor::receive(const NodeAddress &from, const Attempt &attempt) -> void
{
    if (!cache_->begin(attempt.id, attempt.target)) {
        // The first arrival is answered, or was declared not run to its sender.
        counters_->add("call.duplicate_attempt");
        return;
    }
    if (!takesWork()) {
        refuseNew(from, attempt.id, backend_ ? RefusalReason::Leaving : RefusalReason::NoBackend);
        return;
    }
    if (attempt.remaining <= Duration::zero()) {
        refuseNew(from, attempt.id, RefusalReason::DeadlineExpired);
        return;
    }
    const auto deadline = clock_->now() + attempt.remaining;
    tasks_.emplace(attempt.id, Task{from, attempt, deadline, std::nullopt});
    admission_.submit({attempt.id, attempt.importance, attempt.account, deadline, {}});
}

auto Executor::refuseNew(const NodeAddress &from, const RequestId &id, const RefusalReason reason) -> void
{
    counters_->add(std::string{"call.refused_"}.append(toString(reason)));
    hooks_.reply(from, internal::toRefusal(id, {reason, Outcome::NotRun, internal::leavingRetryAfter}));
}

auto Executor::start(const RequestId &id) -> void
{
    auto &task = tasks_.at(id);
    task.startedAt = clock_->now();
    hooks_.callBackend(toBackendCall(task));
}

auto Executor::toBackendCall(const Task &task) const -> BackendCall
{
    const auto &attempt = task.attempt;
    const ticket::Ticket ticket{self_,
                                attempt.id,
                                attempt.root,
                                attempt.ledger,
                                attempt.account,
                                attempt.importance,
                                attempt.depth,
                                task.deadline};
    BackendCall call;
    call.id = attempt.id;
    call.url = backendUrl_ + attempt.path;
    call.method = attempt.method;
    call.headers = attempt.headers;
    call.timeout = task.deadline - clock_->now();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    call.headers[std::string{filter::ticketField}] = ticket::seal(ticket, *secret_);
    call.headers[std::string{filter::requestIdField}] = attempt.root.text();
    call.headers[std::string{filter::timeoutField}] = std::to_string(std::max<Duration::rep>(1, milliseconds));
    call.body.assign(attempt.body.begin(), attempt.body.end());
    call.freshConnection = !attempt.idempotent;
    return call;
}

auto Executor::refuse(const RequestId &id, const Refusal &refusal) -> void
{
    counters_->add(std::string{"call.refused_"}.append(toString(refusal.reason)));
    finish(id, internal::toRefusal(id, refusal));
}

auto Executor::backendAnswered(const RequestId &attempt, BackendResult result) -> void
{
    const auto position = tasks_.find(attempt);
    if (position == tasks_.end() || !position->second.startedAt) {
        return;
    }
    const auto completion = internal::toCompletion(result, clock_->now() - *position->second.startedAt);
    auto answer = internal::toAnswer(attempt, std::move(result));
    admission_.finish(attempt, completion);
    finish(attempt, std::move(answer));
}

auto Executor::finish(const RequestId &id, Answer answer) -> void
{
    const auto position = tasks_.find(id);
    if (position == tasks_.end()) {
        return;
    }
    const auto from = position->second.from;
    tasks_.erase(position);
    answer.pressure = admission_.pressure();
    hooks_.reply(from, answer);
    hooks_.ended(id);
}

auto Executor::cancel(const RequestId &attempt) -> void
{
    const auto position = tasks_.find(attempt);
    if (position == tasks_.end()) {
        return;
    }
    const auto started = position->second.startedAt.has_value();
    admission_.cancel(attempt);
    if (started) {
        counters_->add("call.cancelled_running");
        hooks_.cancelBackend(attempt);
    }
    const auto outcome = started ? Outcome::Unknown : Outcome::NotRun;
    finish(attempt, internal::toRefusal(attempt, {RefusalReason::Cancelled, outcome, {}}));
}

auto Executor::leave() -> void
{
    leaving_ = true;
}

auto Executor::tick() -> void
{
    if (backend_ && clock_->now() - announcedAt_ > internal::announcementLifetime) {
        counters_->add("call.backend_silent");
        backend_.reset();
    }
    admission_.tick();
}

auto Executor::isRunning(const RequestId &attempt) const -> bool
{
    const auto position = tasks_.find(attempt);
    return position != tasks_.end() && position->second.startedAt.has_value();
}

auto Executor::size() const noexcept -> std::size_t
{
    return tasks_.size();
}

auto Executor::backend() const noexcept -> const std::optional<Announcement> &
{
    return backend_;
}

auto Executor::admission() noexcept -> admission::Controller &
{
    return admission_;
}

} // namespace jasminelatch::call
