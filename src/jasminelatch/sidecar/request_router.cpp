#include "request_router.hpp"

#include "request_rank.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <optional>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
/*! @brief First status code that reports a failure of the server. */
constexpr unsigned firstServerError = 500;
/*! @brief Time after the deadline in which the reply of the last node is still accepted. */
constexpr Duration replyGracePeriod = std::chrono::milliseconds{40};
/*! @brief Time for which the answer of an expired request may be under way when the node ends. */
constexpr Duration endMargin = std::chrono::milliseconds{100};
/*! @brief A client's request may wait for a slot for the latency target divided by this number. */
constexpr int queueWaitDivisor = 4;
/*! @brief Shortest wait limit of a request that is sent to another instance after its queue wait has run out. */
constexpr Duration minQueueWait = std::chrono::milliseconds{10};
/*! @brief Time in which a crashed instance is expected back. */
constexpr Duration restartTime = std::chrono::seconds{5};
/*! @brief `Retry-After` of a request that may have caused a crash while too few instances are left to try it. */
constexpr Duration suspectRetryAfter = std::chrono::seconds{2};

} // namespace internal

auto makeAnswer(const unsigned status, const Duration retryAfter) -> mesh::Answer
{
    mesh::Answer answer;
    answer.status = status;
    if (retryAfter > Duration::zero()) {
        std::array<char, 32> text{};
        const auto seconds = std::chrono::duration<double>(retryAfter).count();
        std::snprintf(text.data(), text.size(), "%.3f", seconds);
        answer.fields.push_back({"Retry-After", text.data()});
    }
    return answer;
}

RequestRouter::RequestRouter(Context context, std::string ownService, Hooks hooks)
    : context_{context}
    , ownService_{std::move(ownService)}
    , hooks_{std::move(hooks)}
    , random_{std::random_device{}()}
{
}

auto RequestRouter::setConfiguration(std::shared_ptr<const mesh::ConfigurationIndex> configuration) -> void
{
    configuration_ = std::move(configuration);
}

auto RequestRouter::submit(mesh::Request request, HttpServer::Respond respond) -> std::uint64_t
{
    context_.counters.add("entry.requests");
    const auto call = context_.dialect.readCall(request);
    Attempt attempt;
    if (const auto refusal = admit(request, call, attempt)) {
        logRefusal(call, request, *refusal);
        respond(makeAnswer(refusal->status, refusal->retryAfter));
        return 0;
    }
    attempt.startedAt = context_.loop.now();
    attempt.startBy = attempt.startedAt + attempt.hop.waitLimit;
    mesh::removeHopByHopFields(request.fields);
    for (const auto &field : context_.dialect.reservedFields) {
        mesh::removeField(request.fields, field);
    }
    attempt.hop.request = std::move(request);
    attempt.respond = std::move(respond);
    const auto requestId = ++lastRequestId_;
    const auto timeLeft = attempt.hop.deadline - attempt.startedAt;
    attempt.timer =
        context_.loop.after(timeLeft + internal::replyGracePeriod, [this, requestId] { handleTimeout(requestId); });
    context_.retryBudget.recordRequest(attempt.hop.service, attempt.startedAt);
    attempts_.emplace(requestId, std::move(attempt));
    dispatch(requestId);
    return attempts_.contains(requestId) ? requestId : 0;
}

auto RequestRouter::cancel(const std::uint64_t requestId) -> void
{
    const auto found = attempts_.find(requestId);
    if (found == attempts_.end()) {
        return;
    }
    context_.counters.add("entry.caller_left");
    auto &attempt = found->second;
    context_.loop.cancel(attempt.timer);
    cancelExchange(attempt);
    attempts_.erase(found);
}

auto RequestRouter::cancelExchange(const Attempt &attempt) -> void
{
    if (!attempt.node.empty()) {
        context_.placement.finished(attempt.node, false, {}, context_.loop.now());
        hooks_.cancel(attempt.node, attempt.exchange);
    }
}

auto RequestRouter::acceptUntil(const TimePoint end) -> void
{
    end_ = end;
}

auto RequestRouter::withdrawQueued() -> void
{
    isWithdrawing_ = true;
    for (const auto requestId : activeIds()) {
        if (const auto found = attempts_.find(requestId); found != attempts_.end()) {
            hooks_.withdraw(found->second.node, found->second.exchange);
        }
    }
}

auto RequestRouter::failActive() -> void
{
    for (const auto requestId : activeIds()) {
        const auto found = attempts_.find(requestId);
        if (found == attempts_.end()) {
            continue;
        }
        auto &attempt = found->second;
        attempt.mayHaveRun = true;
        attempt.lastReply.reason = mesh::HopReason::Lost;
        // A non-idempotent request that is running runs on, as after any other end of this node.
        if (attempt.hop.idempotent) {
            cancelExchange(attempt);
        }
        fail(requestId, "node_stopped");
    }
}

auto RequestRouter::activeIds() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> ids;
    ids.reserve(attempts_.size());
    std::ranges::transform(attempts_, std::back_inserter(ids), [](const auto &attempt) { return attempt.first; });
    return ids;
}

auto RequestRouter::activeRequests() const -> std::size_t
{
    return attempts_.size();
}

auto RequestRouter::authenticate(const mesh::Route &route, const ClientCall &call, const mesh::Account *&account) const
    -> std::optional<Refusal>
{
    if (configuration_->configuration().accounts.empty()) {
        return std::nullopt;
    }
    if (!call.key && route.open) {
        return std::nullopt;
    }
    if (!hooks_.isConfigurationFresh()) {
        if (route.open) {
            return std::nullopt;
        }
        return Refusal{internal::statusUnavailable, "configuration_stale", mesh::minRetryAfter};
    }
    account = call.key ? configuration_->findAccount(*call.key) : nullptr;
    if (account == nullptr && !route.open) {
        return Refusal{internal::statusUnauthorized, "key_unknown"};
    }
    return std::nullopt;
}

auto RequestRouter::admit(const mesh::Request &request, const ClientCall &call, Attempt &attempt)
    -> std::optional<Refusal>
{
    if (!configuration_) {
        return Refusal{internal::statusUnavailable, "no_configuration", mesh::minRetryAfter};
    }
    const auto *route = configuration_->findRoute(call.host, request.target);
    if (route == nullptr) {
        if (!hooks_.isConfigurationFresh()) {
            return Refusal{internal::statusUnavailable, "configuration_stale", mesh::minRetryAfter};
        }
        return Refusal{internal::statusNotFound, "no_route"};
    }
    const mesh::Account *account = nullptr;
    if (const auto refusal = authenticate(*route, call, account)) {
        return refusal;
    }
    const auto now = context_.loop.now();
    attempt.maxAttempts = route->maxAttempts;
    auto &hop = attempt.hop;
    hop.attemptId = call.attemptId;
    hop.route = route->name;
    hop.caller = ownService_;
    hop.fingerprint = mesh::fingerprintOf(request, account == nullptr ? std::string_view{} : account->name);
    if (const auto quarantine = context_.crashes.suspicion(hop.fingerprint, {}, now).quarantine;
        quarantine > Duration::zero()) {
        return Refusal{internal::statusUnavailable,
                       "quarantined",
                       quarantine,
                       {{"fingerprint", mesh::toText(hop.fingerprint)}, {"route", route->name}}};
    }
    hop.idempotent = route->idempotent;
    hop.deadline = now + (call.timeLeft ? std::min(*call.timeLeft, route->timeout) : route->timeout);
    if (end_ && hop.deadline + internal::endMargin > *end_) {
        return Refusal{internal::statusUnavailable, "node_stopping", std::max(*end_ - now, mesh::minRetryAfter)};
    }
    hop.rank = callRank;
    hop.waitLimit = hop.deadline - now;
    if (account != nullptr) {
        if (const auto refusal = admitRoot(*route, *account, hop)) {
            return refusal;
        }
    } else {
        context_.learner.callMade(route->name, now + call.timeLeft.value_or(route->timeout));
    }
    hop.service = pickService(*route);
    return std::nullopt;
}

auto RequestRouter::admitRoot(const mesh::Route &route, const mesh::Account &account, mesh::HopRequest &hop)
    -> std::optional<Refusal>
{
    hop.account = account.name;
    hop.rank = rankOf(route, account);
    hop.waitLimit = std::min<Duration>(hop.waitLimit, route.latencyTarget / internal::queueWaitDivisor);
    const auto now = context_.loop.now();
    if (const auto wait = context_.caps.admit(account.name, now); wait > Duration::zero()) {
        return Refusal{internal::statusTooManyRequests,
                       "over_cap",
                       wait,
                       {{"account", account.name}, {"level", context_.caps.level(account.name)}}};
    }
    context_.admission.recordOffer(hop.rank, route.name);
    if (!context_.admission.admit(hop.rank, route.name)) {
        context_.caps.refund(account.name);
        const auto fraction = context_.admission.admittedFraction(hop.rank, route.name);
        const auto jitter = std::uniform_real_distribution{0.5, 1.5}(random_);
        return Refusal{internal::statusUnavailable,
                       "no_room_for_tree",
                       mesh::overloadRetryAfter(fraction, jitter),
                       {{"account", account.name}, {"route", route.name}, {"rank", hop.rank}, {"part", fraction}}};
    }
    return std::nullopt;
}

auto RequestRouter::pickService(const mesh::Route &route) -> std::string
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    // Smooth weighted round robin: on each request every service gains its weight; the service with the largest current
    // weight is chosen and loses the total.
    auto &currentWeights = splitWeights_[route.name];
    auto total = 0.0;
    const std::string *best = nullptr;
    for (const auto &part : route.services) {
        currentWeights[part.service] += part.weight;
        total += part.weight;
        if (part.weight > 0 && (best == nullptr || currentWeights[part.service] > currentWeights[*best])) {
            best = &part.service;
        }
    }
    if (best == nullptr) {
        return route.services.front().service;
    }
    currentWeights[*best] -= total;
    return *best;
}

auto RequestRouter::dispatch(const std::uint64_t requestId) -> void
{
    auto &attempt = attempts_.at(requestId);
    const auto now = context_.loop.now();
    const auto *member = choose(attempt);
    if (member == nullptr) {
        fail(requestId, attempt.tried.empty() ? "no_instance" : mesh::toText(attempt.lastReply.reason));
        return;
    }
    attempt.node = member->name;
    attempt.tried.push_back(member->name);
    attempt.hop.instanceId = member->instanceId;
    attempt.instanceStartMs = member->instanceStartMs;
    attempt.hop.waitLimit = std::max(attempt.startBy - now, Duration{internal::minQueueWait});
    context_.placement.started(attempt.node);
    attempt.exchange = hooks_.send(attempt.node, attempt.hop, [this, requestId](mesh::HopReply reply) {
        handleReply(requestId, std::move(reply));
    });
}

auto RequestRouter::choose(Attempt &attempt) -> const mesh::Member *
{
    const auto now = context_.loop.now();
    auto &hop = attempt.hop;
    const auto suspicion = context_.crashes.suspicion(hop.fingerprint, hop.crashes, now);
    if (suspicion.crashes == 0) {
        return context_.placement.choose(hop.service, attempt.tried, now);
    }
    const auto *member = context_.placement.chooseForSuspect(
        hop.service, attempt.tried, suspicion.sinceCrash < internal::restartTime, now);
    if (member == nullptr) {
        attempt.lastReply.retryAfter = std::max<Duration>(attempt.lastReply.retryAfter, internal::suspectRetryAfter);
    }
    return member;
}

auto RequestRouter::noteCrash(Attempt &attempt, const mesh::HopReply &reply) -> void
{
    if (reply.crash != 0) {
        attempt.hop.crashes.push_back(reply.crash);
        context_.placement.markDown(attempt.node);
    }
}

auto RequestRouter::handleReply(const std::uint64_t requestId, mesh::HopReply reply) -> void
{
    const auto found = attempts_.find(requestId);
    if (found == attempts_.end()) {
        return;
    }
    auto &attempt = found->second;
    const auto failed = reply.reason == mesh::HopReason::Lost || reply.reason == mesh::HopReason::Unreachable
                     || reply.reason == mesh::HopReason::BadAnswer || reply.reason == mesh::HopReason::Rejected;
    if (reply.outcome == mesh::HopOutcome::Answered) {
        noteDeparture(attempt, reply.answer);
        if (reply.answer.status < internal::firstServerError) {
            context_.crashes.recordSurvival(attempt.hop.fingerprint);
        }
    }
    noteCrash(attempt, reply);
    context_.placement.finished(std::exchange(attempt.node, {}), failed, reply.load, context_.loop.now());
    attempt.instancesReached += reply.reached ? 1 : 0;
    if (reply.outcome == mesh::HopOutcome::Answered) {
        context_.counters.add("entry.answered");
        finish(requestId, std::move(reply.answer));
        return;
    }
    attempt.mayHaveRun = attempt.mayHaveRun || reply.outcome == mesh::HopOutcome::Unknown;
    const auto reason = mesh::toText(reply.reason);
    const auto retry = mayRetry(attempt, reply);
    attempt.lastReply = std::move(reply);
    if (retry) {
        context_.counters.add("entry.repeated");
        dispatch(requestId);
    } else {
        fail(requestId, reason);
    }
}

auto RequestRouter::noteDeparture(const Attempt &attempt, const mesh::Answer &answer) -> void
{
    // The node beside the instance logs a malformed condition.
    std::string error;
    const auto condition = context_.dialect.readCondition(answer, error);
    if (condition && condition->isLeaving) {
        context_.placement.markLeaving(
            attempt.node, attempt.hop.instanceId, attempt.instanceStartMs, context_.loop.now());
    }
}

auto RequestRouter::mayRetry(const Attempt &attempt, const mesh::HopReply &reply) -> bool
{
    const auto now = context_.loop.now();
    const auto quarantine = context_.crashes.suspicion(attempt.hop.fingerprint, {}, now).quarantine;
    if (isWithdrawing_ || now >= attempt.hop.deadline || quarantine > Duration::zero()) {
        return false;
    }
    switch (mesh::retryPermission(
        {attempt.tried.size(), attempt.instancesReached, attempt.maxAttempts, attempt.hop.idempotent}, reply)) {
    case mesh::RetryPermission::Denied:
        return false;
    case mesh::RetryPermission::Free:
        return true;
    case mesh::RetryPermission::FromBudget:
        return context_.retryBudget.spend(attempt.hop.service, now);
    }
    return false;
}

auto RequestRouter::fail(const std::uint64_t requestId, const std::string_view reason) -> void
{
    auto &attempt = attempts_.at(requestId);
    const auto now = context_.loop.now();
    const auto expired = attempt.lastReply.reason == mesh::HopReason::Expired;
    const auto status = !attempt.mayHaveRun ? internal::statusUnavailable
                      : expired             ? internal::statusGatewayTimeout
                                            : internal::statusBadGateway;
    context_.counters.add("entry.gave_up." + std::string{reason});
    context_.log.write("gave_up",
                       {{"id", attempt.hop.attemptId},
                        {"route", attempt.hop.route},
                        {"service", attempt.hop.service},
                        {"account", attempt.hop.account},
                        {"fingerprint", mesh::toText(attempt.hop.fingerprint)},
                        {"crashes", attempt.hop.crashes.size()},
                        {"reason", reason},
                        {"status", status},
                        {"tried", attempt.tried},
                        {"reached", attempt.instancesReached},
                        {"after_ms", (now - attempt.startedAt).count() / 1000},
                        {"left_ms", (attempt.hop.deadline - now).count() / 1000}});
    if (!attempt.mayHaveRun && !attempt.hop.account.empty()) {
        context_.caps.refund(attempt.hop.account);
    }
    const auto untilEnd = isWithdrawing_ && end_ ? *end_ - now : Duration::zero();
    const auto retryAfter = std::max({attempt.lastReply.retryAfter, untilEnd, mesh::minRetryAfter});
    finish(requestId, makeAnswer(status, attempt.mayHaveRun ? Duration::zero() : retryAfter));
}

auto RequestRouter::handleTimeout(const std::uint64_t requestId) -> void
{
    const auto found = attempts_.find(requestId);
    if (found == attempts_.end()) {
        return;
    }
    auto &attempt = found->second;
    attempt.timer = 0;
    attempt.mayHaveRun = true;
    attempt.lastReply.reason = mesh::HopReason::Expired;
    cancelExchange(attempt);
    fail(requestId, "timeout");
}

auto RequestRouter::finish(const std::uint64_t requestId, mesh::Answer answer) -> void
{
    const auto found = attempts_.find(requestId);
    context_.loop.cancel(found->second.timer);
    context_.counters.observe("entry.request_time", context_.loop.now() - found->second.startedAt);
    const auto respond = std::move(found->second.respond);
    attempts_.erase(found);
    respond(std::move(answer));
}

auto RequestRouter::logRefusal(const ClientCall &call, const mesh::Request &request, const Refusal &refusal) -> void
{
    context_.counters.add("entry.refused." + std::string{refusal.reason});
    nlohmann::json fields{{"id", call.attemptId},
                          {"host", call.host},
                          {"target", request.target.substr(0, 100)},
                          {"reason", refusal.reason},
                          {"status", refusal.status},
                          {"retry_after_ms", refusal.retryAfter.count() / 1000},
                          {"version", configuration_ ? configuration_->configuration().version : 0}};
    fields.update(refusal.inputs);
    context_.log.write("refused", std::move(fields));
}

} // namespace jasminelatch::sidecar
