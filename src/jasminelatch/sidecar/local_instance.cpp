#include "local_instance.hpp"

#include <algorithm>
#include <random>
#include <span>
#include <string_view>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Interval at which queued requests that can no longer finish in time are removed. */
constexpr Duration sweepInterval = std::chrono::milliseconds{20};
/*! @brief `Retry-After` of a request whose instance is unreachable, leaving or another one. */
constexpr Duration unavailableRetryAfter = std::chrono::milliseconds{200};

/*! @brief First status code that reports a failure of the server. */
constexpr unsigned firstServerError = 500;
/*! @brief Longest time for which the reply to a lost request is held back until it is known whether the instance has
 * crashed. */
constexpr Duration maxLossDelay = std::chrono::milliseconds{20};
/*! @brief Minimum interval between checks for a crash, as an overloaded instance may reset many connections. */
constexpr Duration crashCheckInterval = std::chrono::milliseconds{20};
/*! @brief Interval at which a crashed instance is checked for accepting connections. */
constexpr Duration availabilityCheckInterval = std::chrono::milliseconds{500};
/*! @brief Time after which a check's connection fails. */
constexpr Duration checkTimeout = std::chrono::seconds{1};
/*! @brief Largest number of requests named in the log line of a crash. */
constexpr std::size_t maxLoggedSuspects = 20;
/*! @brief Interval between log lines while the instance limits its rate. */
constexpr Duration rateLimitLogInterval = std::chrono::seconds{1};

/*! @brief Time after which another health query is sent while one is not answered, as the instance may queue it. */
constexpr Duration healthQueryInterval = std::chrono::seconds{2};
/*! @brief Time without an answer, with losses meanwhile, after which the instance may have started anew. */
constexpr Duration restartSilence = std::chrono::seconds{1};
/*! @brief Maximum length of a request target in a log line. */
constexpr std::size_t maxLoggedTarget = 100;

/*! @brief Prefix of `HttpConnection` errors for responses that arrived but could not be parsed. */
constexpr std::string_view malformedPrefix = "malformed";

/*! @brief Returns a random id other than zero. */
auto randomId() -> std::uint64_t
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>{1}(device);
}

} // namespace internal

LocalInstance::LocalInstance(Context context, const event::Endpoint &address, std::string service, Hooks hooks)
    : context_{context}
    , address_{address}
    , service_{std::move(service)}
    , hooks_{std::move(hooks)}
    , pool_{context.loop, address, {.echoField = context.dialect.echoField, .budget = &context.budget}}
    , gate_{context.gate}
    , breaker_{{}}
    , rateLimitLoggedAt_{context.loop.now()}
{
    gate_.awaitFirstAnswer(context_.loop.now());
}

auto LocalInstance::report(const mesh::InstanceReport &report, const bool isRunning) -> bool
{
    const auto before = record_.report();
    if (isLeavingUnnamed_ && report.state == mesh::InstanceState::Ready) {
        // It may have been sent before the instance began to leave.
        return false;
    }
    if (!record_.apply(report, isRunning)) {
        return false;
    }
    isLeavingUnnamed_ = false;
    const auto &latest = record_.report();
    if (!before.id.empty() && !mesh::isSameStart(before, latest)) {
        gate_.resetRateLimit();
        gate_.capacity().reset();
    }
    const auto hasRestarted = before.id != latest.id || before.startTimeMs != latest.startTimeMs;
    if (hasRestarted) {
        unconfirmedSince_.reset();
        pool_.reset();
        breaker_.reset();
        markUp();
        if (!before.id.empty()) {
            suspectColdStart("start");
        }
    }
    applyColdStart(latest.coldStartRemaining, std::nullopt);
    if (hasRestarted || before.state != latest.state) {
        context_.log.write("instance_state",
                           {{"instance", latest.id},
                            {"state", static_cast<int>(latest.state)},
                            {"sequence", latest.sequence},
                            {"start_ms", latest.startTimeMs},
                            {"slots", latest.slots}});
    }
    gate_.setSlots(latest.slots);
    if (!isAccepting()) {
        refuseQueued(mesh::HopReason::Leaving);
    }
    advance();
    return true;
}

auto LocalInstance::refuseQueued(const mesh::HopReason reason) -> void
{
    for (const auto requestId : gate_.clearQueue()) {
        complete(requestId, refusal(reason, internal::unavailableRetryAfter));
    }
}

auto LocalInstance::queryHealth(const std::string &path, std::function<void(const mesh::InstanceReport &report)> found)
    -> void
{
    const auto now = context_.loop.now();
    if (healthQueriedAt_ && now - *healthQueriedAt_ < internal::healthQueryInterval) {
        return;
    }
    healthQueriedAt_ = now;
    const mesh::Request request{"GET", path, {{"Host", event::toText(address_)}}, {}};
    pool_.send(request, true, [this, found = std::move(found), now](const HttpConnection::Result &result) {
        healthQueriedAt_.reset();
        if (result.answer && updateCondition(*result.answer)) {
            isLeavingUnnamed_ = record_.report().id.empty();
            markLeaving();
            return;
        }
        const auto report = result.answer ? context_.dialect.readHealth(*result.answer) : std::nullopt;
        context_.log.write("instance_asked", {{"healthy", report.has_value()}, {"error", result.error}});
        if (report) {
            isLeavingUnnamed_ = false;
            if (unconfirmedSince_ && now >= *unconfirmedSince_ && report->id == record_.report().id) {
                confirm();
            }
            found(*report);
            applyColdStart(report->coldStartRemaining, now);
            advance();
        }
    });
}

auto LocalInstance::setEvacuated(const bool isEvacuated) -> void
{
    if (std::exchange(isEvacuated_, isEvacuated) == isEvacuated) {
        return;
    }
    if (isEvacuated) {
        refuseQueued(mesh::HopReason::Leaving);
    } else {
        suspectColdStart("evacuation_ended");
    }
}

auto LocalInstance::setColdStart(const Duration duration, const double ratePerSecond) -> void
{
    gate_.coldStart().setTerms(duration, ratePerSecond);
    if (!std::exchange(hasColdStartTerms_, true)) {
        suspectColdStart("node_start");
    }
}

auto LocalInstance::suspectColdStart(const std::string_view cause) -> void
{
    gate_.coldStart().suspect(context_.loop.now());
    logColdStart(cause);
}

auto LocalInstance::isColdStartSuspected() const -> bool
{
    return gate_.coldStart().isSuspected(context_.loop.now());
}

auto LocalInstance::coldStartRemaining() const -> Duration
{
    return gate_.coldStart().remaining(context_.loop.now());
}

auto LocalInstance::applyColdStart(const Duration left, const std::optional<TimePoint> askedAt) -> void
{
    const auto now = context_.loop.now();
    auto &coldStart = gate_.coldStart();
    const auto wasLimited = coldStart.isLimited(now);
    if (askedAt) {
        coldStart.applyAnswer(left, *askedAt, now);
    } else {
        coldStart.applyStated(left, now);
    }
    if (coldStart.isLimited(now) != wasLimited) {
        logColdStart(askedAt ? "health" : "heartbeat");
    }
}

auto LocalInstance::logColdStart(const std::string_view cause) -> void
{
    const auto now = context_.loop.now();
    if (gate_.coldStart().rate() <= 0.0) {
        return;
    }
    context_.log.write("instance_cold",
                       {{"instance", record_.report().id},
                        {"cause", cause},
                        {"left_ms", gate_.coldStart().remaining(now) / std::chrono::milliseconds{1}},
                        {"rate", gate_.coldStart().rate()}});
}

auto LocalInstance::markLeaving() -> void
{
    if (!record_.isReady()) {
        return;
    }
    record_.markLeaving();
    context_.log.write("instance_leaving", {{"instance", record_.report().id}});
    refuseQueued(mesh::HopReason::Leaving);
    hooks_.departed();
}

auto LocalInstance::awaitConfirmation() -> void
{
    if (!record_.isReady()) {
        return;
    }
    unconfirmedSince_ = context_.loop.now();
    context_.log.write("instance_unconfirmed", {{"instance", record_.report().id}});
    refuseQueued(mesh::HopReason::Leaving);
    hooks_.availabilityChanged();
}

auto LocalInstance::confirm() -> void
{
    if (!std::exchange(unconfirmedSince_, std::nullopt)) {
        return;
    }
    context_.log.write("instance_confirmed", {{"instance", record_.report().id}});
    hooks_.availabilityChanged();
}

auto LocalInstance::isUnconfirmed() const -> bool
{
    return record_.isReady() && unconfirmedSince_.has_value();
}

auto LocalInstance::stopAccepting() -> void
{
    stopped_ = true;
    refuseQueued(mesh::HopReason::Leaving);
}

auto LocalInstance::isAccepting() const -> bool
{
    return record_.isReady() && !unconfirmedSince_ && !stopped_ && !isEvacuated_;
}

auto LocalInstance::isAvailable() const -> bool
{
    return isAccepting() && !isDown_;
}

auto LocalInstance::submit(mesh::HopRequest request, Finished finished) -> std::uint64_t
{
    const auto requestId = ++lastRequestId_;
    const auto now = context_.loop.now();
    const auto startBy = now + request.waitLimit;
    const auto suspicion = context_.crashes.suspicion(request.fingerprint, request.crashes, now);
    const mesh::InstanceGate::Item item{
        requestId, request.rank, request.route, request.deadline, startBy, suspicion.crashes};
    const auto &latest = record_.report();
    const auto isLocal = request.service == service_ && (request.instanceId.empty() || request.instanceId == latest.id);
    const auto timeLeft = request.deadline - now;
    auto &pending = pending_[requestId];
    pending.request = std::move(request);
    pending.finished = std::move(finished);
    pending.submittedAt = now;
    const auto refuse = [&](const mesh::HopReason reason, const Duration retryAfter) {
        context_.loop.defer([this, requestId, answer = refusal(reason, retryAfter)] { complete(requestId, answer); });
    };
    if (!isLocal || latest.id.empty()) {
        refuse(mesh::HopReason::WrongInstance, internal::unavailableRetryAfter);
        return requestId;
    }
    if (!isAccepting()) {
        refuse(mesh::HopReason::Leaving, internal::unavailableRetryAfter);
        return requestId;
    }
    if (isDown_) {
        refuse(mesh::HopReason::Unreachable, internal::unavailableRetryAfter);
        return requestId;
    }
    if (suspicion.quarantine > Duration::zero()) {
        refuse(mesh::HopReason::QueueFull, suspicion.quarantine);
        return requestId;
    }
    const auto decision = gate_.offer(item, now);
    if (decision.kind == mesh::InstanceGate::Decision::Kind::Refuse) {
        refuse(mesh::HopReason::QueueFull, decision.retryAfter);
        return requestId;
    }
    pending.deadlineTimer = context_.loop.after(timeLeft, [this, requestId] { handleDeadline(requestId); });
    if (decision.kind == mesh::InstanceGate::Decision::Kind::Run) {
        run(requestId);
    } else {
        scheduleSweep();
    }
    return requestId;
}

auto LocalInstance::cancel(const std::uint64_t requestId) -> void
{
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) {
        return;
    }
    context_.loop.cancel(found->second.deadlineTimer);
    if (found->second.poolRequestId != 0) {
        pool_.cancel(found->second.poolRequestId);
        recordRunEnd(found->second);
    }
    gate_.finish(requestId, Duration::zero());
    pending_.erase(found);
    advance();
}

auto LocalInstance::withdraw(const std::uint64_t requestId) -> void
{
    if (!gate_.isQueued(requestId)) {
        return;
    }
    gate_.finish(requestId, Duration::zero());
    context_.loop.defer([this, requestId] {
        complete(requestId, refusal(mesh::HopReason::Cancelled, internal::unavailableRetryAfter));
    });
}

auto LocalInstance::setFleetProfiles(const std::map<std::string, mesh::RouteProfile> &profiles) -> void
{
    gate_.setFleetProfiles(profiles);
}

auto LocalInstance::setInstanceCount(const std::size_t count) -> void
{
    gate_.setInstanceCount(count);
}

auto LocalInstance::latest() const noexcept -> const mesh::InstanceReport &
{
    return record_.report();
}

auto LocalInstance::load() const -> mesh::InstanceLoad
{
    return gate_.load(context_.loop.now());
}

auto LocalInstance::isAwaitingFirstAnswer() const -> bool
{
    return gate_.isAwaitingAnswer();
}

auto LocalInstance::rateLimit() const -> std::optional<double>
{
    return gate_.rateLimit();
}

auto LocalInstance::capacity() const -> const mesh::CapacityEstimator &
{
    return gate_.capacity();
}

auto LocalInstance::activeRequests() const -> std::size_t
{
    return pending_.size();
}

auto LocalInstance::run(const std::uint64_t requestId) -> void
{
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) {
        // A callback of this pass has cancelled it.
        gate_.finish(requestId, Duration::zero());
        return;
    }
    auto &pending = found->second;
    auto &hop = pending.request;
    pending.startedAt = context_.loop.now();
    context_.counters.observe("instance.wait_time", pending.startedAt - pending.submittedAt);
    if (!breaker_.allows(hop.idempotent, pending.startedAt)) {
        refuseUnreachable(requestId);
        return;
    }
    hop.instanceId = record_.report().id;
    pending.instanceStartMs = record_.report().startTimeMs;
    ++startedSinceLog_;
    context_.dialect.addForwardingFields(hop.request, hop, hop.deadline - pending.startedAt);
    context_.learner.runStarted(hop.route, hop.deadline);
    pending.poolRequestId = pool_.send(hop.request, hop.idempotent, [this, requestId](HttpConnection::Result result) {
        handleResult(requestId, std::move(result));
    });
    // The stream holds the body; holding it any longer would only cost memory.
    hop.request.body = {};
}

auto LocalInstance::refuseUnreachable(const std::uint64_t requestId) -> void
{
    gate_.finish(requestId, Duration::zero());
    context_.loop.defer([this, requestId] {
        complete(requestId, refusal(mesh::HopReason::Unreachable, internal::unavailableRetryAfter));
        advance();
    });
}

auto LocalInstance::updateBreaker(const HttpConnection::Result &result) -> void
{
    const auto wasLost = breaker_.isOpen();
    const auto now = context_.loop.now();
    if (result.answer) {
        breaker_.recordAnswer();
        if (std::exchange(hasLostSinceAnswer_, false) && now - answeredAt_ > internal::restartSilence) {
            suspectColdStart("silence");
        }
        answeredAt_ = now;
    } else if (!result.error.starts_with(internal::malformedPrefix)) {
        breaker_.recordLoss(now);
        hasLostSinceAnswer_ = true;
    }
    if (breaker_.isOpen() != wasLost) {
        context_.log.write(
            wasLost ? "instance_regained" : "instance_lost",
            {{"instance", record_.report().id}, {"lost_part", breaker_.lossRate()}, {"error", result.error}});
    }
}

auto LocalInstance::handleResult(const std::uint64_t requestId, HttpConnection::Result result) -> void
{
    const auto runTime = context_.loop.now() - pending_.at(requestId).startedAt;
    context_.counters.observe("instance.run_time", runTime);
    recordRunEnd(pending_.at(requestId));
    updateBreaker(result);
    if (!result.answer && result.sent && !result.error.starts_with(internal::malformedPrefix)) {
        handleLoss(requestId, std::move(result));
        return;
    }
    if (!result.sent && event::isRefused(result.error)) {
        pending_.at(requestId).poolRequestId = 0;
        handleCrash();
    }
    const auto isLeaving = result.answer && isSentToLatestStart(requestId) && updateCondition(*result.answer);
    auto reply = toReply(std::move(result));
    if (reply.outcome == mesh::HopOutcome::Answered && reply.answer.status < internal::firstServerError) {
        context_.crashes.recordSurvival(pending_.at(requestId).request.fingerprint);
    }
    const auto hasSucceeded =
        reply.outcome == mesh::HopOutcome::Answered && reply.answer.status < internal::firstServerError;
    gate_.finish(requestId, hasSucceeded ? runTime : Duration::zero());
    logCapacity();
    complete(requestId, std::move(reply));
    if (isLeaving) {
        markLeaving();
    }
    advance();
}

auto LocalInstance::handleLoss(const std::uint64_t requestId, HttpConnection::Result result) -> void
{
    auto &pending = pending_.at(requestId);
    pending.poolRequestId = 0;
    gate_.finish(requestId, Duration::zero());
    pending.lostReply = toReply(std::move(result));
    lost_.push_back(pending.request.fingerprint);
    if (crash_ != 0) {
        // It was recorded with the other requests that were running.
        releaseLost();
    } else {
        scheduleCrashCheck();
    }
}

auto LocalInstance::scheduleCrashCheck() -> void
{
    if (releaseTimer_ == 0) {
        releaseTimer_ = context_.loop.after(internal::maxLossDelay, [this] {
            releaseTimer_ = 0;
            releaseLost();
            advance();
        });
    }
    if (crashCheckTimer_ != 0 || crashCheck_) {
        return;
    }
    const auto next = crashCheckedAt_ + internal::crashCheckInterval - context_.loop.now();
    crashCheckTimer_ = context_.loop.after(std::max<Duration>(next, Duration::zero()), [this] {
        crashCheckTimer_ = 0;
        checkForCrash();
    });
}

auto LocalInstance::checkForCrash() -> void
{
    crashCheckedAt_ = context_.loop.now();
    checkedLosses_ = std::exchange(lost_, {});
    crashCheck_ = connectOnce([this](const bool isRefused) {
        context_.loop.destroyLater(std::move(crashCheck_));
        finishCrashCheck(isRefused);
    });
}

auto LocalInstance::connectOnce(std::function<void(bool isRefused)> finished) -> std::unique_ptr<event::Stream>
{
    return std::make_unique<event::Stream>(
        context_.loop,
        address_,
        internal::checkTimeout,
        event::Stream::Hooks{[](std::span<const char>) {},
                             [finished](const std::string_view reason) { finished(event::isRefused(reason)); },
                             [finished] { finished(false); },
                             {}});
}

auto LocalInstance::finishCrashCheck(const bool hasCrashed) -> void
{
    if (hasCrashed) {
        handleCrash();
    } else if (lost_.empty()) {
        releaseLost();
    } else {
        // These were lost while the check was under way.
        scheduleCrashCheck();
    }
    checkedLosses_.clear();
    advance();
}

auto LocalInstance::handleCrash() -> void
{
    if (std::exchange(isDown_, true)) {
        return;
    }
    recordCrash();
    context_.log.write("instance_down", {{"instance", record_.report().id}});
    refuseQueued(mesh::HopReason::Unreachable);
    hooks_.availabilityChanged();
    releaseLost();
    scheduleAvailabilityCheck();
}

auto LocalInstance::recordCrash() -> void
{
    lost_.insert(lost_.end(), checkedLosses_.begin(), checkedLosses_.end());
    for (const auto &[requestId, pending] : pending_) {
        if (pending.poolRequestId != 0) {
            lost_.push_back(pending.request.fingerprint);
        }
    }
    if (lost_.empty()) {
        return;
    }
    const auto now = context_.loop.now();
    crash_ = internal::randomId();
    context_.crashes.recordCrash(crash_, lost_, now);
    nlohmann::json suspects = nlohmann::json::array();
    for (const auto fingerprint : std::span{lost_}.first(std::min(lost_.size(), internal::maxLoggedSuspects))) {
        suspects.push_back({mesh::toText(fingerprint), context_.crashes.suspicion(fingerprint, {}, now).crashes});
    }
    context_.log.write("instance_crashed",
                       {{"instance", record_.report().id},
                        {"crash", mesh::toText(crash_)},
                        {"running", lost_.size()},
                        {"suspects", std::move(suspects)}});
    lost_.clear();
}

auto LocalInstance::releaseLost() -> void
{
    context_.loop.cancel(releaseTimer_);
    std::vector<std::uint64_t> released;
    for (const auto &[requestId, pending] : pending_) {
        if (pending.lostReply) {
            released.push_back(requestId);
        }
    }
    for (const auto requestId : released) {
        const auto found = pending_.find(requestId);
        if (found != pending_.end()) {
            auto reply = std::move(*found->second.lostReply);
            reply.crash = crash_;
            complete(requestId, std::move(reply));
        }
    }
}

auto LocalInstance::markUp() -> void
{
    crash_ = 0;
    if (!std::exchange(isDown_, false)) {
        return;
    }
    context_.loop.cancel(availabilityTimer_);
    context_.loop.destroyLater(std::move(availabilityCheck_));
    context_.log.write("instance_up", {{"instance", record_.report().id}});
    suspectColdStart("up");
    hooks_.availabilityChanged();
}

auto LocalInstance::scheduleAvailabilityCheck() -> void
{
    availabilityTimer_ = context_.loop.after(internal::availabilityCheckInterval, [this] {
        availabilityTimer_ = 0;
        availabilityCheck_ = connectOnce([this](const bool isRefused) {
            context_.loop.destroyLater(std::move(availabilityCheck_));
            if (isRefused) {
                scheduleAvailabilityCheck();
            } else {
                markUp();
            }
        });
    });
}

auto LocalInstance::isSentToLatestStart(const std::uint64_t requestId) const -> bool
{
    const auto &pending = pending_.at(requestId);
    const auto &latest = record_.report();
    return pending.request.instanceId == latest.id && mesh::isSameStart(pending.instanceStartMs, latest.startTimeMs);
}

auto LocalInstance::updateCondition(const mesh::Answer &answer) -> bool
{
    if (context_.dialect.readOutcome(answer).wrongInstance) {
        return false;
    }
    std::string error;
    const auto condition = context_.dialect.readCondition(answer, error);
    if (!condition) {
        context_.log.write("instance_condition_unreadable", {{"instance", record_.report().id}, {"error", error}});
        return false;
    }
    const auto now = context_.loop.now();
    gate_.capacity().recordSlowness(condition->slowness, now);
    const auto hasChanged = gate_.recordAnswer(condition->rateLimit, now);
    const auto isDue = gate_.rateLimit() && now - rateLimitLoggedAt_ >= internal::rateLimitLogInterval;
    if (hasChanged || isDue) {
        logRateLimit();
    }
    return condition->isLeaving;
}

auto LocalInstance::logRateLimit() -> void
{
    const auto now = context_.loop.now();
    const auto load = gate_.load(now);
    const auto limit = gate_.rateLimit();
    context_.log.write("instance_rate_limit",
                       {{"instance", record_.report().id},
                        {"limit", limit ? nlohmann::json(*limit) : nlohmann::json()},
                        {"started", startedSinceLog_},
                        {"since_ms", (now - rateLimitLoggedAt_).count() / 1000},
                        {"running", load.running},
                        {"queued", load.queued}});
    startedSinceLog_ = 0;
    rateLimitLoggedAt_ = now;
}

auto LocalInstance::logCapacity() -> void
{
    const auto limit = gate_.capacity().learnedLimit();
    const auto before = loggedLimit_;
    const auto change = std::max(limit, before) - std::min(limit, before);
    if (change * 10 <= before) {
        return;
    }
    loggedLimit_ = limit;
    if (before != 0) {
        context_.log.write("instance_capacity",
                           {{"instance", record_.report().id},
                            {"limit", limit},
                            {"before", before},
                            {"slots", record_.report().slots},
                            {"slowness", gate_.capacity().slowness()}});
    }
}

auto LocalInstance::recordRunEnd(const PendingRequest &pending) -> void
{
    const auto &hop = pending.request;
    context_.learner.runEnded(hop.route, hop.deadline, context_.loop.now() - pending.startedAt);
}

auto LocalInstance::toReply(HttpConnection::Result &&result) -> mesh::HopReply
{
    mesh::HopReply reply;
    reply.load = gate_.load(context_.loop.now());
    if (!result.answer) {
        reply.reached = result.sent;
        reply.outcome = result.sent ? mesh::HopOutcome::Unknown : mesh::HopOutcome::NotRun;
        const auto isMalformed = result.error.starts_with(internal::malformedPrefix);
        reply.reason = !result.sent ? mesh::HopReason::Unreachable
                     : isMalformed  ? mesh::HopReason::BadAnswer
                                    : mesh::HopReason::Lost;
        reply.retryAfter = internal::unavailableRetryAfter;
        return reply;
    }
    const auto outcome = context_.dialect.readOutcome(*result.answer);
    reply.reached = true;
    if (outcome.notExecuted || outcome.wrongInstance) {
        reply.outcome = mesh::HopOutcome::NotRun;
        reply.reason = outcome.wrongInstance ? mesh::HopReason::WrongInstance : mesh::HopReason::Rejected;
        reply.retryAfter = internal::unavailableRetryAfter;
        return reply;
    }
    reply.outcome = mesh::HopOutcome::Answered;
    reply.answer = std::move(*result.answer);
    mesh::removeHopByHopFields(reply.answer.fields);
    return reply;
}

auto LocalInstance::handleDeadline(const std::uint64_t requestId) -> void
{
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) {
        return;
    }
    found->second.deadlineTimer = 0;
    const auto poolRequestId = std::exchange(found->second.poolRequestId, 0);
    const auto hasNoRoom = poolRequestId != 0 && pool_.isAwaitingRoom(poolRequestId);
    if (poolRequestId != 0) {
        pool_.cancel(poolRequestId);
        recordRunEnd(found->second);
    }
    gate_.finish(requestId, Duration::zero());
    if (found->second.lostReply) {
        complete(requestId, std::move(*found->second.lostReply));
        return;
    }
    auto reply = refusal(mesh::HopReason::Expired, internal::unavailableRetryAfter);
    if (poolRequestId != 0) {
        reply.outcome = mesh::HopOutcome::Unknown;
        reply.reached = true;
    }
    if (hasNoRoom) {
        // Other nodes then prefer instances whose responses fit.
        reply.reason = mesh::HopReason::BadAnswer;
    }
    complete(requestId, std::move(reply));
    advance();
}

auto LocalInstance::complete(const std::uint64_t requestId, mesh::HopReply reply) -> void
{
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) {
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
                            {"fingerprint", mesh::toText(request.fingerprint)},
                            {"crashes", request.crashes.size()},
                            {"target", request.request.target.substr(0, internal::maxLoggedTarget)},
                            {"rank", request.rank},
                            {"reason", mesh::toText(reply.reason)},
                            {"outcome", static_cast<int>(reply.outcome)},
                            {"left_ms", (request.deadline - context_.loop.now()).count() / 1000},
                            {"running", reply.load.running},
                            {"queued", reply.load.queued},
                            {"limit", reply.load.limit}});
    }
    pending_.erase(found);
    finished(std::move(reply));
}

auto LocalInstance::advance() -> void
{
    const auto advanced = gate_.dispatch(context_.loop.now());
    for (const auto &refused : advanced.refused) {
        complete(refused.id, refusal(mesh::HopReason::Expired, refused.retryAfter));
    }
    for (const auto requestId : advanced.run) {
        run(requestId);
    }
    if (gate_.hasQueued()) {
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
    mesh::HopReply reply;
    reply.outcome = mesh::HopOutcome::NotRun;
    reply.reason = reason;
    reply.retryAfter = retryAfter;
    reply.load = gate_.load(context_.loop.now());
    return reply;
}

} // namespace jasminelatch::sidecar
