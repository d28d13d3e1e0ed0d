#include "store_server.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace jasminelatch::standin {

namespace internal {

constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view watchPath = "/v1/watch";
constexpr std::string_view faultsPath = "/v1/faults";
constexpr std::string_view callsPath = "/v1/calls";
constexpr std::size_t largestValue = std::size_t{1} << 20U;

auto number(const net::HttpRequest &request, const std::string &name) -> std::uint64_t
{
    const auto position = request.query.find(name);
    std::uint64_t value{};
    if (position != request.query.end()) {
        const auto &text = position->second;
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

auto toKeyRequest(const net::HttpRequest &http) -> std::optional<store::Request>
{
    store::Request request;
    request.key = http.path.substr(keyPrefix.size());
    request.expected = number(http, "expected");
    if (http.method == "GET") {
        request.operation = store::Operation::Get;
        return request;
    }
    if (http.method == "DELETE") {
        request.operation = store::Operation::Remove;
        return request;
    }
    if (http.method != "PUT") {
        return std::nullopt;
    }
    request.operation = store::Operation::Put;
    request.value = http.body;
    if (http.query.contains("ttl_us")) {
        request.timeToLive = Duration{static_cast<Duration::rep>(number(http, "ttl_us"))};
    }
    return request;
}

auto toRequest(const net::HttpRequest &http) -> std::optional<store::Request>
{
    if (http.path.starts_with(keyPrefix)) {
        return toKeyRequest(http);
    }
    if (http.path != watchPath || http.method != "GET" || !http.query.contains("prefix")) {
        return std::nullopt;
    }
    store::Request request;
    request.operation = store::Operation::Watch;
    request.key = http.query.at("prefix");
    request.after = number(http, "after");
    request.wait = Duration{static_cast<Duration::rep>(number(http, "wait_us"))};
    return request;
}

auto toJson(const store::Entry &entry) -> nlohmann::json
{
    return {{"key", entry.key}, {"value", entry.value}, {"revision", entry.revision}};
}

auto toOkJson(const store::Request &request, const store::Answer &answer) -> nlohmann::json
{
    switch (request.operation) {
    case store::Operation::Get:
        return toJson(answer.entries.front());
    case store::Operation::Put:
        return {{"revision", answer.entries.front().revision}};
    case store::Operation::Remove:
        return {{"revision", answer.revision}};
    case store::Operation::Watch:
        break;
    }
    auto entries = nlohmann::json::array();
    for (const auto &entry : answer.entries) {
        entries.push_back(toJson(entry));
    }
    return {{"revision", answer.revision}, {"entries", entries}, {"removed", answer.removed}};
}

auto toResponse(const store::Request &request, const store::Answer &answer) -> net::HttpResponse
{
    const net::Headers headers{{"Content-Type", "application/json"}};
    switch (answer.status) {
    case store::Status::Ok:
        return {200, headers, toOkJson(request, answer).dump()};
    case store::Status::Conflict:
        return {409, headers, answer.entries.empty() ? "{}" : toJson(answer.entries.front()).dump()};
    case store::Status::NotFound:
        return {404, headers, "{}"};
    case store::Status::Unknown:
        break;
    }
    return {500, headers, "{}"};
}

auto isWrite(const store::Operation operation) -> bool
{
    return operation == store::Operation::Put || operation == store::Operation::Remove;
}

} // namespace internal

auto StoreServer::open(const std::uint16_t port) -> boost::leaf::result<void>
{
    net::HttpServer::Settings settings;
    settings.port = port;
    settings.maxBody = internal::largestValue;
    net::HttpServer::Hooks hooks;
    hooks.request = [this](const net::RequestNumber number, const net::HttpRequest &request, net::Responder responder) {
        handle(number, request, responder);
    };
    hooks.gone = [this](const net::RequestNumber number) {
        forget(number);
    };
    BOOST_LEAF_ASSIGN(server_, net::HttpServer::start(settings, std::move(hooks)));
    return {};
}

auto StoreServer::handle(const std::uint64_t number, const net::HttpRequest &request, const net::Responder &responder)
    -> void
{
    if (request.path == internal::faultsPath || request.path == internal::callsPath) {
        control(request, responder);
        return;
    }
    if (request.bodyTooLarge) {
        responder({413, {}, "{}"});
        return;
    }
    auto parsed = internal::toRequest(request);
    if (!parsed) {
        responder({400, {}, "{}"});
        return;
    }
    begin(number, std::move(*parsed), responder);
}

auto StoreServer::control(const net::HttpRequest &request, const net::Responder &responder) -> void
{
    const std::lock_guard lock{mutex_};
    if (request.path == internal::callsPath) {
        responder({200, {}, nlohmann::json{{"reads", calls_.reads}, {"writes", calls_.writes}}.dump()});
        return;
    }
    const auto json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        responder({400, {}, "{}"});
        return;
    }
    faults_.down = json.value("down", false);
    faults_.loseAnswers = json.value("lose_answers", false);
    faults_.delay = std::chrono::milliseconds{json.value("delay_ms", 0)};
    responder({204, {}, {}});
}

auto StoreServer::begin(const std::uint64_t number, store::Request request, net::Responder responder) -> void
{
    Pending call;
    {
        const std::lock_guard lock{mutex_};
        ++(internal::isWrite(request.operation) ? calls_.writes : calls_.reads);
        const auto now = clock_.now();
        call = {std::move(request), std::move(responder), now + faults_.delay, now, number};
        call.waitUntil = now + call.request.wait;
        if (!isReady(call)) {
            pending_.push_back(std::move(call));
            return;
        }
        answer(call);
    }
}

auto StoreServer::forget(const std::uint64_t number) -> void
{
    const std::lock_guard lock{mutex_};
    for (auto position = pending_.begin(); position != pending_.end(); ++position) {
        if (position->number == number) {
            position->responder({503, {}, "{}"});
            pending_.erase(position);
            return;
        }
    }
}

auto StoreServer::isReady(const Pending &call) const -> bool
{
    const auto now = clock_.now();
    if (faults_.down || now < call.due) {
        return false;
    }
    const auto waits = call.request.operation == store::Operation::Watch && now < call.waitUntil;
    return !waits || memory_.hasNews(call.request);
}

auto StoreServer::answer(Pending &call) -> void
{
    const auto response = internal::toResponse(call.request, memory_.apply(call.request, clock_.now()));
    if (!faults_.loseAnswers) {
        call.responder(response);
        return;
    }
    // The caller waits in vain; the connection ends when it gives up.
    call.due = TimePoint::max();
    pending_.push_back(std::move(call));
}

auto StoreServer::tick() -> void
{
    server_->findGoneCallers();
    const std::lock_guard lock{mutex_};
    memory_.expire(clock_.now());
    for (auto position = pending_.begin(); position != pending_.end();) {
        if (!isReady(*position)) {
            ++position;
            continue;
        }
        auto call = std::move(*position);
        position = pending_.erase(position);
        answer(call);
    }
}

} // namespace jasminelatch::standin
