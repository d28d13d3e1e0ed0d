#include "request_path.hpp"

#include <utility>

namespace jasminelatch::node {

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

} // namespace jasminelatch::node
