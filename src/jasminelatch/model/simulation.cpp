#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace jasminelatch::model {

namespace internal {

constexpr TimePoint start{std::chrono::hours{1}};
/*! @brief Time from the start after which clients send; nodes exchange their first reports before. */
constexpr Duration leadTime = std::chrono::seconds{1};
/*! @brief Time for which requests under way are played to their end. */
constexpr Duration tailTime = std::chrono::seconds{10};
constexpr Duration rejectionTime = std::chrono::milliseconds{1};
constexpr Duration sampleInterval = std::chrono::milliseconds{50};
constexpr Duration sweepInterval = std::chrono::milliseconds{20};
/*! @brief Utilization of a service below which a request that needs it had room. */
constexpr double roomUtilization = 0.85;
constexpr int queueWaitDivisor = 4;
constexpr Duration minQueueWait = std::chrono::milliseconds{10};
constexpr int domains = 3;
constexpr Duration resentAfterFailure = std::chrono::milliseconds{50};

} // namespace internal

/*! @brief Node with its instance. */
struct Simulation::Node {
    Node(const SimulationSettings &settings, mesh::Member own, const std::uint64_t seed)
        : member{std::move(own)}
        , placement{settings.placement, member.domain, seed}
        , admission{settings.admission}
        , gate{settings.gate}
        , retries{settings.retries}
        , learner{{}}
    {
    }

    mesh::Member member;
    InstanceModel instance;
    const ServiceModel *service{};
    std::size_t indexInService{};
    bool hasJoined{};
    bool isAway{};
    bool isSweepScheduled{};
    TimePoint decayedAt;
    mesh::Placement placement;
    mesh::TreeAdmission admission;
    mesh::InstanceGate gate;
    mesh::RetryBudget retries;
    mesh::CallLearner learner;
};

/*! @brief Client with one request, which it may send more than once. */
struct Simulation::Client {
    std::size_t kind{};
    std::size_t entry{};
    TimePoint firstAt;
    TimePoint sentAt;
    TimePoint deadline;
    std::uint32_t retriesLeft{};
    bool wasRefused{};
};

/*! @brief Request under way, of a client or of an instance. */
struct Simulation::Request {
    enum class State : std::uint8_t { Travelling, Queued, Running };

    std::size_t kind{};
    std::size_t entry{};
    std::shared_ptr<Client> client; /*!< Null for calls. */
    std::uint64_t parent{}; /*!< Request whose run made this call; zero for requests of clients. */
    TimePoint deadline;
    TimePoint startBy;
    std::vector<std::string> tried;
    std::uint32_t instancesReached{};
    std::size_t node{};
    State state{State::Travelling};
    TimePoint runStartedAt;
    Duration halfWork{};
    std::vector<std::size_t> callsLeft; /*!< Kinds of the calls that its run still has to make, last one first. */
    std::uint64_t child{};
};

Simulation::Simulation(Scenario scenario, const SimulationSettings &settings)
    : scenario_{std::move(scenario)}
    , settings_{settings}
    , random_{settings_.seed}
    , now_{internal::start}
{
}

Simulation::~Simulation() = default;

auto Simulation::run() -> Outcome
{
    createNodes();
    const auto end = internal::start + internal::leadTime + scenario_.length;
    for (std::size_t kind = 0; kind < scenario_.kinds.size(); ++kind) {
        if (scenario_.kinds[kind].perSecond > 0.0) {
            after(internal::leadTime, [this, kind] { scheduleArrival(kind); });
        }
    }
    after(internal::leadTime, [this] { sample(); });
    while (!events_.empty() && events_.top().at < end + internal::tailTime) {
        const auto event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    outcome_.seconds.resize(static_cast<std::size_t>(scenario_.length / std::chrono::seconds{1}));
    if (!refusalTimes_.empty()) {
        std::ranges::sort(refusalTimes_);
        outcome_.refusalTimeP99 = refusalTimes_[refusalTimes_.size() * 99 / 100];
    }
    return outcome_;
}

auto Simulation::after(const Duration delay, std::function<void()> action) -> void
{
    events_.push({now_ + delay, ++lastEvent_, std::move(action)});
}

auto Simulation::createNodes() -> void
{
    mesh::Configuration configuration;
    for (const auto &kind : scenario_.kinds) {
        mesh::Route route;
        route.name = kind.name;
        route.services = {{kind.service, 1}};
        configuration.routes.push_back(std::move(route));
    }
    for (const auto &service : scenario_.services) {
        for (std::size_t index = 0; index < service.instances.size(); ++index) {
            mesh::Member member;
            member.name = service.name + '-' + std::to_string(index);
            member.incarnation = 1;
            member.domain = std::to_string(index % internal::domains);
            member.service = service.name;
            member.instanceId = member.name;
            member.slots = service.instances[index].slots;
            member.accepting = true;
            auto node = std::make_unique<Node>(settings_, std::move(member), random_());
            node->instance = service.instances[index];
            node->service = &service;
            node->indexInService = index;
            node->gate.setSlots(node->instance.slots);
            node->admission.setRoutes(configuration);
            const auto position = nodes_.size();
            const auto joinsAt = node->instance.joinsAt;
            nodes_.push_back(std::move(node));
            if (joinsAt > Duration::zero()) {
                after(internal::leadTime + joinsAt, [this, position] { join(position); });
            } else {
                join(position);
            }
        }
    }
}

auto Simulation::join(const std::size_t node) -> void
{
    nodes_[node]->hasJoined = true;
    joined_.push_back(node);
    for (const auto other : joined_) {
        nodes_[other]->placement.setMember(nodes_[node]->member, now_);
        nodes_[node]->placement.setMember(nodes_[other]->member, now_);
        nodes_[other]->retries.setNodeCount(joined_.size());
    }
    for (const auto &trouble : scenario_.troubles) {
        const auto &self = *nodes_[node];
        if (trouble.kind == TroubleModel::Kind::Away && trouble.service == self.member.service
            && self.indexInService < trouble.count) {
            after(internal::leadTime + trouble.from, [this, node] { setAway(node, true); });
            after(internal::leadTime + trouble.until, [this, node] { setAway(node, false); });
        }
    }
    // The nodes' reports are spread over the interval.
    const auto phase =
        scenario_.reportInterval * static_cast<Duration::rep>(node) / static_cast<Duration::rep>(nodes_.size());
    after(phase, [this, node] { report(node); });
}

auto Simulation::setAway(const std::size_t node, const bool isAway) -> void
{
    auto &self = *nodes_[node];
    self.isAway = isAway;
    if (isAway) {
        for (const auto id : self.gate.clearQueue()) {
            requests_.at(id).state = Request::State::Travelling;
            reply(id, refusal(mesh::HopReason::Leaving, mesh::minRetryAfter, node));
        }
    }
    sendReport(node);
}

auto Simulation::report(const std::size_t node) -> void
{
    auto &self = *nodes_[node];
    if (self.decayedAt != TimePoint{}) {
        self.learner.decay(now_ - self.decayedAt);
    }
    self.decayedAt = now_;
    sendReport(node);
    self.admission.update([&](const std::string &service) { return self.placement.capacity(service); }, now_);
    self.gate.setFleetProfiles(self.admission.profiles());
    after(scenario_.reportInterval, [this, node] { this->report(node); });
}

auto Simulation::sendReport(const std::size_t node) -> void
{
    auto &self = *nodes_[node];
    mesh::NodeReport report;
    report.name = self.member.name;
    report.incarnation = self.member.incarnation;
    report.instanceId = self.member.instanceId;
    report.accepting = !self.isAway;
    report.load = self.gate.load(now_);
    report.offered = self.admission.offered();
    report.profiles = self.learner.profiles();
    self.placement.applyReport(report);
    self.admission.applyReport(report, now_);
    after(scenario_.hopDelay, [this, node, report = std::move(report)] {
        for (const auto other : joined_) {
            if (other != node) {
                nodes_[other]->placement.applyReport(report);
                nodes_[other]->admission.applyReport(report, now_);
            }
        }
    });
}

auto Simulation::sample() -> void
{
    if (now_ >= internal::start + internal::leadTime + scenario_.length) {
        return;
    }
    auto &second = secondOf(now_);
    const auto weight = std::chrono::duration<double>(internal::sampleInterval).count();
    std::map<std::string, mesh::ServiceCapacity> loads;
    for (const auto node : joined_) {
        const auto load = nodes_[node]->gate.load(now_);
        auto &sum = loads[nodes_[node]->member.service];
        sum.limit += nodes_[node]->isAway ? 0.0 : load.limit;
        sum.running += load.running;
        sum.queued += load.queued;
    }
    for (const auto &[service, load] : loads) {
        second.utilization[service] += weight * load.running / std::max(load.limit, 1.0);
        second.queued[service] += weight * load.queued;
    }
    after(internal::sampleInterval, [this] { sample(); });
}

auto Simulation::scheduleArrival(const std::size_t kind) -> void
{
    const auto end = internal::start + internal::leadTime + scenario_.length;
    const auto &model = scenario_.kinds[kind];
    const auto rate = model.perSecond * troubleFactor(TroubleModel::Kind::Surge, nullptr);
    const auto pause = -std::log(1.0 - uniform()) / rate;
    after(Duration{static_cast<Duration::rep>(pause * 1e6)}, [this, kind, end] {
        if (now_ >= end) {
            return;
        }
        scheduleArrival(kind);
        const auto &arrived = scenario_.kinds[kind];
        auto client = std::make_shared<Client>();
        client->kind = kind;
        client->entry = joined_[static_cast<std::size_t>(uniform() * static_cast<double>(joined_.size()))];
        client->firstAt = now_;
        client->deadline = now_ + arrived.timeout;
        client->retriesLeft = arrived.clientRetries;
        ++outcome_.kinds[arrived.name].asked;
        ++secondOf(now_).asked;
        attempt(std::move(client));
    });
}

auto Simulation::attempt(std::shared_ptr<Client> client) -> void
{
    client->sentAt = now_;
    auto &entry = *nodes_[client->entry];
    const auto &kind = scenario_.kinds[client->kind];
    const auto rank = rankOf(client->kind);
    entry.admission.recordOffer(rank, kind.name);
    if (settings_.policy == Policy::Nodes && !entry.admission.admit(rank, kind.name)) {
        outcome_.kinds[kind.name].refusedWithRoom += hasRoom(client->kind) ? 1 : 0;
        const auto fraction = entry.admission.admittedFraction(rank, kind.name);
        answerClient(
            client,
            refusal(mesh::HopReason::QueueFull, mesh::overloadRetryAfter(fraction, 0.5 + uniform()), client->entry));
        return;
    }
    Request request;
    request.kind = client->kind;
    request.entry = client->entry;
    request.deadline = client->deadline;
    const auto wait =
        settings_.policy == Policy::FirstCome ? kind.timeout : kind.latencyTarget / internal::queueWaitDivisor;
    request.startBy = now_ + std::min<Duration>(client->deadline - now_, wait);
    request.client = std::move(client);
    startRequest(std::move(request));
}

auto Simulation::answerClient(const std::shared_ptr<Client> &client, const mesh::HopReply &reply) -> void
{
    const auto &kind = scenario_.kinds[client->kind];
    auto &outcome = outcome_.kinds[kind.name];
    constexpr unsigned statusOk = 200;
    if (reply.outcome == mesh::HopOutcome::Answered && reply.answer.status == statusOk) {
        ++(now_ - client->firstAt <= kind.latencyTarget ? outcome.inTarget : outcome.late);
        outcome.servedAfterRefusal += client->wasRefused ? 1 : 0;
        ++secondOf(client->firstAt).served;
        return;
    }
    const auto wasRefused = reply.outcome == mesh::HopOutcome::NotRun;
    if (wasRefused) {
        ++outcome.refusals;
        refusalTimes_.push_back(now_ - client->sentAt);
    }
    const auto left = client->deadline - now_;
    if (client->retriesLeft == 0 || left <= Duration::zero() || (!wasRefused && !kind.isIdempotent)) {
        ++(wasRefused ? outcome.refused : outcome.failed);
        return;
    }
    --client->retriesLeft;
    client->wasRefused = client->wasRefused || wasRefused;
    constexpr int patienceDivisor = 3; // A client waits for a third of the time that it has left at most.
    const auto pause = wasRefused ? std::min<Duration>(reply.retryAfter, left / patienceDivisor)
                                  : Duration{internal::resentAfterFailure};
    after(pause, [this, client] { attempt(client); });
}

auto Simulation::startRequest(Request request) -> void
{
    const auto id = ++lastRequest_;
    auto &entry = *nodes_[request.entry];
    entry.retries.recordRequest(scenario_.kinds[request.kind].service, now_);
    after(request.deadline - now_, [this, id] { expire(id); });
    if (request.parent != 0) {
        requests_.at(request.parent).child = id;
    }
    requests_.emplace(id, std::move(request));
    dispatch(id);
}

auto Simulation::dispatch(const std::uint64_t id) -> void
{
    auto &request = requests_.at(id);
    auto &entry = *nodes_[request.entry];
    const auto *member = entry.placement.choose(scenario_.kinds[request.kind].service, request.tried, now_);
    if (member == nullptr) {
        finishRequest(id, refusal(mesh::HopReason::Unreachable, mesh::minRetryAfter, request.entry));
        return;
    }
    const auto found =
        std::ranges::find_if(nodes_, [&](const auto &node) { return node->member.name == member->name; });
    request.node = static_cast<std::size_t>(found - nodes_.begin());
    request.state = Request::State::Travelling;
    request.tried.push_back(member->name);
    entry.placement.started(member->name);
    after(scenario_.hopDelay, [this, id] { offer(id); });
}

auto Simulation::offer(const std::uint64_t id) -> void
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    auto &request = found->second;
    const auto rank = request.client && settings_.policy != Policy::FirstCome ? rankOf(request.kind) : 0U;
    const auto startBy = std::max(request.startBy, now_ + internal::minQueueWait);
    auto &node = *nodes_[request.node];
    if (node.isAway) {
        reply(id, refusal(mesh::HopReason::Leaving, mesh::minRetryAfter, request.node));
        return;
    }
    const auto decision =
        node.gate.offer({id, rank, scenario_.kinds[request.kind].name, request.deadline, startBy}, now_);
    if (decision.kind == mesh::InstanceGate::Decision::Kind::Refuse) {
        reply(id, refusal(mesh::HopReason::QueueFull, decision.retryAfter, request.node));
    } else if (decision.kind == mesh::InstanceGate::Decision::Kind::Run) {
        startRun(id);
    } else {
        request.state = Request::State::Queued;
        advance(request.node);
    }
}

auto Simulation::startRun(const std::uint64_t id) -> void
{
    auto &request = requests_.at(id);
    auto &node = *nodes_[request.node];
    const auto &kind = scenario_.kinds[request.kind];
    request.state = Request::State::Running;
    request.runStartedAt = now_;
    ++request.instancesReached;
    node.learner.runStarted(kind.name, request.deadline);
    if (uniform() < troubleFactor(TroubleModel::Kind::Reject, &node)) {
        after(internal::rejectionTime,
              [this, id] { finishRun(id, mesh::HopOutcome::NotRun, mesh::HopReason::Rejected); });
        return;
    }
    const auto isBeyondKnee = node.gate.load(now_).running > node.service->knee * node.instance.slots;
    const auto factor = (isBeyondKnee ? node.service->kneeFactor : 1.0) * troubleFactor(TroubleModel::Kind::Slow, &node)
                      / node.instance.speed;
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    std::lognormal_distribution<double> draw{-kind.spread * kind.spread / 2, kind.spread};
    const auto work = static_cast<double>(kind.work.count()) * factor * draw(random_);
    request.halfWork = Duration{static_cast<Duration::rep>(work / 2)};
    for (auto call = kind.calls.rbegin(); call != kind.calls.rend(); ++call) {
        request.callsLeft.insert(request.callsLeft.end(), call->times, kindIndex(call->kind));
    }
    const auto run = request.instancesReached;
    after(request.halfWork, [this, id, run] {
        if (const auto found = requests_.find(id); found != requests_.end() && found->second.instancesReached == run) {
            resume(id);
        }
    });
}

auto Simulation::resume(const std::uint64_t id) -> void
{
    auto &request = requests_.at(id);
    auto &node = *nodes_[request.node];
    if (!request.callsLeft.empty()) {
        Request call;
        call.kind = request.callsLeft.back();
        request.callsLeft.pop_back();
        call.entry = request.node;
        call.parent = id;
        const auto &kind = scenario_.kinds[call.kind];
        call.deadline = std::min(request.deadline, now_ + kind.timeout);
        call.startBy = call.deadline;
        node.learner.callMade(kind.name, request.deadline);
        startRequest(std::move(call));
        return;
    }
    after(request.halfWork, [this, id] { finishRun(id, mesh::HopOutcome::Answered, mesh::HopReason::None); });
}

auto Simulation::leaveNode(const std::uint64_t id, Request &request) -> void
{
    auto &node = *nodes_[request.node];
    if (request.state == Request::State::Running) {
        node.learner.runEnded(scenario_.kinds[request.kind].name, request.deadline, now_ - request.runStartedAt);
    }
    if (request.state != Request::State::Travelling) {
        node.gate.finish(id, Duration::zero());
    }
    request.state = Request::State::Travelling;
    request.callsLeft.clear();
}

auto Simulation::finishRun(const std::uint64_t id, const mesh::HopOutcome outcome, const mesh::HopReason reason) -> void
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.state != Request::State::Running) {
        return;
    }
    auto &request = found->second;
    auto &node = *nodes_[request.node];
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusError = 500;
    mesh::HopReply result;
    result.outcome = outcome;
    result.reason = reason;
    result.reached = true;
    result.answer.status = request.callsLeft.empty() && request.child == 0 ? statusOk : statusError;
    const auto hasSucceeded = outcome == mesh::HopOutcome::Answered && result.answer.status == statusOk;
    if (hasSucceeded) {
        node.gate.finish(id, now_ - request.runStartedAt);
    }
    const auto position = request.node;
    leaveNode(id, request);
    result.load = node.gate.load(now_);
    reply(id, std::move(result));
    advance(position);
}

auto Simulation::advance(const std::size_t position) -> void
{
    auto &node = *nodes_[position];
    const auto dispatched = node.gate.dispatch(now_);
    for (const auto &refused : dispatched.refused) {
        requests_.at(refused.id).state = Request::State::Travelling;
        reply(refused.id, refusal(mesh::HopReason::Expired, refused.retryAfter, position));
    }
    for (const auto id : dispatched.run) {
        startRun(id);
    }
    if (node.gate.load(now_).queued > 0 && !node.isSweepScheduled) {
        node.isSweepScheduled = true;
        after(internal::sweepInterval, [this, position] {
            nodes_[position]->isSweepScheduled = false;
            advance(position);
        });
    }
}

auto Simulation::reply(const std::uint64_t id, mesh::HopReply reply) -> void
{
    after(scenario_.hopDelay, [this, id, reply = std::move(reply)] { handleReply(id, reply); });
}

auto Simulation::handleReply(const std::uint64_t id, const mesh::HopReply &reply) -> void
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    auto &request = found->second;
    auto &entry = *nodes_[request.entry];
    entry.placement.finished(request.tried.back(), reply.reason == mesh::HopReason::Rejected, reply.load, now_);
    if (reply.outcome == mesh::HopOutcome::Answered) {
        finishRequest(id, reply);
        return;
    }
    const auto &kind = scenario_.kinds[request.kind];
    const auto permission = mesh::retryPermission(
        {request.tried.size(), request.instancesReached, kind.maxAttempts, kind.isIdempotent}, reply);
    if (permission == mesh::RetryPermission::Free
        || (permission == mesh::RetryPermission::FromBudget && entry.retries.spend(kind.service, now_))) {
        dispatch(id);
    } else {
        finishRequest(id, reply);
    }
}

auto Simulation::finishRequest(const std::uint64_t id, const mesh::HopReply &reply) -> void
{
    const auto request = std::move(requests_.at(id));
    requests_.erase(id);
    if (request.client) {
        answerClient(request.client, reply);
        return;
    }
    const auto parent = requests_.find(request.parent);
    if (parent == requests_.end()) {
        return;
    }
    constexpr unsigned statusOk = 200;
    if (reply.outcome == mesh::HopOutcome::Answered && reply.answer.status == statusOk) {
        parent->second.child = 0;
        resume(request.parent);
    } else {
        // The instance answers 500 as soon as a call that it needs has failed; `child` still names the call.
        finishRun(request.parent, mesh::HopOutcome::Answered, mesh::HopReason::None);
    }
}

auto Simulation::expire(const std::uint64_t id) -> void
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    auto &request = found->second;
    nodes_[request.entry]->placement.finished(request.tried.back(), false, {}, now_);
    mesh::HopReply late;
    late.outcome = mesh::HopOutcome::Unknown;
    late.reason = mesh::HopReason::Expired;
    const auto child = request.child;
    const auto node = request.node;
    leaveNode(id, request);
    finishRequest(id, late);
    cancel(child);
    advance(node);
}

auto Simulation::cancel(const std::uint64_t id) -> void
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    auto &request = found->second;
    nodes_[request.entry]->placement.finished(request.tried.back(), false, {}, now_);
    const auto child = request.child;
    const auto node = request.node;
    leaveNode(id, request);
    requests_.erase(found);
    cancel(child);
    advance(node);
}

auto Simulation::troubleFactor(const TroubleModel::Kind kind, const Node *node) const -> double
{
    const auto time = now_ - internal::start - internal::leadTime;
    auto product = 1.0;
    auto rejected = 0.0;
    for (const auto &trouble : scenario_.troubles) {
        const auto isActive = trouble.kind == kind && trouble.from <= time && time < trouble.until;
        const auto isHit = node == nullptr
                        || (trouble.service == node->member.service
                            && (trouble.count == 0 ? node->instance.joinsAt <= trouble.from
                                                   : node->indexInService < trouble.count));
        if (isActive && isHit) {
            product *= trouble.factor;
            rejected = trouble.factor;
        }
    }
    return kind == TroubleModel::Kind::Reject ? rejected : product;
}

auto Simulation::refusal(const mesh::HopReason reason, const Duration retryAfter, const std::size_t node) const
    -> mesh::HopReply
{
    mesh::HopReply refused;
    refused.outcome = mesh::HopOutcome::NotRun;
    refused.reason = reason;
    refused.retryAfter = std::max(retryAfter, mesh::minRetryAfter);
    refused.load = nodes_[node]->gate.load(now_);
    return refused;
}

auto Simulation::hasRoom(const std::size_t kind) const -> bool
{
    const auto &model = scenario_.kinds[kind];
    auto limit = 0.0;
    auto running = 0.0;
    for (const auto node : joined_) {
        if (nodes_[node]->member.service == model.service) {
            const auto load = nodes_[node]->gate.load(now_);
            limit += load.limit;
            running += load.running + load.queued;
        }
    }
    return running < internal::roomUtilization * limit
        && std::ranges::all_of(model.calls, [&](const CallModel &call) { return hasRoom(kindIndex(call.kind)); });
}

auto Simulation::rankOf(const std::size_t kind) const -> std::uint32_t
{
    return 1 + scenario_.kinds[kind].priority;
}

auto Simulation::secondOf(const TimePoint time) -> SecondOutcome &
{
    const auto index =
        static_cast<std::size_t>((time - internal::start - internal::leadTime) / std::chrono::seconds{1});
    if (outcome_.seconds.size() <= index) {
        outcome_.seconds.resize(index + 1);
    }
    return outcome_.seconds[index];
}

auto Simulation::kindIndex(const std::string &name) const -> std::size_t
{
    const auto found = std::ranges::find(scenario_.kinds, name, &KindModel::name);
    return static_cast<std::size_t>(found - scenario_.kinds.begin());
}

auto Simulation::uniform() -> double
{
    return std::uniform_real_distribution{0.0, 1.0}(random_);
}

} // namespace jasminelatch::model
