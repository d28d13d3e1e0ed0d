#include "node.hpp"

#include "metrics_text.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Shortest interval between two log lines on the plan of admission. */
constexpr Duration planLogInterval = std::chrono::seconds{1};

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnavailable = 503;
/*! @brief Interval between reports to peers in a small fleet. */
constexpr Duration shortestReportInterval = std::chrono::milliseconds{250};
/*! @brief Peers per step of the interval: reports cost each node the same in a larger fleet. */
constexpr std::size_t peersPerInterval = 40;
/*! @brief Reports of which one tells what runs cost; that changes slowly. */
constexpr std::uint64_t reportsPerProfile = 4;
/*! @brief Time for which a record says that an instance stays slow; one step, so that the record is seldom written. */
constexpr Duration coldStep = std::chrono::seconds{3};
/*! @brief Part of the time to revocation in which a confirmation holds; the rest is for slow answers. */
constexpr double keyValidityPart = 0.9;
/*! @brief Part of a cap's allowed excess that is used up by requests unseen between nodes; the rest is for late
 * reports. */
constexpr double capDebtPart = 0.65;
/*! @brief Time in which the link to a new peer opens, and the store's old copy comes to show its record. */
constexpr Duration newPeerTime = std::chrono::seconds{3};
/*! @brief Time for which a stopping node still takes requests: two readiness checks must see it first. */
constexpr Duration farewellTime = std::chrono::milliseconds{2600};
/*! @brief Time for which a stopping node still passes requests on to its instance, which may well stay. */
constexpr Duration lastAcceptTime = std::chrono::milliseconds{2000};
/*! @brief Time kept of the grace period for the end itself. */
constexpr Duration graceMargin = std::chrono::milliseconds{400};
constexpr Duration stopCheckInterval = std::chrono::milliseconds{50};

auto milliseconds(const std::chrono::system_clock::time_point time) -> std::uint64_t
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(since.count());
}

/*! @brief Removes the counts that were told before and notes the others as told. */
auto keepChanges(std::map<std::string, std::uint64_t> &counts, std::map<std::string, std::uint64_t> &told) -> void
{
    std::erase_if(counts, [&](const auto &entry) {
        const auto [known, isNew] = told.try_emplace(entry.first, entry.second);
        return !isNew && std::exchange(known->second, entry.second) == entry.second;
    });
}

auto keeperSettings(const Settings &settings) -> FleetKeeper::Settings
{
    FleetKeeper::Settings keeper;
    const auto validity = static_cast<double>(settings.revocation.count()) * keyValidityPart;
    keeper.keyValidity = Duration{static_cast<Duration::rep>(validity)};
    return keeper;
}

/*! @brief Tells whether a VM has the address of a lost one, whose record has not run out yet. */
auto supersedes(const mesh::Member &later, const mesh::Member &earlier) -> bool
{
    return later.name != earlier.name && later.address == earlier.address && later.incarnation > earlier.incarnation;
}

auto capSettings(const Settings &settings) -> mesh::UsageCaps::Settings
{
    mesh::UsageCaps::Settings caps;
    caps.debt = settings.capExcess * capDebtPart;
    return caps;
}

auto repeatSettings(const Settings &settings) -> mesh::RepeatBudget::Settings
{
    return {.ratio = settings.repeatRatio, .slack = settings.repeatSlack, .window = settings.repeatWindow};
}

} // namespace internal

Node::Node(event::Loop &loop, const Clock &clock, Settings settings, Dialect dialect)
    : loop_{&loop}
    , settings_{std::move(settings)}
    , dialect_{std::move(dialect)}
    , incarnation_{internal::milliseconds(std::chrono::system_clock::now())}
    , log_{{}, clock, settings_.name}
    , placement_{{}, settings_.domain, std::hash<std::string>{}(settings_.name) ^ incarnation_}
    , caps_{internal::capSettings(settings_)}
    , repeats_{internal::repeatSettings(settings_)}
    , learner_{{}}
    , admission_{{}}
    , instance_{{loop, dialect_, log_, counters_, learner_}, settings_.instance, settings_.service}
    , keeper_{{loop, dialect_, log_, counters_},
              settings_.store,
              internal::keeperSettings(settings_),
              {[this](mesh::Configuration configuration) { configured(std::move(configuration)); },
               [this](const mesh::Member &member) { memberChanged(member); },
               [this](const std::set<std::string> &names) {
                   dropUnlisted(names);
               }}}
    , entry_{{loop, dialect_, log_, counters_, placement_, caps_, repeats_, admission_, learner_},
             settings_.service,
             {[this](const std::string &node,
                     const mesh::HopRequest &request,
                     std::function<void(mesh::HopReply)> done) { return send(node, request, std::move(done)); },
              [this](const std::string &node, const std::uint64_t exchange) { cancel(node, exchange); },
              [this] {
                  return keeper_.isFresh();
              }}}
    , peerServer_{loop,
                  instance_,
                  [this](const mesh::NodeReport &report) { applyReport(report); },
                  [this] {
                      return keeper_.confirmation();
                  }}
    , callers_{loop,
               {[this](mesh::Request request, HttpServer::Respond respond) {
                    const auto name = entry_.submit(std::move(request), std::move(respond));
                    reportEarly();
                    return name;
                },
                [this](const std::uint64_t name) { entry_.cancel(name); },
                [this] {
                    return limits();
                }}}
    , ready_{loop, HttpServer::answeringAtOnce([this](const mesh::Request &) { return answerReady(); })}
    , reports_{loop,
               HttpServer::answeringAtOnce([this](const mesh::Request &request) { return answerReport(request); })}
    , metrics_{loop, HttpServer::answeringAtOnce([this](const mesh::Request &) { return answerMetrics(); })}
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
        // Requests are served without metrics too.
        log_.write("metrics_unavailable", {{"error", *error}});
    }
    log_.write("start", {{"version", JASMINELATCH_VERSION}, {"incarnation", incarnation_}});
    keeper_.setOwnRecord(ownMember());
    keeper_.start();
    reportLater();
    return std::nullopt;
}

auto Node::stop() -> void
{
    if (stoppingSince_) {
        return;
    }
    stoppingSince_ = loop_->now();
    log_.write("stop", {{"active", entry_.activeRequests()}, {"at_instance", instance_.activeRequests()}});
    callers_.startClosing();
    loop_->after(internal::lastAcceptTime, [this] { closeInstance(); });
    checkStopped();
}

auto Node::closeInstance() -> void
{
    instance_.stopAccepting();
    placement_.removeMember(settings_.name);
    keeper_.leave();
    sendReports();
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
    const auto isReady = keeper_.hasConfiguration() && !stoppingSince_;
    return ownAnswer(isReady ? internal::statusOk : internal::statusUnavailable, {});
}

auto Node::answerMetrics() const -> mesh::Answer
{
    auto answer = ownAnswer(internal::statusOk, {});
    answer.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    answer.body = metricsText(counters_, gauges());
    return answer;
}

auto Node::answerReport(const mesh::Request &request) -> mesh::Answer
{
    std::string error;
    const auto report = dialect_.readReport(request, error);
    if (!report || (report->state != mesh::InstanceState::Gone && report->service != settings_.service)) {
        log_.write("report_rejected", {{"error", error.empty() ? "another service" : error}});
        return ownAnswer(internal::statusBadRequest, {});
    }
    applyInstanceReport(*report);
    auto answer = ownAnswer(internal::statusOk, {});
    answer.fields.push_back({"Content-Type", "application/json"});
    answer.body = "{}";
    return answer;
}

auto Node::applyInstanceReport(const mesh::InstanceReport &report) -> void
{
    const auto before = ownMember();
    if (!instance_.report(report)) {
        return;
    }
    auto after = ownMember();
    if (after.coldFor < before.coldFor) {
        // Peers know for how long it stays slow; nothing has to be written when that is over.
        after.coldFor = before.coldFor;
    }
    if (after != before) {
        publish();
    }
}

auto Node::askInstance() -> void
{
    const auto *service = configuration_->findService(settings_.service);
    if (service == nullptr || service->healthPath.empty() || !instance_.latest().id.empty()) {
        return;
    }
    instance_.askHealth(service->healthPath, [this](const mesh::InstanceReport &report) {
        // An acknowledged departure binds this process too, whatever the instance says of its health.
        const auto hasLeft = earlierRecord_ && earlierRecord_->instanceId == report.id && !earlierRecord_->accepting;
        if (!hasLeft) {
            applyInstanceReport(report);
        }
    });
}

auto Node::configured(mesh::Configuration configuration) -> void
{
    const auto isFirst = !configuration_;
    configuration_ = std::make_shared<mesh::ConfigurationIndex>(std::move(configuration));
    caps_.setAccounts(configuration_->configuration().accounts, loop_->now());
    admission_.setRoutes(configuration_->configuration());
    entry_.setConfiguration(configuration_);
    if (isFirst) {
        askInstance();
    }
}

auto Node::memberChanged(const mesh::Member &member) -> void
{
    if (member.name == settings_.name) {
        if (member.incarnation != incarnation_) {
            earlierRecord_ = member;
        }
        return;
    }
    const auto later = std::ranges::find_if(
        peers_, [&](const auto &entry) { return internal::supersedes(entry.second.member, member); });
    if (internal::supersedes(ownMember(), member) || later != peers_.end()) {
        const auto &by = later == peers_.end() ? settings_.name : later->first;
        log_.write("peer_superseded", {{"peer", member.name}, {"by", by}});
        dropPeer(member.name);
        return;
    }
    auto &peer = peers_[member.name];
    if (peer.link && !mesh::isOlder(peer.member, member)) {
        return;
    }
    const auto isOther = !peer.link || peer.member.address != member.address;
    if (!isOther && peer.member.incarnation < member.incarnation) {
        // Whatever was under way at the earlier process is lost with it.
        peer.link->fail();
    }
    if (isOther) {
        peer.addedAt = loop_->now();
        peer.link = std::make_unique<PeerLink>(
            *loop_, member.address, PeerLink::Settings{}, [this](const mesh::StoreConfirmation &word) {
                keeper_.confirmed(word);
            });
    }
    peer.member = member;
    placement_.setMember(member, loop_->now());
    peersChanged();
    dropSuperseded(member);
}

auto Node::dropSuperseded(const mesh::Member &member) -> void
{
    std::vector<std::string> superseded;
    for (const auto &[name, peer] : peers_) {
        if (internal::supersedes(member, peer.member)) {
            superseded.push_back(name);
        }
    }
    for (const auto &name : superseded) {
        log_.write("peer_superseded", {{"peer", name}, {"by", member.name}});
        dropPeer(name);
    }
}

auto Node::dropUnlisted(const std::set<std::string> &names) -> void
{
    // The listing may be older than a record, and leases run out while the store is away: a node that answers is kept.
    std::vector<std::string> gone;
    for (const auto &[name, peer] : peers_) {
        const auto isNew = loop_->now() - peer.addedAt < internal::newPeerTime;
        if (!names.contains(name) && !peer.link->isAlive() && !isNew) {
            gone.push_back(name);
        }
    }
    for (const auto &name : gone) {
        dropPeer(name);
    }
}

auto Node::dropPeer(const std::string &name) -> void
{
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return;
    }
    found->second.link->fail();
    peers_.erase(found);
    placement_.removeMember(name);
    caps_.removePeer(name);
    peersChanged();
}

auto Node::peersChanged() -> void
{
    caps_.setPeerCount(peers_.size());
    caps_.setReportInterval(reportInterval());
    repeats_.setNodeCount(peers_.size() + 1);
}

auto Node::applyReport(const mesh::NodeReport &report) -> void
{
    if (report.member && report.member->name == report.name) {
        memberChanged(*report.member);
    }
    placement_.applyReport(report);
    caps_.applyReport(report, loop_->now());
    admission_.applyReport(report, loop_->now());
}

auto Node::publish() -> void
{
    ++recordVersion_;
    const auto member = ownMember();
    if (!stoppingSince_) {
        placement_.setMember(member, loop_->now());
        keeper_.setOwnRecord(member);
    }
    sendReports();
}

auto Node::sendReports() -> void
{
    const auto report = ownReport();
    caps_.reportSent(loop_->now());
    placement_.applyReport(report);
    admission_.applyReport(report, loop_->now());
    auto changes = report;
    if (std::exchange(toldVersion_, recordVersion_) == recordVersion_) {
        changes.member.reset();
    }
    internal::keepChanges(changes.admitted, toldAdmitted_);
    internal::keepChanges(changes.offered, toldOffered_);
    const auto changesFrame = mesh::encodeFrame(mesh::ReportMessage{std::move(changes)}, loop_->now());
    std::string wholeFrame;
    const auto whole = [&]() -> std::string_view {
        if (wholeFrame.empty()) {
            wholeFrame = mesh::encodeFrame(mesh::ReportMessage{report}, loop_->now());
        }
        return wholeFrame;
    };
    for (auto &[name, peer] : peers_) {
        peer.link->sendReport(changesFrame, whole);
    }
}

auto Node::reportEarly() -> void
{
    const auto due = caps_.earlyReportAt();
    if (!due || earlyReport_) {
        return;
    }
    earlyReport_ = true;
    loop_->after(std::max<Duration>(*due - loop_->now(), Duration::zero()), [this] {
        earlyReport_ = false;
        if (caps_.earlyReportAt()) {
            sendReports();
        }
    });
}

auto Node::reportLater() -> void
{
    loop_->after(reportInterval(), [this] {
        tick();
        reportLater();
    });
}

auto Node::tick() -> void
{
    const auto now = loop_->now();
    if (fadedAt_ != TimePoint{}) {
        learner_.fade(now - fadedAt_);
    }
    fadedAt_ = now;
    sendReports();
    keeper_.setOrder(orderAmongLive());
    for (const auto &[name, peer] : peers_) {
        placement_.setReachable(name, peer.link->isAlive());
    }
    admission_.update([this](const std::string &service) { return placement_.room(service); }, now);
    logPlan(now);
}

auto Node::orderAmongLive() const -> std::size_t
{
    const auto before = [this](const auto &entry) {
        return entry.first < settings_.name && entry.second.link->isAlive();
    };
    return static_cast<std::size_t>(std::ranges::count_if(peers_, before));
}

auto Node::logPlan(const TimePoint now) -> void
{
    nlohmann::json kinds = nlohmann::json::array();
    for (const auto &kind : admission_.kinds()) {
        if (kind.part < 1.0) {
            kinds.push_back({{"route", kind.route},
                             {"rank", kind.rank},
                             {"rate", kind.rate},
                             {"part", kind.part},
                             {"costs", kind.costs}});
        }
    }
    const auto wasShort = std::exchange(isShort_, !kinds.empty());
    if (now - planLoggedAt_ < internal::planLogInterval || (kinds.empty() && !wasShort)) {
        return;
    }
    planLoggedAt_ = now;
    nlohmann::json services = nlohmann::json::array();
    for (const auto &[name, plan] : admission_.services()) {
        services.push_back({{"service", name},
                            {"limit", plan.room.limit},
                            {"running", plan.room.running},
                            {"queued", plan.room.queued},
                            {"planned", plan.planned},
                            {"seen", plan.seen},
                            {"pressure", plan.pressure}});
    }
    log_.write("plan", {{"short_kinds", std::move(kinds)}, {"services", std::move(services)}});
}

auto Node::gauges() const -> std::map<std::string, double>
{
    const auto load = instance_.load();
    const auto version = configuration_ ? configuration_->configuration().version : 0;
    return {{"configuration_version", static_cast<double>(version)},
            {"configuration_fresh", keeper_.isFresh() ? 1.0 : 0.0},
            {"peers", static_cast<double>(peers_.size())},
            {"instance_running", load.running},
            {"instance_queued", load.queued},
            {"instance_limit", load.limit},
            {"instance_run_seconds", std::chrono::duration<double>(load.runTime).count()},
            {"entry_active", static_cast<double>(entry_.activeRequests())}};
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
            instance_.isAccepting(),
            instance.coldFor > Duration::zero() ? internal::coldStep : Duration::zero(),
            recordVersion_};
}

auto Node::ownReport() -> mesh::NodeReport
{
    const auto tellsProfiles = reportCount_++ % internal::reportsPerProfile == 0;
    return {settings_.name,
            incarnation_,
            instance_.latest().id,
            instance_.isAccepting(),
            instance_.load(),
            caps_.admitted(),
            admission_.offered(),
            tellsProfiles ? learner_.profiles() : std::vector<mesh::RouteProfile>{},
            ownMember()};
}

auto Node::reportInterval() const -> Duration
{
    return internal::shortestReportInterval
         * static_cast<Duration::rep>(1 + peers_.size() / internal::peersPerInterval);
}

auto Node::limits() const -> mesh::Limits
{
    return configuration_ ? configuration_->configuration().limits : mesh::Limits{};
}

auto Node::checkStopped() -> void
{
    const auto elapsed = loop_->now() - *stoppingSince_;
    const auto active = entry_.activeRequests() + instance_.activeRequests() + callers_.activeRequests();
    const auto done = elapsed >= internal::farewellTime && active == 0;
    if (done || elapsed >= settings_.grace - internal::graceMargin) {
        log_.write("stopped", {{"cut_off", active}});
        loop_->stop();
        return;
    }
    loop_->after(internal::stopCheckInterval, [this] { checkStopped(); });
}

auto Node::send(const std::string &node, const mesh::HopRequest &request, std::function<void(mesh::HopReply)> finished)
    -> std::uint64_t
{
    if (node == settings_.name) {
        return instance_.submit(request, std::move(finished));
    }
    return peers_.at(node).link->send(request, std::move(finished));
}

auto Node::cancel(const std::string &node, const std::uint64_t exchange) -> void
{
    if (node == settings_.name) {
        instance_.cancel(exchange);
    } else if (const auto found = peers_.find(node); found != peers_.end()) {
        found->second.link->cancel(exchange);
    }
}

} // namespace jasminelatch::sidecar
