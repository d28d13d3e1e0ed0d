#include "node.hpp"

#include "metrics_text.hpp"
#include "route_explanation.hpp"
#include "wall_clock.hpp"

#include <jasminelatch/core/json_fields.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Minimum interval between log lines on the admission plan. */
constexpr Duration planLogInterval = std::chrono::seconds{1};

/*! @brief Path on the metrics address at which operators ask where a request would go. */
constexpr std::string_view explainPath = "/explain";

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;
/*! @brief Slow-start time that a record announces; a single step, so that the record is seldom rewritten. */
constexpr Duration coldStartStep = std::chrono::seconds{3};
/*! @brief Fraction of the revocation time for which a confirmation holds; the rest allows for slow answers. */
constexpr double keyValidityFraction = 0.9;
/*! @brief Fraction of the requests beyond a cap that nodes may admit before they see each other's counts. */
constexpr double capDeficitFraction = 0.5;
/*! @brief Fraction of them that an account may use in addition at any time. */
constexpr double capExtraFraction = 0.5;
/*! @brief Fraction of the rate beyond a cap that an account may use; the rest covers the onset of a flood, which is
 * detected late. */
constexpr double capOverRateFraction = 0.25;
/*! @brief Minimum time for which a stopping node accepts requests: two readiness checks must see it stopping first. */
constexpr Duration minDrainTime = std::chrono::milliseconds{2600};
/*! @brief Time for which a stopping node forwards requests to its instance, which may keep running. */
constexpr Duration instanceDrainDelay = std::chrono::milliseconds{2000};
/*! @brief Time for which an instance that reports is not used while the store has not shown whether it has departed. */
constexpr Duration departureWait = std::chrono::seconds{2};
/*! @brief Time for which the acknowledgement of a departure waits for the store; instances wait a second for it. */
constexpr Duration acknowledgementWait = std::chrono::milliseconds{900};
/*! @brief Number of starts of instances whose order is remembered. */
constexpr std::size_t maxStartHistory = 32;
/*! @brief Part of the grace period that is reserved for the shutdown itself. */
constexpr Duration graceMargin = std::chrono::milliseconds{400};
/*! @brief Divisor of the memory limit for messages; the other half is for everything else, and for moving a body of
 * unknown length to a larger block. */
constexpr std::size_t messageMemoryDivisor = 2;
/*! @brief Divisor of the memory for messages for the part that only small ones may use. */
constexpr std::size_t smallMessageDivisor = 8;
/*! @brief Divisors of the descriptor limit for connections from callers, from peers, and to each other port. The rest
 * is for connections to the instance, to peers and to the store. */
constexpr std::size_t callerDescriptorDivisor = 2;
constexpr std::size_t peerDescriptorDivisor = 8;
constexpr std::size_t otherDescriptorDivisor = 32;
/*! @brief Time before the end of a stopping node at which requests that wait for a slot are given up, so that those
 * which have just started can finish. */
constexpr Duration withdrawalLead = std::chrono::milliseconds{500};
/*! @brief Time in which the last answers of a stopping node leave. */
constexpr Duration lastAnswerLead = std::chrono::milliseconds{50};
/*! @brief Fraction of the slack of a cold instance that is used. */
constexpr double coldSlackFraction = 0.5;
constexpr Duration stopCheckInterval = std::chrono::milliseconds{50};

auto registrySettings(const Settings &settings) -> RegistryClient::Settings
{
    RegistryClient::Settings registry;
    const auto validity = static_cast<double>(settings.revocation.count()) * keyValidityFraction;
    registry.keyValidity = Duration{static_cast<Duration::rep>(validity)};
    return registry;
}

/*! @brief Returns the number of connections that a part of the descriptor limit allows. */
auto connectionLimit(const std::size_t divisor) -> std::size_t
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return std::max<std::size_t>(limit.rlim_cur / divisor, 1);
}

auto capSettings(const Settings &settings) -> mesh::UsageCaps::Settings
{
    mesh::UsageCaps::Settings caps;
    caps.overdraft = settings.capExcessRequests * capDeficitFraction;
    caps.rateMarginFraction = settings.capOverFraction * capOverRateFraction;
    const auto window = std::chrono::duration<double>(settings.capWindow).count();
    caps.rateMargin = window > 0.0 ? settings.capExcessRequests * capExtraFraction / window : 0.0;
    return caps;
}

auto gateSettings(const Settings &settings) -> mesh::InstanceGate::Settings
{
    mesh::InstanceGate::Settings gate;
    // A part of the slack is left for requests that the instance counts in a later second than this node.
    gate.coldStart.rateFactor = settings.coldOverFactor;
    gate.coldStart.burst = settings.coldSlackRequests * coldSlackFraction;
    gate.capacity.learn = settings.learnConcurrency;
    return gate;
}

auto retryBudgetSettings(const Settings &settings) -> mesh::RetryBudget::Settings
{
    return {.ratio = settings.retryRatio, .slack = settings.retrySlack, .window = settings.retryWindow};
}

} // namespace internal

Node::Node(event::Loop &loop, const Clock &clock, Settings settings, Dialect dialect)
    : loop_{&loop}
    , settings_{std::move(settings)}
    , dialect_{std::move(dialect)}
    , incarnation_{wallClockMilliseconds()}
    , log_{{}, clock, settings_.name}
    , budget_{settings_.memoryBytes / internal::messageMemoryDivisor,
              settings_.memoryBytes / internal::messageMemoryDivisor / internal::smallMessageDivisor}
    , placement_{{}, settings_.domain, std::hash<std::string>{}(settings_.name) ^ incarnation_}
    , caps_{internal::capSettings(settings_)}
    , retryBudget_{internal::retryBudgetSettings(settings_)}
    , learner_{{}}
    , admission_{{}}
    , crashes_{{}}
    , instance_{{loop, dialect_, log_, counters_, learner_, budget_, crashes_, internal::gateSettings(settings_)},
                settings_.instance,
                settings_.service,
                {[this] {
                     publishOwnMember();
                     departures_.record(instance_.latest());
                 },
                 [this] {
                     quarantines_.update(loop_->now());
                     fleet_.sendReports();
                 }}}
    , registry_{{loop, dialect_, log_, counters_},
                settings_.store,
                internal::registrySettings(settings_),
                {[this](mesh::Configuration configuration) { applyConfiguration(std::move(configuration)); },
                 [this](const mesh::Member &member) { fleet_.updateMember(member); },
                 [this](const std::span<const mesh::InstanceDeparture> departures) {
                     handleDeparturesKnown(departures);
                 },
                 [this](const std::set<std::string> &names) { fleet_.dropUnlistedPeers(names); },
                 [this](const mesh::StoredCrash &stored) { quarantines_.merge(stored, loop_->now()); },
                 [this] { handleStoreRestored(); },
                 [this] {
                     applyEvacuation();
                 }}}
    , writer_{{loop, dialect_, log_, counters_}, settings_.store, {}, {[this](const StoreItem &item) {
                  departures_.mergeConflict(item);
              }}}
    , departures_{{log_, writer_}, settings_.name}
    , quarantines_{{log_, crashes_, writer_}}
    , fleet_{{loop, log_, placement_, caps_, retryBudget_, admission_, registry_, crashes_, budget_},
             ownMember(),
             {[this] { return ownReport(); },
              [this] { return ownState(); },
              [this](const std::string_view frame) { peerServer_.broadcast(frame); },
              [this](const std::uint64_t incarnation) {
                  // A report or a listing is being applied.
                  loop_->defer([this, incarnation] { raiseIncarnation(incarnation); });
              }}}
    , router_{{loop, dialect_, log_, counters_, placement_, caps_, retryBudget_, admission_, learner_, crashes_},
              settings_.service,
              {[this](const std::string &node,
                      const mesh::HopRequest &request,
                      std::function<void(mesh::HopReply)> done) { return send(node, request, std::move(done)); },
               [this](const std::string &node, const std::uint64_t exchange) { cancel(node, exchange); },
               [this](const std::string &node, const std::uint64_t exchange) { withdraw(node, exchange); },
               [this] {
                   return registry_.isFresh();
               }}}
    , peerServer_{loop,
                  instance_,
                  {&budget_, internal::connectionLimit(internal::peerDescriptorDivisor)},
                  [this](const mesh::NodeReport &report) { return fleet_.handleReport(report); },
                  [this] {
                      return registry_.acknowledgement();
                  }}
    , callers_{loop,
               {[this](mesh::Request request, HttpServer::Respond respond) {
                    const auto name = router_.submit(std::move(request), std::move(respond));
                    scheduleEarlyReport();
                    return name;
                },
                [this](const std::uint64_t name) { router_.cancel(name); },
                [this] { return limits(); },
                &budget_,
                internal::connectionLimit(internal::callerDescriptorDivisor)}}
    , ready_{loop,
             HttpServer::synchronousHooks([this](const mesh::Request &) { return answerReady(); },
                                          &budget_,
                                          internal::connectionLimit(internal::otherDescriptorDivisor))}
    , reports_{loop,
               {[this](const mesh::Request &request, HttpServer::Respond respond) {
                    handleReport(request, std::move(respond));
                    return std::uint64_t{0};
                },
                [](std::uint64_t) {},
                HttpServer::smallLimits,
                &budget_,
                internal::connectionLimit(internal::otherDescriptorDivisor)}}
    , metrics_{loop,
               HttpServer::synchronousHooks(
                   [this](const mesh::Request &request) {
                       return request.target == internal::explainPath ? answerExplanation(request) : answerMetrics();
                   },
                   &budget_,
                   internal::connectionLimit(internal::otherDescriptorDivisor))}
    , startHistory_{internal::maxStartHistory}
{
}

auto Node::open() -> std::optional<std::string>
{
    const auto listen = [](auto &server, const event::Endpoint &on) -> std::optional<std::string> {
        if (auto error = server.open(on)) {
            return event::toText(on) + ": " + *error;
        }
        return std::nullopt;
    };
    for (auto error : {listen(peerServer_, settings_.peers),
                       listen(reports_, settings_.reports),
                       listen(callers_, settings_.callers),
                       listen(ready_, settings_.ready)}) {
        if (error) {
            return error;
        }
    }
    if (const auto error = metrics_.open(settings_.metrics)) {
        // Requests are served even without the metrics endpoint.
        log_.write("metrics_unavailable", {{"error", *error}});
    }
    loop_->setExceptionHandler([this](const std::exception &failure) {
        counters_.add("unexpected_errors");
        log_.write("unexpected_error", {{"error", failure.what()}});
    });
    log_.write("start", {{"version", JASMINELATCH_VERSION}, {"incarnation", incarnation_}});
    openedAt_ = loop_->now();
    registry_.setOwnRecord(storedRecord());
    registry_.start();
    // While the store is away, the instance's own word decides whether it is used.
    loop_->after(internal::departureWait, [this] {
        if (!registry_.knowsDepartures()) {
            probeInstance();
        }
    });
    scheduleReport();
    return std::nullopt;
}

auto Node::stop() -> void
{
    if (stoppingSince_) {
        return;
    }
    stoppingSince_ = loop_->now();
    log_.write("stop", {{"active", router_.activeRequests()}, {"at_instance", instance_.activeRequests()}});
    callers_.startDraining();
    loop_->after(internal::instanceDrainDelay, [this] { closeInstance(); });
    loop_->after(internal::minDrainTime, [this] { router_.acceptUntil(endTime()); });
    const auto timeLeft = endTime() - *stoppingSince_;
    loop_->after(std::max<Duration>(timeLeft - internal::withdrawalLead, Duration::zero()), [this] {
        router_.acceptUntil(endTime());
        router_.withdrawQueued();
    });
    loop_->after(std::max<Duration>(timeLeft - internal::lastAnswerLead, Duration::zero()),
                 [this] { router_.failActive(); });
    checkStopped();
}

auto Node::closeInstance() -> void
{
    instance_.stopAccepting();
    placement_.removeMember(settings_.name);
    registry_.deregister();
    fleet_.sendReports();
}

auto Node::reload(const Settings &settings) -> void
{
    const auto needsRestart = settings.callers != settings_.callers || settings.peers != settings_.peers
                           || settings.reports != settings_.reports || settings.ready != settings_.ready
                           || settings.instance != settings_.instance || settings.store != settings_.store;
    log_.write("reload", {{"needs_restart", needsRestart}});
}

auto Node::answerReady() const -> mesh::Answer
{
    const auto isReady = registry_.hasConfiguration() && !stoppingSince_;
    return makeAnswer(isReady ? internal::statusOk : internal::statusUnavailable, {});
}

auto Node::answerMetrics() const -> mesh::Answer
{
    auto answer = makeAnswer(internal::statusOk, {});
    answer.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    answer.body = metricsText(counters_, gauges());
    return answer;
}

auto Node::answerExplanation(const mesh::Request &request) const -> mesh::Answer
{
    std::string error;
    const auto explained = parseExplainedRequest(request.body.text(), error);
    auto answer = makeAnswer(explained ? internal::statusOk : internal::statusBadRequest, {});
    answer.fields.push_back({"Content-Type", "application/json"});
    const ExplanationContext context{
        configuration_.get(), registry_.isFresh(), settings_.domain, placement_, caps_, admission_};
    answer.body =
        explained ? explainRequest(*explained, context, loop_->now()).dump() : nlohmann::json{{"error", error}}.dump();
    return answer;
}

auto Node::handleReport(const mesh::Request &request, HttpServer::Respond respond) -> void
{
    std::string error;
    const auto report = dialect_.readReport(request, error);
    if (!report || (report->state != mesh::InstanceState::Gone && report->service != settings_.service)) {
        log_.write("report_rejected", {{"error", error.empty() ? "report names another service" : error}});
        respond(makeAnswer(internal::statusBadRequest, {}));
        return;
    }
    reportedStart_.record(*report, loop_->now());
    startHistory_.record(*report);
    if (report->state == mesh::InstanceState::Ready) {
        handleReadyReport(*report);
    } else {
        handleDepartureReport(*report);
    }
    if (instance_.latest().id.empty() || heldReport_) {
        probeInstance();
    }
    acknowledge(*report, std::move(respond));
}

auto Node::handleReadyReport(const mesh::InstanceReport &report) -> void
{
    if (mustHold(report)) {
        heldReport_ = report;
        logIgnoredReport(report, "held");
        return;
    }
    applyUnlessLate(report);
    if (instance_.isUnconfirmed()) {
        if (reportedStart_.isRunning(instance_.latest())) {
            instance_.confirm();
        } else {
            probeInstance();
        }
    }
}

auto Node::handleDepartureReport(mesh::InstanceReport report) -> void
{
    const auto &latest = instance_.latest();
    const auto isOtherStart = !latest.id.empty() && !mesh::isSameStart(report, latest);
    if (!isOtherStart) {
        report.startTimeMs = std::max(report.startTimeMs, latest.startTimeMs);
    }
    // It may precede all other reports of its start, or follow those of the next one: it counts for its start alone.
    const auto isRepeated = departures_.known().contains(report);
    departures_.record(report);
    if (isOtherStart && (isRepeated || startHistory_.precedes(report, latest))) {
        logIgnoredReport(report, "other_start");
        return;
    }
    if (isOtherStart && report.id == latest.id && report.startTimeMs < latest.startTimeMs) {
        // The report is late, or the clock was stepped back and the start that seems to be the latest has ended:
        // requests name the id of an instance alone.
        instance_.awaitConfirmation();
        probeInstance();
        return;
    }
    applyInstanceReport(report);
}

auto Node::mustHold(const mesh::InstanceReport &report) const -> bool
{
    const auto &latest = instance_.latest();
    const auto isInUse = latest.state == mesh::InstanceState::Ready && mesh::isSameStart(report, latest);
    if (registry_.knowsDepartures() || isInUse) {
        return false;
    }
    // A late report must not bring back an instance whose departure an earlier process has acknowledged.
    return loop_->now() - openedAt_ < internal::departureWait || canProbe();
}

auto Node::acknowledge(const mesh::InstanceReport &report, HttpServer::Respond respond) -> void
{
    auto answer = makeAnswer(internal::statusOk, {});
    answer.fields.push_back({"Content-Type", "application/json"});
    answer.body = "{}";
    if (report.state == mesh::InstanceState::Ready) {
        respond(std::move(answer));
        return;
    }
    // The acknowledgement promises that no request reaches the instance, whatever happens to this process.
    departures_.whenStored(
        internal::acknowledgementWait,
        [this, respond = std::move(respond), answer = std::move(answer), id = report.id, start = report.startTimeMs](
            const bool isStored) {
            log_.write("departure_acknowledged", {{"instance", id}, {"start_ms", start}, {"stored", isStored}});
            respond(isStored ? answer : makeAnswer(internal::statusUnavailable, mesh::minRetryAfter));
        });
}

auto Node::handleStoreRestored() -> void
{
    if (registry_.isFirstRelay()) {
        quarantines_.adoptAll();
    }
    // Also those that this process has only read: the store may be the only other place that has them.
    departures_.rewrite();
    writer_.rewriteAll();
}

auto Node::applyInstanceReport(const mesh::InstanceReport &report, const bool isRunning) -> void
{
    const auto before = ownMember();
    if (!instance_.report(report, isRunning || reportedStart_.isRunning(report))) {
        logIgnoredReport(report, "outdated");
        return;
    }
    auto after = ownMember();
    if (before.instanceId.empty()) {
        probeInstance();
    }
    if (after.coldStartRemaining < before.coldStartRemaining) {
        // Peers know how long the slow start lasts, so its end needs no new record.
        after.coldStartRemaining = before.coldStartRemaining;
    }
    if (after != before) {
        publishOwnMember();
    }
}

auto Node::applyEvacuation() -> void
{
    const auto &domains = registry_.evacuation().domains;
    placement_.setEvacuated(domains);
    instance_.setEvacuated(domains.contains(settings_.domain));
    publishOwnMember();
}

auto Node::probeInstance() -> void
{
    const auto isWanted = instance_.isAwaitingFirstAnswer() || instance_.latest().id.empty()
                       || instance_.isColdStartSuspected() || instance_.isUnconfirmed() || heldReport_;
    if (!isWanted || !canProbe()) {
        return;
    }
    const auto &path = configuration_->findService(settings_.service)->healthPath;
    instance_.queryHealth(path, [this](const mesh::InstanceReport &report) {
        if (registry_.knowsDepartures() || loop_->now() - openedAt_ >= internal::departureWait) {
            applyHealth(report);
        } else {
            healthReport_ = report;
        }
    });
}

auto Node::canProbe() const -> bool
{
    const auto *service = configuration_ ? configuration_->findService(settings_.service) : nullptr;
    return service != nullptr && !service->healthPath.empty();
}

auto Node::handleDeparturesKnown(const std::span<const mesh::InstanceDeparture> departures) -> void
{
    departures_.merge(departures);
    const auto &latest = instance_.latest();
    const auto hasDeparted = departures_.known().contains(latest);
    if (hasDeparted && latest.startTimeMs != 0) {
        instance_.markLeaving();
    } else if (hasDeparted || mayHaveEnded(latest)) {
        // It may be another start of its id, or one after a step back of the clock.
        instance_.awaitConfirmation();
        probeInstance();
    }
    if (const auto report = std::exchange(healthReport_, std::nullopt)) {
        applyHealth(*report);
    }
    if (const auto report = std::exchange(heldReport_, std::nullopt)) {
        applyUnlessLate(*report);
    }
}

auto Node::applyHealth(const mesh::InstanceReport &report) -> void
{
    // An acknowledged departure also applies to this process, whatever the instance's health check reports.
    if (!registry_.knowsDepartures() && heldReport_ && heldReport_->id == report.id) {
        // A health check names no start, the report that it confirms does.
        if (!departures_.known().contains(*heldReport_)) {
            applyInstanceReport(*heldReport_, true);
        }
        heldReport_.reset();
    } else if (!departures_.known().contains(report)) {
        applyInstanceReport(report);
    }
}

auto Node::applyUnlessLate(mesh::InstanceReport report) -> void
{
    const auto &latest = instance_.latest();
    if (departures_.known().contains(report)) {
        // It was sent before the departure.
        if (!latest.id.empty()) {
            logIgnoredReport(report, "departed");
            return;
        }
        report.state = mesh::InstanceState::Draining;
    } else if (!mesh::isSameStart(report, latest) && mayHaveEnded(report)) {
        logIgnoredReport(report, "precedes_departure");
        return;
    }
    applyInstanceReport(report);
}

auto Node::mayHaveEnded(const mesh::InstanceReport &report) const -> bool
{
    // The start before one that departed, or one after a step back of the clock: it is used once it keeps reporting.
    return departures_.known().mayPrecede(report) && !reportedStart_.isRunning(report);
}

auto Node::logIgnoredReport(const mesh::InstanceReport &report, const std::string_view cause) -> void
{
    const auto &latest = instance_.latest();
    log_.write("instance_report_ignored",
               {{"instance", report.id},
                {"state", static_cast<int>(report.state)},
                {"sequence", report.sequence},
                {"start_ms", report.startTimeMs},
                {"cause", cause},
                {"known_instance", latest.id},
                {"known_state", static_cast<int>(latest.state)},
                {"known_start_ms", latest.startTimeMs}});
}

auto Node::applyConfiguration(mesh::Configuration configuration) -> void
{
    const auto isFirst = !configuration_;
    configuration_ = std::make_shared<mesh::ConfigurationIndex>(std::move(configuration));
    caps_.setAccounts(configuration_->configuration().accounts, loop_->now());
    admission_.setRoutes(configuration_->configuration());
    router_.setConfiguration(configuration_);
    if (const auto *service = configuration_->findService(settings_.service); service != nullptr) {
        instance_.setColdStart(service->coldStart, service->coldRatePerSecond);
    }
    if (isFirst) {
        probeInstance();
    }
}

auto Node::publishOwnMember() -> void
{
    ++recordVersion_;
    const auto member = ownMember();
    if (!stoppingSince_) {
        placement_.setMember(member, loop_->now());
        registry_.setOwnRecord(storedRecord());
    }
    fleet_.sendReports();
}

auto Node::raiseIncarnation(const std::uint64_t above) -> void
{
    if (above < incarnation_ || above >= maxUnixMilliseconds) {
        return;
    }
    counters_.add("node.incarnation_raised");
    log_.write("incarnation_raised", {{"before", incarnation_}, {"above", above}});
    incarnation_ = above + 1;
    fleet_.setIncarnation(incarnation_);
    publishOwnMember();
}

auto Node::scheduleEarlyReport() -> void
{
    const auto due = caps_.earlyReportAt();
    if (!due || isEarlyReportScheduled_) {
        return;
    }
    isEarlyReportScheduled_ = true;
    loop_->after(std::max<Duration>(*due - loop_->now(), Duration::zero()), [this] {
        isEarlyReportScheduled_ = false;
        if (caps_.earlyReportAt()) {
            fleet_.sendReports();
        }
    });
}

auto Node::scheduleReport() -> void
{
    loop_->after(fleet_.reportInterval(), [this] {
        tick();
        scheduleReport();
    });
}

auto Node::tick() -> void
{
    const auto now = loop_->now();
    if (decayedAt_ != TimePoint{}) {
        learner_.decay(now - decayedAt_);
    }
    decayedAt_ = now;
    fleet_.update();
    quarantines_.update(now);
    if (instance_.isColdStartSuspected()) {
        probeInstance();
    }
    admission_.update([this](const std::string &service) { return placement_.capacity(service); }, now);
    instance_.setFleetProfiles(admission_.profiles());
    instance_.setInstanceCount(placement_.capacity(settings_.service).instances);
    logPlan(now);
}

auto Node::logPlan(const TimePoint now) -> void
{
    nlohmann::json kinds = nlohmann::json::array();
    for (const auto &kind : admission_.kinds()) {
        if (kind.fraction < 1.0) {
            kinds.push_back({{"route", kind.route},
                             {"rank", kind.rank},
                             {"rate", kind.rate},
                             {"part", kind.fraction},
                             {"costs", kind.costs}});
        }
    }
    const auto wasShedding = std::exchange(isShedding_, !kinds.empty());
    if (now - planLoggedAt_ < internal::planLogInterval || (kinds.empty() && !wasShedding)) {
        return;
    }
    planLoggedAt_ = now;
    nlohmann::json services = nlohmann::json::array();
    for (const auto &[name, plan] : admission_.services()) {
        services.push_back({{"service", name},
                            {"limit", plan.capacity.limit},
                            {"running", plan.capacity.running},
                            {"queued", plan.capacity.queued},
                            {"planned", plan.planned},
                            {"seen", plan.observed},
                            {"pressure", plan.plannedFraction}});
    }
    log_.write("plan", {{"short_kinds", std::move(kinds)}, {"services", std::move(services)}});
}

auto Node::gauges() const -> std::map<std::string, double>
{
    const auto load = instance_.load();
    const auto version = configuration_ ? configuration_->configuration().version : 0;
    return {{"configuration_version", static_cast<double>(version)},
            {"store_era", static_cast<double>(registry_.storeEra())},
            {"configuration_fresh", registry_.isFresh() ? 1.0 : 0.0},
            {"evacuated_domains", static_cast<double>(registry_.evacuation().domains.size())},
            {"peers", static_cast<double>(fleet_.peerCount())},
            {"relay", fleet_.isRelay() ? 1.0 : 0.0},
            {"instance_running", load.running},
            {"instance_queued", load.queued},
            {"instance_limit", load.limit},
            {"instance_learned_limit", instance_.capacity().learnedLimit()},
            {"instance_slowness", instance_.capacity().slowness()},
            {"instance_cold_seconds", std::chrono::duration<double>(instance_.coldStartRemaining()).count()},
            {"instance_rate_limit", instance_.rateLimit().value_or(-1.0)},
            {"crash_suspects", static_cast<double>(crashes_.suspectCount())},
            {"instance_run_seconds", std::chrono::duration<double>(load.runTime).count()},
            {"message_bytes", static_cast<double>(budget_.used())},
            {"entry_active", static_cast<double>(router_.activeRequests())}};
}

auto Node::ownMember() const -> mesh::Member
{
    const auto &instance = instance_.latest();
    return {settings_.name,
            incarnation_,
            settings_.peers,
            settings_.domain,
            settings_.service,
            instance.id,
            instance.slots,
            instance_.isAvailable(),
            instance.coldStartRemaining > Duration::zero() ? internal::coldStartStep : Duration::zero(),
            recordVersion_,
            instance.startTimeMs};
}

auto Node::storedRecord() const -> mesh::Member
{
    // Peers learn the instance's state from reports; its departure has an item of its own.
    auto member = ownMember();
    member.version = 0;
    member.coldStartRemaining = Duration::zero();
    member.accepting = false;
    member.instanceId.clear();
    member.instanceStartMs = 0;
    member.slots = 0;
    return member;
}

auto Node::ownState() const -> mesh::NodeReport
{
    mesh::NodeReport report;
    report.name = settings_.name;
    report.incarnation = incarnation_;
    report.instanceId = instance_.latest().id;
    report.accepting = instance_.isAvailable();
    report.load = instance_.load();
    report.kind = mesh::ReportKind::Own;
    return report;
}

auto Node::ownReport() const -> mesh::NodeReport
{
    auto report = ownState();
    report.admitted = caps_.admitted();
    report.offered = admission_.offered();
    report.profiles = learner_.profiles();
    report.member = ownMember();
    return report;
}

auto Node::limits() const -> mesh::Limits
{
    return configuration_ ? configuration_->configuration().limits : mesh::Limits{};
}

auto Node::endTime() const -> TimePoint
{
    return *stoppingSince_ + settings_.grace - internal::graceMargin;
}

auto Node::checkStopped() -> void
{
    const auto now = loop_->now();
    const auto active = router_.activeRequests() + instance_.activeRequests() + callers_.activeRequests();
    const auto done = now - *stoppingSince_ >= internal::minDrainTime && active == 0;
    if (done || now >= endTime()) {
        log_.write("stopped", {{"cut_off", active}});
        loop_->stop();
        return;
    }
    loop_->after(internal::stopCheckInterval, [this] { checkStopped(); });
}

auto Node::send(const std::string &node, const mesh::HopRequest &request, std::function<void(mesh::HopReply)> callback)
    -> std::uint64_t
{
    if (node == settings_.name) {
        return instance_.submit(request, std::move(callback));
    }
    return fleet_.send(node, request, std::move(callback));
}

auto Node::cancel(const std::string &node, const std::uint64_t exchange) -> void
{
    if (node == settings_.name) {
        instance_.cancel(exchange);
    } else {
        fleet_.cancel(node, exchange);
    }
}

auto Node::withdraw(const std::string &node, const std::uint64_t exchange) -> void
{
    if (node == settings_.name) {
        instance_.withdraw(exchange);
    } else {
        fleet_.withdraw(node, exchange);
    }
}

} // namespace jasminelatch::sidecar
