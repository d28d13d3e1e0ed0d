#include "local_instance.hpp"

#include <string_view>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Interval at which waiting requests that can't finish any more are looked for. */
constexpr Duration sweepInterval = std::chrono::milliseconds{20};
/*! @brief Time after which a request that found its instance gone or leaving may come back. */
constexpr Duration elsewhereRetry = std::chrono::milliseconds{200};

/*! @brief Beginning of the errors of answers that came but could not be read. */
constexpr std::string_view malformed = "malformed";

} // namespace internal

LocalInstance::LocalInstance(Context context, const event::Endpoint &address, std::string service)
    : context_{context}
    , address_{address}
    , service_{std::move(service)}
    , pool_{context.loop, address, {.echoField = context.dialect.echoField, .budget = &context.budget}}
    , gate_{{}}
    , breaker_{{}}
{
}

auto LocalInstance::report(const mesh::InstanceReport &report) -> bool
{
    const auto before = record_.report();
    if (!record_.apply(report)) {
        return false;
    }
    const auto &latest = record_.report();
    const auto isNewStart = before.id != latest.id || before.startTimeMs != latest.startTimeMs;
    if (isNewStart) {
        pool_.reset();
        breaker_.reset();
    }
    if (isNewStart || before.state != latest.state) {
        context_.log.write("instance_state",
                           {{"instance", latest.id},
                            {"state", static_cast<int>(latest.state)},
                            {"sequence", latest.sequence},
                            {"slots", latest.slots}});
    }
    gate_.setSlots(latest.slots);
    if (!isAccepting()) {
        refuseQueue();
    }
    advance();
    return true;
}

auto LocalInstance::refuseQueue() -> void
{
    for (const auto name : gate_.clearQueue()) {
        reply(name, refusal(mesh::HopReason::Leaving, internal::elsewhereRetry));
    }
}

auto LocalInstance::queryHealth(const std::string &path, std::function<void(const mesh::InstanceReport &report)> found)
    -> void
{
    const mesh::Request request{"GET", path, {{"Host", event::toText(address_)}}, {}};
    pool_.send(request, true, [this, found = std::move(found)](const HttpConnection::Result &result) {
        const auto report = result.answer ? context_.dialect.readHealth(*result.answer) : std::nullopt;
        context_.log.write("instance_asked", {{"healthy", report.has_value()}, {"error", result.error}});
        if (report) {
            found(*report);
        }
    });
}

auto LocalInstance::stopAccepting() -> void
{
    stopped_ = true;
    refuseQueue();
}

auto LocalInstance::isAccepting() const -> bool
{
    return record_.isReady() && !stopped_;
}

auto LocalInstance::submit(mesh::HopRequest request, Finished finished) -> std::uint64_t
{
    const auto name = ++lastName_;
    const auto now = context_.loop.now();
    const auto startBy = now + request.waitLimit;
    const mesh::InstanceGate::Item item{name, request.rank, request.route, request.deadline, startBy};
    const auto &latest = record_.report();
    const auto isHere = request.service == service_ && (request.instanceId.empty() || request.instanceId == latest.id);
    const auto left = request.deadline - now;
    auto &entry = entries_[name];
    entry.request = std::move(request);
    entry.finished = std::move(finished);
    entry.submittedAt = now;
    const auto refuse = [&](const mesh::HopReason reason, const Duration retryAfter) {
        context_.loop.defer([this, name, answer = refusal(reason, retryAfter)] { reply(name, answer); });
    };
    if (!isHere || latest.id.empty()) {
        refuse(mesh::HopReason::WrongInstance, internal::elsewhereRetry);
        return name;
    }
    if (!isAccepting()) {
        refuse(mesh::HopReason::Leaving, internal::elsewhereRetry);
        return name;
    }
    const auto decision = gate_.offer(item, now);
    if (decision.kind == mesh::InstanceGate::Decision::Kind::Refuse) {
        refuse(mesh::HopReason::QueueFull, decision.retryAfter);
        return name;
    }
    entry.deadlineTimer = context_.loop.after(left, [this, name] { deadlinePassed(name); });
    if (decision.kind == mesh::InstanceGate::Decision::Kind::Run) {
        run(name);
    } else {
        scheduleSweep();
    }
    return name;
}

auto LocalInstance::cancel(const std::uint64_t name) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    context_.loop.cancel(found->second.deadlineTimer);
    if (found->second.sending != 0) {
        pool_.cancel(found->second.sending);
        runEnded(found->second);
    }
    gate_.finish(name, Duration::zero());
    entries_.erase(found);
    advance();
}

auto LocalInstance::latest() const noexcept -> const mesh::InstanceReport &
{
    return record_.report();
}

auto LocalInstance::load() const -> mesh::InstanceLoad
{
    return gate_.load();
}

auto LocalInstance::activeRequests() const -> std::size_t
{
    return entries_.size();
}

auto LocalInstance::run(const std::uint64_t name) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        // A hook called just before has withdrawn it.
        gate_.finish(name, Duration::zero());
        return;
    }
    auto &entry = found->second;
    auto &hop = entry.request;
    entry.startedAt = context_.loop.now();
    context_.counters.observe("instance.wait_time", entry.startedAt - entry.submittedAt);
    if (!breaker_.allows(hop.idempotent, entry.startedAt)) {
        holdBack(name);
        return;
    }
    hop.instanceId = record_.report().id;
    context_.dialect.addForwardingFields(hop.request, hop, hop.deadline - entry.startedAt);
    context_.learner.runStarted(hop.route, hop.deadline);
    entry.sending = pool_.send(hop.request, hop.idempotent, [this, name](HttpConnection::Result result) {
        answered(name, std::move(result));
    });
    // The body is on its way; keeping a second copy would only cost memory.
    hop.request.body = {};
}

auto LocalInstance::holdBack(const std::uint64_t name) -> void
{
    gate_.finish(name, Duration::zero());
    context_.loop.defer([this, name] {
        reply(name, refusal(mesh::HopReason::Unreachable, internal::elsewhereRetry));
        advance();
    });
}

auto LocalInstance::noteLife(const HttpConnection::Result &result) -> void
{
    const auto wasLost = breaker_.isOpen();
    if (result.answer) {
        breaker_.recordAnswer();
    } else if (!result.error.starts_with(internal::malformed)) {
        breaker_.recordLoss(context_.loop.now());
    }
    if (breaker_.isOpen() != wasLost) {
        context_.log.write(
            wasLost ? "instance_regained" : "instance_lost",
            {{"instance", record_.report().id}, {"lost_part", breaker_.lossRate()}, {"error", result.error}});
    }
}

auto LocalInstance::answered(const std::uint64_t name, HttpConnection::Result result) -> void
{
    const auto runTime = context_.loop.now() - entries_.at(name).startedAt;
    context_.counters.observe("instance.run_time", runTime);
    runEnded(entries_.at(name));
    noteLife(result);
    auto word = judge(std::move(result));
    constexpr unsigned firstFailure = 500;
    const auto wholeRun = word.outcome == mesh::HopOutcome::Answered && word.answer.status < firstFailure;
    gate_.finish(name, wholeRun ? runTime : Duration::zero());
    reply(name, std::move(word));
    advance();
}

auto LocalInstance::runEnded(const Entry &entry) -> void
{
    const auto &hop = entry.request;
    context_.learner.runEnded(hop.route, hop.deadline, context_.loop.now() - entry.startedAt);
}

auto LocalInstance::judge(HttpConnection::Result &&result) -> mesh::HopReply
{
    mesh::HopReply word;
    word.load = gate_.load();
    if (!result.answer) {
        word.reached = result.sent;
        word.outcome = result.sent ? mesh::HopOutcome::Unknown : mesh::HopOutcome::NotRun;
        const auto isMalformed = result.error.starts_with(internal::malformed);
        word.reason = !result.sent ? mesh::HopReason::Unreachable
                    : isMalformed  ? mesh::HopReason::BadAnswer
                                   : mesh::HopReason::Lost;
        word.retryAfter = internal::elsewhereRetry;
        return word;
    }
    const auto verdict = context_.dialect.readOutcome(*result.answer);
    word.reached = true;
    if (verdict.notExecuted || verdict.wrongInstance) {
        word.outcome = mesh::HopOutcome::NotRun;
        word.reason = verdict.wrongInstance ? mesh::HopReason::WrongInstance : mesh::HopReason::Rejected;
        word.retryAfter = internal::elsewhereRetry;
        return word;
    }
    word.outcome = mesh::HopOutcome::Answered;
    word.answer = std::move(*result.answer);
    mesh::removeHopByHopFields(word.answer.fields);
    return word;
}

auto LocalInstance::deadlinePassed(const std::uint64_t name) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    found->second.deadlineTimer = 0;
    const auto sending = std::exchange(found->second.sending, 0);
    if (sending != 0) {
        pool_.cancel(sending);
        runEnded(found->second);
    }
    gate_.finish(name, Duration::zero());
    auto word = refusal(mesh::HopReason::Expired, internal::elsewhereRetry);
    if (sending != 0) {
        word.outcome = mesh::HopOutcome::Unknown;
        word.reached = true;
    }
    reply(name, std::move(word));
    advance();
}

auto LocalInstance::reply(const std::uint64_t name, mesh::HopReply reply) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    context_.loop.cancel(found->second.deadlineTimer);
    const auto finished = std::move(found->second.finished);
    if (reply.outcome != mesh::HopOutcome::Answered) {
        const auto &request = found->second.request;
        context_.counters.add("instance." + std::string{mesh::toText(reply.reason)});
        context_.log.write("instance_refused",
                           {{"id", request.attemptId},
                            {"route", request.route},
                            {"rank", request.rank},
                            {"reason", mesh::toText(reply.reason)},
                            {"outcome", static_cast<int>(reply.outcome)},
                            {"left_ms", (request.deadline - context_.loop.now()).count() / 1000},
                            {"running", reply.load.running},
                            {"queued", reply.load.queued},
                            {"limit", reply.load.limit}});
    }
    entries_.erase(found);
    finished(std::move(reply));
}

auto LocalInstance::advance() -> void
{
    const auto turn = gate_.dispatch(context_.loop.now());
    for (const auto &refused : turn.refused) {
        reply(refused.id, refusal(mesh::HopReason::Expired, refused.retryAfter));
    }
    for (const auto name : turn.run) {
        run(name);
    }
    if (gate_.load().queued > 0) {
        scheduleSweep();
    }
}

auto LocalInstance::scheduleSweep() -> void
{
    if (sweepTimer_ == 0) {
        sweepTimer_ = context_.loop.after(internal::sweepInterval, [this] {
            sweepTimer_ = 0;
            advance();
        });
    }
}

auto LocalInstance::refusal(const mesh::HopReason reason, const Duration retryAfter) const -> mesh::HopReply
{
    mesh::HopReply word;
    word.outcome = mesh::HopOutcome::NotRun;
    word.reason = reason;
    word.retryAfter = retryAfter;
    word.load = gate_.load();
    return word;
}

} // namespace jasminelatch::sidecar
