#include "runtime.hpp"

#include "announcement.hpp"

#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/net/store_client.hpp>

#include <glog/logging.h>

#include <utility>

namespace jasminelatch::node {

namespace internal {

constexpr auto tickInterval = std::chrono::milliseconds{20};
constexpr Duration storeTimeout = std::chrono::seconds{1};
constexpr Duration longestLeave = std::chrono::seconds{15};
constexpr auto longestLastAnswer = std::chrono::seconds{2};
constexpr auto quietBeforeExit = std::chrono::milliseconds{200};
constexpr long storeConnections = 16;
constexpr long spareBackendConnections = 64;

auto incarnation() -> std::uint64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(now).count());
}

auto toBackendResult(net::HttpResult result) -> call::BackendResult
{
    switch (result.end) {
    case net::HttpEnd::Answered:
        return {call::BackendEnd::Answered, std::move(result.response)};
    case net::HttpEnd::NotSent:
        return {call::BackendEnd::NotSent, {}};
    case net::HttpEnd::TimedOut:
        return {call::BackendEnd::TimedOut, {}};
    case net::HttpEnd::Lost:
    case net::HttpEnd::Cancelled:
        break;
    }
    return {call::BackendEnd::Lost, {}};
}

auto jsonResponse(const int status, const nlohmann::json &json) -> net::HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, json.dump(2) + "\n"};
}

} // namespace internal

Runtime::Runtime(const Settings &settings)
    : settings_{settings}
    , core_{settings, internal::incarnation(), clock_, coreHooks()}
{
}

Runtime::~Runtime() = default;

auto Runtime::coreHooks() -> Core::Hooks
{
    Core::Hooks hooks;
    hooks.store = [this](store::Request request, store::Callback callback) {
        callStore(std::move(request), std::move(callback));
    };
    hooks.send = [this](const NodeAddress &to, std::string bytes) {
        transport_->send(to.text(), {bytes.begin(), bytes.end()});
    };
    hooks.reopen = [this](const NodeAddress &peer) {
        transport_->reopen(peer.text());
    };
    hooks.callBackend = [this](const call::BackendCall &call) {
        callBackend(call);
    };
    hooks.cancelBackend = [this](const RequestId &attempt) {
        cancelBackend(attempt);
    };
    hooks.answer = [this](const DoorNumber to, net::HttpResponse response) {
        if (leaving_) {
            response.headers["Connection"] = "close";
        }
        doors_.answer(to, std::move(response));
    };
    return hooks;
}

auto Runtime::transportHooks() -> net::PeerTransport::Hooks
{
    net::PeerTransport::Hooks hooks;
    hooks.message = [this](std::string from, net::PeerTransport::Bytes message) {
        events_.post([this, peer = NodeAddress{std::move(from)}, bytes = std::move(message)] {
            core_.receive(peer, {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
        });
    };
    hooks.rejected = [this](const std::string &reason) {
        events_.post([this, reason] {
            core_.counters().add("transport.rejected");
            LOG(WARNING) << "transport: rejected a connection, " << reason;
        });
    };
    hooks.opened = [this](std::string to) {
        events_.post([this, peer = NodeAddress{std::move(to)}] { core_.connectionOpened(peer); });
    };
    hooks.closed = [this](std::string to) {
        events_.post([this, peer = NodeAddress{std::move(to)}] { core_.connectionClosed(peer); });
    };
    return hooks;
}

auto Runtime::open() -> boost::leaf::result<void>
{
    storeClient_ = std::make_unique<net::HttpClient>(internal::storeConnections);
    backendClient_ = std::make_unique<net::HttpClient>(static_cast<long>(settings_.maxConnections)
                                                       + internal::spareBackendConnections);
    net::PeerTransport::Settings transport;
    transport.address = settings_.address.text();
    transport.listen = settings_.listen;
    transport.secret = settings_.fleetSecret;
    transport_ = std::make_unique<net::PeerTransport>(transport, transportHooks());
    if (!transport_->start()) {
        return boost::leaf::new_error(net::ListenError{settings_.address.text()});
    }
    BOOST_LEAF_ASSIGN(callerDoor_, openDoor(settings_.host, settings_.callerPort, call::Origin::Caller));
    BOOST_LEAF_ASSIGN(localDoor_, openDoor("127.0.0.1", settings_.localPort, call::Origin::BackendServer));
    BOOST_LEAF_ASSIGN(operatorPort_, openOperatorPort());
    return {};
}

auto Runtime::openDoor(const std::string &host, const std::uint16_t port, const call::Origin origin)
    -> boost::leaf::result<std::unique_ptr<net::HttpServer>>
{
    net::HttpServer::Settings server;
    server.host = host;
    server.port = port;
    server.maxBody = settings_.maxBody;
    server.maxConnections = settings_.maxConnections;
    net::HttpServer::Hooks hooks;
    hooks.request = [this, origin](net::RequestNumber number, net::HttpRequest request, net::Responder responder) {
        events_.post([this, from = DoorNumber{origin, number}, request = std::move(request), responder]() mutable {
            if (from.door == call::Origin::BackendServer && request.path == announcementPath) {
                Findings findings;
                const auto announcement = parseAnnouncement(request.body, findings);
                if (announcement) {
                    core_.announce(*announcement);
                }
                responder({announcement ? 204 : 400, {}, toText(findings)});
                return;
            }
            doors_.add(from, std::move(responder));
            core_.handle(from, std::move(request));
        });
    };
    hooks.gone = [this, origin](const net::RequestNumber number) {
        events_.post([this, from = DoorNumber{origin, number}] { core_.gone(from); });
    };
    return net::HttpServer::start(server, std::move(hooks));
}

auto Runtime::openOperatorPort() -> boost::leaf::result<std::unique_ptr<net::HttpServer>>
{
    net::HttpServer::Settings server;
    server.host = settings_.host;
    server.port = settings_.operatorPort;
    net::HttpServer::Hooks hooks;
    hooks.request = [this](net::RequestNumber, net::HttpRequest request, net::Responder responder) {
        events_.post([this, request = std::move(request), responder = std::move(responder)] {
            responder(answerOperator(request));
        });
    };
    hooks.gone = [](net::RequestNumber) {
    };
    return net::HttpServer::start(server, std::move(hooks));
}

auto Runtime::answerOperator(const net::HttpRequest &request) -> net::HttpResponse
{
    if (request.method != "GET") {
        return internal::jsonResponse(405, {{"error", "only GET is allowed"}});
    }
    if (request.path == "/health") {
        const auto joined = core_.controllers().membership().joined();
        return internal::jsonResponse(joined ? 200 : 503, {{"joined", joined}});
    }
    if (request.path == "/status") {
        return internal::jsonResponse(200, core_.status());
    }
    if (request.path == "/counters") {
        nlohmann::json counters = core_.counters().all();
        const auto traffic = transport_->traffic();
        counters["transport.sent_messages"] = traffic.sentMessages;
        counters["transport.sent_bytes"] = traffic.sentBytes;
        counters["transport.received_messages"] = traffic.receivedMessages;
        counters["transport.received_bytes"] = traffic.receivedBytes;
        return internal::jsonResponse(200, counters);
    }
    return internal::jsonResponse(404, {{"error", "try /health, /status or /counters"}});
}

auto Runtime::callBackend(const call::BackendCall &call) -> void
{
    net::HttpCall http;
    http.method = call.method;
    http.url = call.url;
    http.headers = call.headers;
    http.body = call.body;
    http.timeout = call.timeout;
    http.freshConnection = call.freshConnection;
    backendCalls_[call.id] = backendClient_->send(std::move(http), [this, id = call.id](net::HttpResult result) {
        events_.post([this, id, moved = std::move(result)]() mutable {
            backendCalls_.erase(id);
            core_.backendAnswered(id, internal::toBackendResult(std::move(moved)));
        });
    });
}

auto Runtime::cancelBackend(const RequestId &attempt) -> void
{
    const auto position = backendCalls_.find(attempt);
    if (position != backendCalls_.end()) {
        backendClient_->cancel(position->second);
    }
}

auto Runtime::callStore(store::Request request, store::Callback callback) -> void
{
    auto call = net::toHttpCall(settings_.store, request, internal::storeTimeout);
    storeClient_->send(std::move(call), [this, request, callback = std::move(callback)](const net::HttpResult &result) {
        events_.post(
            [this, answer = net::toAnswer(request, result), callback] { core_.run([&] { callback(answer); }); });
    });
}

auto Runtime::maintain() -> void
{
    core_.tick();
    callerDoor_->findGoneCallers();
    localDoor_->findGoneCallers();
}

auto Runtime::sendLastAnswers() -> void
{
    const auto begin = std::chrono::steady_clock::now();
    auto quietSince = begin;
    callerDoor_->stopListening();
    localDoor_->stopListening();
    while (std::chrono::steady_clock::now() < begin + internal::longestLastAnswer) {
        events_.runUntil(std::chrono::steady_clock::now() + internal::tickInterval);
        const auto now = std::chrono::steady_clock::now();
        if (callerDoor_->openCount() + localDoor_->openCount() > 0) {
            quietSince = now;
        }
        if (now - quietSince >= internal::quietBeforeExit) {
            return;
        }
    }
}

auto Runtime::run(const std::atomic<bool> &stopRequested) -> bool
{
    LOG(INFO) << "node: started at " << settings_.address;
    core_.start();
    std::optional<TimePoint> leaveSince;
    while (!core_.finished()) {
        if (stopRequested && !leaveSince) {
            LOG(INFO) << "node: leaving";
            leaveSince = clock_.now();
            leaving_ = true;
            core_.leave();
        }
        if (leaveSince && clock_.now() - *leaveSince > internal::longestLeave) {
            break;
        }
        events_.runUntil(std::chrono::steady_clock::now() + internal::tickInterval);
        maintain();
    }
    sendLastAnswers();
    const auto clean = core_.requestPath().openRequests() == 0;
    LOG(INFO) << "node: stopped, " << (clean ? "nothing was cut off" : "requests were cut off");
    return clean;
}

} // namespace jasminelatch::node
