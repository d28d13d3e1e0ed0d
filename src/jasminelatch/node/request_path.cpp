#include "request_path.hpp"

#include "responses.hpp"

#include <jasminelatch/filter/authentication.hpp>
#include <jasminelatch/filter/basic.hpp>
#include <jasminelatch/filter/fields.hpp>

#include <random>
#include <utility>

namespace jasminelatch::node {

namespace internal {

constexpr Duration leavingRetryAfter = std::chrono::seconds{1};
constexpr std::size_t longestIdempotencyKey = 200;

auto admissionSettings(const Settings &settings) -> admission::Settings
{
    admission::Settings admission;
    admission.mode = settings.admission;
    return admission;
}

auto retrySettings(const Settings &settings) -> retry::Settings
{
    retry::Settings retry;
    retry.mode = settings.retry;
    return retry;
}

auto toVerdict(const quota::Decision &decision) -> filter::Verdict
{
    switch (decision.verdict) {
    case quota::Verdict::Granted:
        return filter::pass();
    case quota::Verdict::OverRate:
        return filter::refuse(RefusalReason::AccountRate, decision.retryAfter);
    case quota::Verdict::NoHolder:
        return filter::refuse(RefusalReason::QuotaUnavailable, decision.retryAfter);
    case quota::Verdict::UnknownAccount:
        break;
    }
    return filter::refuse(RefusalReason::UnknownKey);
}

} // namespace internal

RequestPath::RequestPath(const Settings &settings,
                         const std::uint64_t incarnation,
                         Controllers &controllers,
                         const Clock &clock,
                         Counters &counters,
                         Hooks hooks)
    : self_{settings.address}
    , idPrefix_{settings.address.text() + "-" + std::to_string(incarnation) + "-"}
    , controllers_{&controllers}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , secret_{settings.fleetSecret}
    , picker_{{}, settings.domain, clock, counters, std::mt19937_64{incarnation}}
    , gate_{{}, clock, counters, std::mt19937_64{incarnation + 1}}
    , ledger_{clock, counters, {[this](const NodeAddress &to, retry::Message message) {
                  hooks_.send(to, message);
              }}}
    , asker_{internal::retrySettings(settings), settings.address, incarnation, clock, counters, askerHooks()}
    , cache_{{},
             incarnation,
             clock,
             counters,
             {[this](const NodeAddress &to, const RequestId &, const std::string_view answer) {
                 hooks_.resend(to, answer);
             }}}
    , monitor_{{}, clock, counters, cache_, monitorHooks()}
    , dispatcher_{clock, counters, picker_, asker_, dispatcherHooks()}
    , executor_{settings.address,
                internal::admissionSettings(settings),
                secret_,
                cache_,
                clock,
                counters,
                executorHooks()}
    , chain_{filters(), chainHooks()}
    , gateEnabled_{settings.admission == admission::Mode::Adaptive}
{
}

auto RequestPath::filters() -> std::vector<filter::Filter>
{
    filter::AuthenticationSettings authentication;
    authentication.self = self_;
    authentication.secret = &secret_;
    authentication.clock = clock_;
    authentication.fresh = [this] {
        return controllers_->configuration().fresh();
    };
    authentication.isRunning = [this](const RequestId &attempt) {
        return executor_.isRunning(attempt);
    };
    return {leavingFilter(),
            filter::sizeFilter(),
            filter::routeFilter(),
            filter::authenticationFilter(std::move(authentication)),
            filter::deadlineFilter(*clock_),
            gateFilter(),
            rateFilter(),
            orderFilter()};
}

auto RequestPath::leavingFilter() -> filter::Filter
{
    return {"leaving", [this](call::Exchange &exchange, const filter::Resume &) {
                const auto refused = leaving_ && exchange.origin == call::Origin::Caller;
                return refused ? filter::refuse(RefusalReason::Leaving, internal::leavingRetryAfter) : filter::pass();
            }};
}

auto RequestPath::rateFilter() -> filter::Filter
{
    return {"rate", [this](call::Exchange &exchange, const filter::Resume &resume) {
                if (exchange.account.empty() || !exchange.parent.empty()) {
                    return filter::pass();
                }
                controllers_->borrower().acquire(exchange.account, [resume](const quota::Decision &decision) {
                    resume(internal::toVerdict(decision));
                });
                return filter::wait();
            }};
}

auto RequestPath::gateFilter() -> filter::Filter
{
    return {"gate", [this](call::Exchange &exchange, const filter::Resume &) {
                if (!gateEnabled_) {
                    return filter::pass();
                }
                const auto refusal = gate_.decide(exchange.kind->service, exchange.importance, exchange.account);
                return refusal ? filter::refuse(refusal->reason, refusal->retryAfter) : filter::pass();
            }};
}

auto RequestPath::orderFilter() -> filter::Filter
{
    return {"order", [this](call::Exchange &exchange, const filter::Resume &resume) {
                if (exchange.kind->idempotent) {
                    return filter::pass();
                }
                const std::string key{net::header(exchange.request.headers, filter::idempotencyField)};
                if (key.empty() && !exchange.parent.empty()) {
                    return filter::pass();
                }
                if (key.empty() || key.size() > internal::longestIdempotencyKey) {
                    return filter::refuse(RefusalReason::IdempotencyKeyMissing);
                }
                if (controllers_->claimant() == nullptr) {
                    return filter::refuse(RefusalReason::OrderHolderUnavailable, internal::leavingRetryAfter);
                }
                claim(exchange, key, resume);
                return filter::wait();
            }};
}

auto RequestPath::claim(const call::Exchange &exchange, const std::string &key, const filter::Resume &resume) -> void
{
    const auto content =
        exchange.request.method + " " + exchange.kind->service.text() + exchange.path + "\n" + exchange.request.body;
    order::Ask ask{exchange.account, key, exchange.id, order::shortHash(content)};
    controllers_->claimant()->claim(
        std::move(ask),
        [this, id = exchange.id, key, resume](const order::Verdict &verdict) { onClaimed(id, key, verdict, resume); });
}

auto RequestPath::onClaimed(const RequestId &id,
                            const std::string &key,
                            const order::Verdict &verdict,
                            const filter::Resume &resume) -> void
{
    if (const auto *answer = std::get_if<order::Answer>(&verdict)) {
        const net::HttpResponse response{answer->status, {{"Content-Type", answer->contentType}}, answer->body};
        resume({filter::Verdict::Step::Answer, {}, response});
        return;
    }
    if (const auto *refusal = std::get_if<Refusal>(&verdict)) {
        resume({filter::Verdict::Step::Refuse, *refusal, {}});
        return;
    }
    const auto position = exchanges_.find(id);
    if (position == exchanges_.end()) {
        controllers_->claimant()->report(id, order::ResultKind::NotRun);
        return;
    }
    position->second.exchange.idempotencyKey = key;
    const auto late = clock_->now() >= std::get<order::Grant>(verdict).dispatchBefore;
    resume(late ? filter::refuse(RefusalReason::DeadlineExpired, internal::leavingRetryAfter) : filter::pass());
}

auto RequestPath::reportOrder(const call::Exchange &exchange, const call::JobResult &result) -> void
{
    if (exchange.idempotencyKey.empty()) {
        return;
    }
    auto &claimant = *controllers_->claimant();
    if (result.refusal) {
        const auto notRun = result.refusal->outcome == Outcome::NotRun;
        claimant.report(exchange.id, notRun ? order::ResultKind::NotRun : order::ResultKind::Unknown);
        return;
    }
    const auto &response = result.response;
    claimant.report(exchange.id,
                    order::ResultKind::Answered,
                    {static_cast<std::uint16_t>(response.status),
                     std::string{net::header(response.headers, "Content-Type")},
                     response.body});
}

auto RequestPath::onJobDone(const RequestId &id, call::JobResult result) -> void
{
    const auto position = exchanges_.find(id);
    if (position == exchanges_.end()) {
        return;
    }
    reportOrder(position->second.exchange, result);
    position->second.exchange.idempotencyKey.clear();
    result.refusal ? refuse(id, *result.refusal) : finish(id, std::move(result.response));
}

auto RequestPath::chainHooks() -> filter::Chain::Hooks
{
    filter::Chain::Hooks hooks;
    hooks.find = [this](const RequestId &id) -> call::Exchange * {
        const auto position = exchanges_.find(id);
        return position == exchanges_.end() ? nullptr : &position->second.exchange;
    };
    hooks.passed = [this](call::Exchange &exchange) {
        dispatch(exchange);
    };
    hooks.ended = [this](call::Exchange &exchange, const filter::Verdict &verdict) {
        const auto id = exchange.id;
        if (verdict.step == filter::Verdict::Step::Answer) {
            finish(id, verdict.response);
            return;
        }
        reportOrder(exchange, {verdict.refusal, {}});
        refuse(id, verdict.refusal);
    };
    return hooks;
}

auto RequestPath::handle(const DoorNumber from, net::HttpRequest request) -> void
{
    const auto id = newId();
    auto &open = exchanges_[id];
    open.from = from;
    auto &exchange = open.exchange;
    exchange.id = id;
    exchange.origin = from.door;
    exchange.request = std::move(request);
    exchange.view = controllers_->configuration().view();
    exchange.root = id;
    exchange.ledger = self_;
    exchange.arrival = clock_->now();
    auto &numbers = from.door == call::Origin::Caller ? atCallers_ : atBackendServer_;
    numbers.emplace(from.number, id);
    counters_->add(from.door == call::Origin::Caller ? "request.from_caller" : "request.from_backend_server");
    chain_.run(exchange);
}

auto RequestPath::gone(const DoorNumber from) -> void
{
    const auto &numbers = from.door == call::Origin::Caller ? atCallers_ : atBackendServer_;
    const auto position = numbers.find(from.number);
    if (position == numbers.end()) {
        return;
    }
    const auto id = position->second;
    if (!exchanges_.at(id).exchange.idempotencyKey.empty()) {
        // The order goes on, so that its answer is there when the client comes back for it.
        return;
    }
    dispatcher_.cancel(id);
    refuse(id, {RefusalReason::Cancelled, Outcome::Unknown, {}});
}

auto RequestPath::dispatch(call::Exchange &exchange) -> void
{
    if (exchange.parent.empty()) {
        ledger_.open(exchange.id, exchange.view->fleet().retryLimit, exchange.deadline - clock_->now());
    }
    call::Job job;
    job.id = exchange.id;
    job.deadline = exchange.deadline;
    auto &attempt = job.attempt;
    attempt.root = exchange.root;
    attempt.ledger = exchange.ledger;
    attempt.service = exchange.kind->service;
    attempt.account = exchange.account;
    attempt.importance = exchange.importance;
    attempt.depth = exchange.depth;
    attempt.idempotent = exchange.kind->idempotent;
    attempt.method = exchange.request.method;
    attempt.path = exchange.path;
    attempt.headers = std::move(exchange.request.headers);
    removeHopFields(attempt.headers);
    attempt.headers.erase(std::string{filter::ticketField});
    attempt.body.assign(exchange.request.body.begin(), exchange.request.body.end());
    dispatcher_.dispatch(std::move(job));
}

auto RequestPath::dispatcherHooks() -> call::Dispatcher::Hooks
{
    call::Dispatcher::Hooks hooks;
    hooks.newAttemptId = [this] {
        return newId();
    };
    hooks.send = [this](const NodeAddress &to, const call::Attempt &attempt) {
        sendAttempt(to, attempt);
    };
    hooks.cancel = [this](const NodeAddress &to, const RequestId &attempt) {
        cancelAttempt(to, attempt);
    };
    hooks.done = [this](const RequestId &id, call::JobResult result) {
        onJobDone(id, std::move(result));
    };
    hooks.pressure =
        [this](const call::Attempt &attempt, const NodeAddress &node, const admission::Pressure &pressure) {
            gate_.report(attempt.service, node, pressure);
            // Only what the backend server beside this node calls bounds its own openness: services that this node
            // merely enters callers at would pass their level to every service, and round in a circle.
            if (attempt.depth > 0) {
                executor_.admission().reportDownstream(attempt.service, gate_.pressure(attempt.service));
            }
        };
    return hooks;
}

auto RequestPath::executorHooks() -> call::Executor::Hooks
{
    call::Executor::Hooks hooks;
    hooks.callBackend = [this](const call::BackendCall &call) {
        hooks_.callBackend(call);
    };
    hooks.cancelBackend = [this](const RequestId &attempt) {
        hooks_.cancelBackend(attempt);
    };
    hooks.reply = [this](const NodeAddress &to, const call::Answer &answer) {
        reply(to, answer);
    };
    hooks.ended = [this](const RequestId &attempt) {
        endNested(attempt);
    };
    return hooks;
}

auto RequestPath::askerHooks() -> retry::Asker::Hooks
{
    retry::Asker::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, retry::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.decideLocally = [this](const retry::Ask &ask) {
        return ledger_.decide(ask);
    };
    return hooks;
}

auto RequestPath::monitorHooks() -> connection::Monitor::Hooks
{
    connection::Monitor::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, const connection::Message &message) {
        hooks_.send(to, message);
    };
    hooks.reopen = [this](const NodeAddress &peer) {
        hooks_.reopen(peer);
        peerSilent(peer);
    };
    hooks.outcome = [this](const RequestId &attempt, const Outcome outcome) {
        dispatcher_.lost(attempt, outcome);
    };
    hooks.peerLost = [](const NodeAddress &) {
    };
    return hooks;
}

auto RequestPath::sendAttempt(const NodeAddress &to, const call::Attempt &attempt) -> void
{
    auto addressed = attempt;
    if (to != self_) {
        addressed.target = monitor_.sent(to, attempt.id);
    }
    hooks_.send(to, call::Message{std::move(addressed)});
}

auto RequestPath::cancelAttempt(const NodeAddress &to, const RequestId &attempt) -> void
{
    if (to != self_) {
        monitor_.giveUp(to, attempt);
    }
    hooks_.send(to, call::Message{call::Cancel{attempt}});
}

auto RequestPath::reply(const NodeAddress &to, const call::Answer &answer) -> void
{
    if (to == self_) {
        hooks_.send(to, call::Message{answer});
        return;
    }
    auto bytes = hooks_.encode(call::Message{answer});
    hooks_.resend(to, bytes);
    cache_.complete(answer.id, std::move(bytes));
}

auto RequestPath::receive(const NodeAddress &from, const call::Message &message) -> void
{
    if (const auto *attempt = std::get_if<call::Attempt>(&message)) {
        executor_.receive(from, *attempt);
        return;
    }
    if (const auto *cancel = std::get_if<call::Cancel>(&message)) {
        executor_.cancel(cancel->id);
        return;
    }
    const auto &answer = std::get<call::Answer>(message);
    if (from != self_) {
        monitor_.answered(from, answer.id);
    }
    dispatcher_.receive(from, answer);
}

auto RequestPath::receive(const NodeAddress &from, const connection::Message &message) -> void
{
    monitor_.receive(from, message);
}

auto RequestPath::receive(const NodeAddress &from, const retry::Message &message) -> void
{
    ledger_.receive(from, message);
    asker_.receive(from, message);
}

auto RequestPath::backendAnswered(const RequestId &attempt, call::BackendResult result) -> void
{
    removeHopFields(result.response.headers);
    executor_.backendAnswered(attempt, std::move(result));
}

auto RequestPath::connectionOpened(const NodeAddress &peer) -> void
{
    monitor_.opened(peer);
}

auto RequestPath::connectionClosed(const NodeAddress &peer) -> void
{
    monitor_.closed(peer);
    peerSilent(peer);
}

auto RequestPath::peerSilent(const NodeAddress &peer) -> void
{
    for (const auto &attempt : dispatcher_.peerSilent(peer)) {
        monitor_.giveUp(peer, attempt);
    }
}

auto RequestPath::heard(const NodeAddress &peer) -> void
{
    monitor_.heard(peer);
}

auto RequestPath::endpointsChanged(const ServiceName &service) -> void
{
    const auto endpoints = controllers_->membership().endpoints(service);
    picker_.setEndpoints(service, {endpoints.begin(), endpoints.end()});
}

auto RequestPath::leave() -> void
{
    leaving_ = true;
    executor_.leave();
}

auto RequestPath::tick() -> void
{
    gate_.tick();
    ledger_.tick();
    asker_.tick();
    cache_.tick();
    monitor_.tick();
    dispatcher_.tick();
    expireWaiting();
    executor_.tick();
}

auto RequestPath::expireWaiting() -> void
{
    // The dispatcher has ended its own late jobs: what is late now still waits in a filter.
    std::vector<RequestId> expired;
    for (const auto &[id, open] : exchanges_) {
        if (open.exchange.deadline <= clock_->now()) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        refuse(id, {RefusalReason::DeadlineExpired, Outcome::NotRun, internal::leavingRetryAfter});
    }
}

auto RequestPath::endNested(const RequestId &parent) -> void
{
    std::vector<RequestId> nested;
    for (const auto &[number, id] : atBackendServer_) {
        if (exchanges_.at(id).exchange.parent == parent) {
            nested.push_back(id);
        }
    }
    for (const auto &id : nested) {
        if (exchanges_.at(id).exchange.idempotencyKey.empty()) {
            dispatcher_.cancel(id);
            refuse(id, {RefusalReason::Cancelled, Outcome::Unknown, {}});
        }
    }
}

auto RequestPath::refuse(const RequestId &id, const Refusal &refusal) -> void
{
    counters_->add(std::string{"request.refused_"}.append(toString(refusal.reason)));
    close(id, toResponse(id, refusal), statistics_.refused);
}

auto RequestPath::finish(const RequestId &id, net::HttpResponse response) -> void
{
    counters_->add("request.answered");
    close(id, std::move(response), statistics_.answered);
}

auto RequestPath::close(const RequestId &id, net::HttpResponse response, metrics::LatencySummary &summary) -> void
{
    const auto position = exchanges_.find(id);
    if (position == exchanges_.end()) {
        return;
    }
    const auto &exchange = position->second.exchange;
    const auto from = position->second.from;
    if (exchange.parent.empty()) {
        ledger_.close(id);
    }
    summary.add(clock_->now() - exchange.arrival);
    response.headers[std::string{filter::requestIdField}] = exchange.root.text();
    (from.door == call::Origin::Caller ? atCallers_ : atBackendServer_).erase(from.number);
    exchanges_.erase(position);
    hooks_.answer(from, std::move(response));
}

auto RequestPath::newId() -> RequestId
{
    return RequestId{idPrefix_ + std::to_string(++lastId_)};
}

} // namespace jasminelatch::node
