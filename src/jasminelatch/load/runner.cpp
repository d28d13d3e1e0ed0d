#include "runner.hpp"

#include "answer.hpp"

#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/record/reader.hpp>

#include <algorithm>
#include <thread>

namespace jasminelatch::load {

namespace internal {

constexpr long mostConnections = 2000;
constexpr int politeAttempts = 3;
constexpr int hardAttempts = 5;
constexpr double skewedShare = 0.8;
constexpr Duration longestStep = std::chrono::milliseconds{20};
constexpr Duration grace = std::chrono::seconds{12};
constexpr Duration faultTimeout = std::chrono::seconds{2};

auto later(const auto &a, const auto &b) -> bool
{
    return a.at > b.at;
}

auto hasKind(const Targets &targets, const KindName &name) -> bool
{
    return std::any_of(targets.kinds.begin(), targets.kinds.end(), [&](const auto &kind) { return kind.name == name; });
}

auto checkLoad(const AccountLoad &load, const Targets &targets, const record::Place &place) -> Findings
{
    Findings findings;
    if (!targets.keys.contains(load.account)) {
        findings.push_back({place.file, place.pointer + "/account", "no key for " + load.account.text()});
    }
    for (const auto &share : load.mix) {
        if (!hasKind(targets, share.kind)) {
            findings.push_back({place.file, place.pointer + "/mix", "no kind " + share.kind.text()});
        }
    }
    return findings;
}

} // namespace internal

auto checkTargets(const Scenario &scenario, const Targets &targets, const std::string &file) -> Findings
{
    Findings findings;
    for (std::size_t index = 0; index < scenario.load.size(); ++index) {
        const record::Place place{file, "/load/" + std::to_string(index)};
        const auto found = internal::checkLoad(scenario.load[index], targets, place);
        findings.insert(findings.end(), found.begin(), found.end());
    }
    return findings;
}

Runner::Runner(const Scenario &scenario, Targets targets, const std::uint64_t seed)
    : scenario_{&scenario}
    , targets_{std::move(targets)}
    , random_{seed}
    , arrivals_{scenario, seed}
{
    for (const auto &account : targets_.accounts) {
        buckets_.emplace(account.name, TokenBucket{account.rate, account.burst});
    }
    for (const auto &kind : targets_.kinds) {
        kinds_[kind.name] = &kind;
    }
    client_ = std::make_unique<net::HttpClient>(internal::mostConnections);
}

Runner::~Runner()
{
    client_.reset();
}

auto Runner::run() -> std::vector<Sample>
{
    startedAt_ = clock_.now();
    planFaults();
    planArrival();
    const auto last = scenario_->duration + internal::grace;
    while (elapsed() < last && (!steps_.empty() || open_ > 0)) {
        const auto wait = std::clamp(nextStepAt() - elapsed(), Duration::zero(), internal::longestStep);
        events_.runUntil(std::chrono::steady_clock::now() + wait);
        runDueSteps();
    }
    client_.reset();
    std::vector<Sample> samples;
    samples.reserve(requests_.size());
    for (auto &request : requests_) {
        samples.push_back(std::move(request.sample));
    }
    return samples;
}

auto Runner::planFaults() -> void
{
    for (const auto &phase : scenario_->phases) {
        for (const auto &fault : phase.faults) {
            schedule(phase.start, [this, &fault] { setFault(fault, true); });
            schedule(phase.end, [this, &fault] { setFault(fault, false); });
        }
    }
}

auto Runner::setFault(const Fault &fault, const bool active) -> void
{
    net::HttpCall call;
    call.method = "PUT";
    call.body = active ? fault.body.dump() : "{}";
    call.timeout = internal::faultTimeout;
    if (fault.service.empty()) {
        call.url = targets_.store + "/v1/faults";
        client_->send(call, [](const net::HttpResult &) {});
        return;
    }
    for (const auto &backend : targets_.backends) {
        if (backend.service == fault.service) {
            call.url = backend.url + "/_control";
            client_->send(call, [](const net::HttpResult &) {});
        }
    }
}

auto Runner::planArrival() -> void
{
    const auto arrival = arrivals_.next();
    if (!arrival) {
        return;
    }
    schedule(arrival->at, [this, arrival = *arrival] {
        begin(arrival);
        planArrival();
    });
}

auto Runner::begin(const Arrival &arrival) -> void
{
    const auto number = requests_.size();
    Request request;
    request.kind = kinds_.at(arrival.kind);
    request.sample.account = request.kind->open ? AccountName{} : arrival.account;
    request.sample.kind = arrival.kind;
    request.sample.weight = request.kind->weight;
    request.sample.at = arrival.at;
    request.path = request.kind->path + "/r" + std::to_string(number);
    if (request.kind->method != "GET") {
        request.body = "request " + std::to_string(number);
    }
    if (!request.kind->idempotent) {
        request.idempotencyKey = "load-" + std::to_string(random_()) + "-" + std::to_string(number);
    }
    request.entry = chooseEntry(arrival.account);
    requests_.push_back(std::move(request));
    ++open_;
    attempt(number);
}

auto Runner::attempt(const std::size_t number) -> void
{
    auto &request = requests_[number];
    const auto now = elapsed();
    request.attemptWithinRate = takeToken(request.sample.account, now);
    request.sample.attemptsWithinRate += request.attemptWithinRate ? 1 : 0;
    if (request.attempts++ == 0) {
        request.sample.withinRate = request.attemptWithinRate;
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.sample.at + request.kind->timeout - now);
    net::HttpCall call;
    call.method = request.kind->method;
    call.url = targets_.nodes[request.entry] + "/" + request.kind->service.text() + request.path;
    call.body = request.body;
    call.timeout = left;
    call.headers[std::string{filter::timeoutField}] = std::to_string(std::max<std::int64_t>(1, left.count()));
    if (!request.sample.account.empty()) {
        call.headers[std::string{filter::authorizationField}] = "Bearer " + targets_.keys.at(request.sample.account);
    }
    if (!request.idempotencyKey.empty()) {
        call.headers[std::string{filter::idempotencyField}] = request.idempotencyKey;
    }
    client_->send(std::move(call), [this, number](net::HttpResult result) {
        events_.post([this, number, result = std::move(result)] { onEnd(number, result); });
    });
}

auto Runner::onEnd(const std::size_t number, const net::HttpResult &result) -> void
{
    auto &request = requests_[number];
    const auto now = elapsed();
    request.sample.latency = now - request.sample.at;
    const auto answered = result.end == net::HttpEnd::Answered && isWhole(result.response, request.path, request.body);
    if (answered && request.sample.latency <= request.kind->timeout) {
        request.sample.whole = true;
        --open_;
        return;
    }
    const auto reason = answered ? "late" : failureReason(result);
    request.sample.failures.push_back({now, reason, request.attemptWithinRate});
    const auto delay = repeatDelay(request, result, now);
    if (!delay) {
        --open_;
        return;
    }
    request.entry = (request.entry + 1) % targets_.nodes.size();
    schedule(now + *delay, [this, number] { attempt(number); });
}

auto Runner::repeatDelay(const Request &request, const net::HttpResult &result, const Duration at) const
    -> std::optional<Duration>
{
    const auto habit = habitAt(*scenario_, request.sample.at);
    if (habit == RetryHabit::None) {
        return std::nullopt;
    }
    const auto most = habit == RetryHabit::Hard ? internal::hardAttempts : internal::politeAttempts;
    const auto delay = habit == RetryHabit::Hard ? Duration::zero() : retryAfter(result.response);
    const auto useless = habit == RetryHabit::Polite && delay == Duration::zero();
    const auto tooLate = at + delay >= request.sample.at + request.kind->timeout;
    if (request.attempts >= most || useless || tooLate) {
        return std::nullopt;
    }
    return delay;
}

auto Runner::runDueSteps() -> void
{
    while (!steps_.empty() && steps_.front().at <= elapsed()) {
        std::pop_heap(steps_.begin(), steps_.end(), internal::later<Step, Step>);
        const auto step = std::move(steps_.back());
        steps_.pop_back();
        step.action();
    }
}

auto Runner::schedule(const Duration at, std::function<void()> action) -> void
{
    steps_.push_back({at, std::move(action)});
    std::push_heap(steps_.begin(), steps_.end(), internal::later<Step, Step>);
}

auto Runner::chooseEntry(const AccountName &account) -> std::size_t
{
    std::uniform_int_distribution<std::size_t> any{0, targets_.nodes.size() - 1};
    std::bernoulli_distribution favourite{internal::skewedShare};
    if (scenario_->entry == EntryHabit::Skewed && favourite(random_)) {
        return std::hash<AccountName>{}(account) % targets_.nodes.size();
    }
    return any(random_);
}

auto Runner::takeToken(const AccountName &account, const Duration at) -> bool
{
    const auto position = buckets_.find(account);
    return position == buckets_.end() || position->second.take(at);
}

auto Runner::elapsed() const -> Duration
{
    return clock_.now() - startedAt_;
}

auto Runner::nextStepAt() const -> Duration
{
    return steps_.empty() ? elapsed() + internal::longestStep : steps_.front().at;
}

} // namespace jasminelatch::load
