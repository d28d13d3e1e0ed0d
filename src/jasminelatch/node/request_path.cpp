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
