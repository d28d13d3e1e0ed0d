#include "request_router.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
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
/*! @brief Nodes to which one request goes in search of room. */
constexpr std::size_t maxNodesTried = 3;
/*! @brief Time after which a caller may come back to a node that lacks a sound configuration. */
constexpr Duration notReadyRetry = std::chrono::milliseconds{300};
/*! @brief Time beyond the deadline in which the last node's own word on it may still come in. */
constexpr Duration lastWordTime = std::chrono::milliseconds{40};
/*! @brief Rank of calls that requests under way make: refusing one wastes the work above it. */
constexpr std::uint32_t callRank = 0;
/*! @brief Part of the latency target for which a client's request may wait for a slot, as a divisor. */
constexpr int waitDivisor = 4;
/*! @brief Time that a request sent on to another instance may wait there, though its patience is over. */
constexpr Duration shortestWait = std::chrono::milliseconds{10};
/*! @brief Middle of the time after which callers return when nothing of their kind is let in. */
constexpr Duration longestReturn = std::chrono::seconds{1};
/*! @brief Ranks of routes below one rank of accounts. */
constexpr std::uint32_t routeRanks = 16;

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
    attempt.patientUntil = attempt.startedAt + attempt.hop.waitLimit;
    mesh::removeHopByHopFields(request.fields);
    for (const auto &field : context_.dialect.reservedFields) {
        mesh::removeField(request.fields, field);
    }
    attempt.hop.request = std::move(request);
    attempt.respond = std::move(respond);
    const auto name = ++lastName_;
    const auto left = attempt.hop.deadline - attempt.startedAt;
    attempt.timer = context_.loop.after(left + internal::lastWordTime, [this, name] { timedOut(name); });
    context_.repeats.recordRequest(attempt.hop.service, attempt.startedAt);
    attempts_.emplace(name, std::move(attempt));
    dispatch(name);
    return attempts_.contains(name) ? name : 0;
}

auto RequestRouter::cancel(const std::uint64_t name) -> void
{
    const auto found = attempts_.find(name);
    if (found == attempts_.end()) {
        return;
    }
    context_.counters.add("entry.caller_left");
    auto &attempt = found->second;
    context_.loop.cancel(attempt.timer);
    withdraw(attempt);
    attempts_.erase(found);
}

auto RequestRouter::withdraw(const Attempt &attempt) -> void
{
    if (!attempt.node.empty()) {
        context_.placement.finished(attempt.node, false, {}, context_.loop.now());
        hooks_.cancel(attempt.node, attempt.exchange);
    }
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
        return Refusal{internal::statusUnavailable, "configuration_stale", internal::notReadyRetry};
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
        return Refusal{internal::statusUnavailable, "no_configuration", internal::notReadyRetry};
    }
    const auto *route = configuration_->findRoute(call.host, request.target);
    if (route == nullptr) {
        if (!hooks_.isConfigurationFresh()) {
            return Refusal{internal::statusUnavailable, "configuration_stale", internal::notReadyRetry};
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
    hop.idempotent = route->idempotent;
    hop.deadline = now + (call.timeLeft ? std::min(*call.timeLeft, route->timeout) : route->timeout);
    hop.rank = internal::callRank;
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
    hop.rank = 1 + account.priority * internal::routeRanks + std::min(route.priority, internal::routeRanks - 1);
    hop.waitLimit = std::min<Duration>(hop.waitLimit, route.latencyTarget / internal::waitDivisor);
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
        const auto part = context_.admission.admittedFraction(hop.rank, route.name);
        return Refusal{internal::statusUnavailable,
                       "no_room_for_tree",
                       returnTime(part),
                       {{"account", account.name}, {"route", route.name}, {"rank", hop.rank}, {"part", part}}};
    }
    return std::nullopt;
}

auto RequestRouter::returnTime(const double admittedPart) -> Duration
{
    // The longer the line, the later; spread so that those turned away together don't come back together.
    const auto spread = std::uniform_real_distribution{0.5, 1.5}(random_);
    const auto time = static_cast<double>(internal::longestReturn.count()) * (1.0 - admittedPart) * spread;
    return std::max(Duration{static_cast<Duration::rep>(time)}, Duration{internal::notReadyRetry});
}

auto RequestRouter::pickService(const mesh::Route &route) -> std::string
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    // Smooth weighted round robin: each service earns its weight a request, and the richest one pays for it.
    auto &credit = splitCredit_[route.name];
    auto total = 0.0;
    const std::string *best = nullptr;
    for (const auto &part : route.services) {
        credit[part.service] += part.weight;
        total += part.weight;
        if (part.weight > 0 && (best == nullptr || credit[part.service] > credit[*best])) {
            best = &part.service;
        }
    }
    if (best == nullptr) {
        return route.services.front().service;
    }
    credit[*best] -= total;
    return *best;
}

auto RequestRouter::dispatch(const std::uint64_t name) -> void
{
    auto &attempt = attempts_.at(name);
    const auto now = context_.loop.now();
    const auto *member = context_.placement.choose(attempt.hop.service, attempt.tried, now);
    if (member == nullptr) {
        giveUp(name, attempt.tried.empty() ? "no_instance" : mesh::toText(attempt.lastReply.reason));
        return;
    }
    attempt.node = member->name;
    attempt.tried.push_back(member->name);
    attempt.hop.instanceId = member->instanceId;
    attempt.hop.waitLimit = std::max(attempt.patientUntil - now, Duration{internal::shortestWait});
    context_.placement.started(attempt.node);
    attempt.exchange =
        hooks_.send(attempt.node, attempt.hop, [this, name](mesh::HopReply reply) { replied(name, std::move(reply)); });
}

auto RequestRouter::replied(const std::uint64_t name, mesh::HopReply reply) -> void
{
    const auto found = attempts_.find(name);
    if (found == attempts_.end()) {
        return;
    }
    auto &attempt = found->second;
    const auto failed = reply.reason == mesh::HopReason::Lost || reply.reason == mesh::HopReason::Unreachable
                     || reply.reason == mesh::HopReason::BadAnswer || reply.reason == mesh::HopReason::Rejected;
    context_.placement.finished(std::exchange(attempt.node, {}), failed, reply.load, context_.loop.now());
    attempt.reached += reply.reached ? 1 : 0;
    if (reply.outcome == mesh::HopOutcome::Answered) {
        context_.counters.add("entry.answered");
        finish(name, std::move(reply.answer));
        return;
    }
    attempt.mayHaveRun = attempt.mayHaveRun || reply.outcome == mesh::HopOutcome::Unknown;
    const auto reason = mesh::toText(reply.reason);
    const auto repeat = mayRepeat(attempt, reply);
    attempt.lastReply = std::move(reply);
    if (repeat) {
        context_.counters.add("entry.repeated");
        dispatch(name);
    } else {
        giveUp(name, reason);
    }
}

auto RequestRouter::mayRepeat(Attempt &attempt, const mesh::HopReply &reply) -> bool
{
    const auto now = context_.loop.now();
    if (now >= attempt.hop.deadline || attempt.tried.size() >= internal::maxNodesTried) {
        return false;
    }
    if (reply.reason == mesh::HopReason::Expired && reply.outcome == mesh::HopOutcome::Unknown) {
        return false;
    }
    if (reply.outcome == mesh::HopOutcome::Unknown && !attempt.hop.idempotent) {
        return false;
    }
    if (attempt.reached == 0) {
        return true;
    }
    return attempt.reached < attempt.maxAttempts && context_.repeats.spend(attempt.hop.service, now);
}

auto RequestRouter::giveUp(const std::uint64_t name, const std::string_view reason) -> void
{
    auto &attempt = attempts_.at(name);
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
                        {"reason", reason},
                        {"status", status},
                        {"tried", attempt.tried},
                        {"reached", attempt.reached},
                        {"after_ms", (now - attempt.startedAt).count() / 1000},
                        {"left_ms", (attempt.hop.deadline - now).count() / 1000}});
    if (!attempt.mayHaveRun && !attempt.hop.account.empty()) {
        context_.caps.refund(attempt.hop.account);
    }
    const auto retryAfter = std::max(attempt.lastReply.retryAfter, Duration{internal::notReadyRetry});
    finish(name, makeAnswer(status, attempt.mayHaveRun ? Duration::zero() : retryAfter));
}

auto RequestRouter::timedOut(const std::uint64_t name) -> void
{
    const auto found = attempts_.find(name);
    if (found == attempts_.end()) {
        return;
    }
    auto &attempt = found->second;
    attempt.timer = 0;
    attempt.mayHaveRun = true;
    attempt.lastReply.reason = mesh::HopReason::Expired;
    withdraw(attempt);
    giveUp(name, "timeout");
}

auto RequestRouter::finish(const std::uint64_t name, mesh::Answer answer) -> void
{
    const auto found = attempts_.find(name);
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
