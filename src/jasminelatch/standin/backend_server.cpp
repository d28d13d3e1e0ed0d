#include "backend_server.hpp"

#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/node/announcement.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace jasminelatch::standin {

namespace internal {

constexpr auto tickInterval = std::chrono::milliseconds{1};
constexpr Duration announceInterval = std::chrono::milliseconds{300};
constexpr Duration announceTimeout = std::chrono::seconds{1};
constexpr Duration nestedTimeout = std::chrono::seconds{30};
constexpr double coldFactor = 4.0;
constexpr std::uint32_t misreportFactor = 10;
constexpr std::size_t mostRuns = 200'000;
constexpr long spareConnections = 32;
constexpr Duration drainTime = std::chrono::seconds{1};

auto toRun(const net::HttpRequest &request) -> nlohmann::json
{
    auto headers = nlohmann::json::object();
    for (const auto &[name, value] : request.headers) {
        headers[name] = value;
    }
    return {{"method", request.method}, {"path", request.path}, {"query", request.query}, {"headers", headers}};
}

auto isSuccess(const net::HttpResult &result) -> bool
{
    return result.end == net::HttpEnd::Answered && result.response.status < 300;
}

} // namespace internal

BackendServer::BackendServer(BackendSettings settings)
    : settings_{std::move(settings)}
    , startedAt_{clock_.now()}
    , runs_(nlohmann::json::array())
{
}

BackendServer::~BackendServer() = default;

auto BackendServer::open() -> boost::leaf::result<void>
{
    client_ = std::make_unique<net::HttpClient>(static_cast<long>(settings_.slots) + internal::spareConnections);
    net::HttpServer::Settings server;
    server.port = settings_.port;
    server.maxConnections = settings_.connections + static_cast<unsigned>(internal::spareConnections);
    server.idleTimeout = 60;
    net::HttpServer::Hooks hooks;
    hooks.request = [this](net::RequestNumber number, net::HttpRequest request, net::Responder responder) {
        events_.post([this, number, request = std::move(request), responder = std::move(responder)]() mutable {
            handle(number, std::move(request), std::move(responder));
        });
    };
    hooks.gone = [this](const net::RequestNumber number) {
        events_.post([this, number] { cancel(number); });
    };
    BOOST_LEAF_ASSIGN(server_, net::HttpServer::start(server, std::move(hooks)));
    return {};
}

auto BackendServer::handle(const net::RequestNumber number, net::HttpRequest request, net::Responder responder) -> void
{
    if (request.path == "/_control") {
        responder(control(request));
        return;
    }
    if (request.path == "/_runs") {
        responder({200, {{"Content-Type", "application/json"}}, runs_.dump()});
        return;
    }
    admit(number, std::move(request), std::move(responder));
}

auto BackendServer::control(const net::HttpRequest &request) -> net::HttpResponse
{
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        return {400, {}, {}};
    }
    faults_.slowFactor = json.value("slow_factor", 1.0);
    faults_.fail = json.value("fail", false);
    faults_.mute = json.value("mute", false);
    faults_.misreport = json.value("misreport", false);
    faults_.draining = json.value("draining", false);
    announce();
    return {204, {}, {}};
}

auto BackendServer::admit(const net::RequestNumber number, net::HttpRequest request, net::Responder responder) -> void
{
    const auto *route = findRoute(request.path);
    if (route == nullptr) {
        responder({404, {}, {}});
        return;
    }
    if (running_ >= settings_.slots && waiting_.size() >= settings_.queue) {
        responder({503, {{std::string{filter::outcomeField}, "not_run"}}, {}});
        return;
    }
    works_[number] = {std::move(request), std::move(responder), route, 0, {}, false};
    waiting_.push_back(number);
    startWaiting();
}

auto BackendServer::startWaiting() -> void
{
    while (running_ < settings_.slots && !waiting_.empty()) {
        const auto number = waiting_.front();
        waiting_.pop_front();
        start(number);
    }
}

auto BackendServer::start(const net::RequestNumber number) -> void
{
    auto &work = works_.at(number);
    work.running = true;
    ++running_;
    if (runs_.size() < internal::mostRuns) {
        runs_.push_back(internal::toRun(work.request));
    }
    timers_.push_back({clock_.now() + workTime(*work.route), number});
    std::push_heap(timers_.begin(), timers_.end(), [](const Timer &a, const Timer &b) { return a.due > b.due; });
}

auto BackendServer::proceed(const net::RequestNumber number) -> void
{
    const auto position = works_.find(number);
    if (position == works_.end()) {
        return;
    }
    const auto &work = position->second;
    if (faults_.mute) {
        return;
    }
    if (faults_.fail) {
        complete(number, 500);
        return;
    }
    work.nextCall < work.route->calls.size() ? callNext(number) : complete(number, 200);
}

auto BackendServer::callNext(const net::RequestNumber number) -> void
{
    auto &work = works_.at(number);
    const auto &nested = work.route->calls[work.nextCall++];
    net::HttpCall call;
    call.method = nested.method;
    call.url = settings_.node + nested.path;
    call.timeout = internal::nestedTimeout;
    call.headers[std::string{filter::ticketField}] = net::header(work.request.headers, filter::ticketField);
    client_->send(std::move(call), [this, number](net::HttpResult result) {
        events_.post([this, number, result = std::move(result)] { onNested(number, result); });
    });
}

auto BackendServer::onNested(const net::RequestNumber number, const net::HttpResult &result) -> void
{
    const auto position = works_.find(number);
    if (position == works_.end()) {
        return;
    }
    if (!internal::isSuccess(result)) {
        LOG(WARNING) << "backend: a nested call ended with " << static_cast<int>(result.end) << ' '
                     << result.response.status << ' ' << result.response.body;
        complete(number, 502);
        return;
    }
    position->second.nested += result.response.body;
    proceed(number);
}

auto BackendServer::complete(const net::RequestNumber number, const int status) -> void
{
    const auto &work = works_.at(number);
    work.responder({status, {{"Content-Type", "application/json"}}, status == 200 ? answerBody(work) : "{}"});
    release(number);
}

auto BackendServer::answerBody(const Work &work) const -> std::string
{
    const std::string filling(settings_.answerBytes, 'x');
    const auto id = std::string{net::header(work.request.headers, filter::requestIdField)};
    const auto content = id + settings_.service + work.request.path + work.request.body + work.nested + filling;
    const nlohmann::json json{{"request_id", id},
                              {"service", settings_.service},
                              {"path", work.request.path},
                              {"body", work.request.body},
                              {"nested", work.nested},
                              {"filling", filling},
                              {"checksum", std::hash<std::string>{}(content)}};
    return json.dump();
}

auto BackendServer::cancel(const net::RequestNumber number) -> void
{
    const auto position = works_.find(number);
    if (position == works_.end()) {
        return;
    }
    position->second.responder({499, {}, {}});
    release(number);
}

auto BackendServer::release(const net::RequestNumber number) -> void
{
    const auto position = works_.find(number);
    if (position->second.running) {
        --running_;
    } else {
        std::erase(waiting_, number);
    }
    works_.erase(position);
    startWaiting();
}

auto BackendServer::tick() -> void
{
    const auto now = clock_.now();
    const auto later = [](const Timer &a, const Timer &b) {
        return a.due > b.due;
    };
    while (!timers_.empty() && timers_.front().due <= now) {
        std::pop_heap(timers_.begin(), timers_.end(), later);
        const auto number = timers_.back().work;
        timers_.pop_back();
        proceed(number);
    }
    if (now - announcedAt_ >= internal::announceInterval) {
        announce();
        server_->findGoneCallers();
    }
}

auto BackendServer::announce() -> void
{
    announcedAt_ = clock_.now();
    const auto slots = faults_.misreport ? settings_.slots * internal::misreportFactor : settings_.slots;
    const auto *state = faults_.draining || stopping_ ? "draining" : (isCold() ? "starting" : "ready");
    net::HttpCall call;
    call.method = "PUT";
    call.url = settings_.node + std::string{node::announcementPath};
    call.timeout = internal::announceTimeout;
    call.body = nlohmann::json{
        {"url", "http://127.0.0.1:" + std::to_string(settings_.port)},
        {"slots", slots},
        {"connections", settings_.connections},
        {"state",
         state}}.dump();
    client_->send(std::move(call), [](const net::HttpResult &) {});
}

auto BackendServer::findRoute(const std::string &path) const -> const Route *
{
    for (const auto &route : settings_.routes) {
        if (path.starts_with(route.path)) {
            return &route;
        }
    }
    return nullptr;
}

auto BackendServer::workTime(const Route &route) const -> Duration
{
    const auto factor = faults_.slowFactor * (isCold() ? internal::coldFactor : 1.0);
    return Duration{static_cast<Duration::rep>(static_cast<double>(route.work.count()) * factor)};
}

auto BackendServer::isCold() const -> bool
{
    return clock_.now() - startedAt_ < settings_.coldStart;
}

auto BackendServer::run(const std::atomic<bool> &stopRequested) -> void
{
    announce();
    TimePoint stopAt{};
    while (!stopping_ || !works_.empty() || clock_.now() < stopAt) {
        if (stopRequested && !stopping_) {
            stopping_ = true;
            stopAt = clock_.now() + internal::drainTime;
            announce();
        }
        events_.runUntil(std::chrono::steady_clock::now() + internal::tickInterval);
        tick();
    }
}

} // namespace jasminelatch::standin
