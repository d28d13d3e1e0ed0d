#include "store_client.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace jasminelatch::net {

namespace internal {

constexpr auto okStatus = 200;
constexpr auto notFoundStatus = 404;
constexpr auto conflictStatus = 409;

auto toEntry(const nlohmann::json &json) -> store::Entry
{
    return {json.at("key").get<std::string>(),
            json.at("value").get<std::string>(),
            json.at("revision").get<store::Revision>()};
}

auto readPut(const store::Request &request, const nlohmann::json &json) -> store::Answer
{
    const auto revision = json.at("revision").get<store::Revision>();
    return {store::Status::Ok, {{request.key, request.value, revision}}, {}, revision};
}

auto readWatch(const nlohmann::json &json) -> store::Answer
{
    store::Answer answer{store::Status::Ok, {}, {}, json.at("revision").get<store::Revision>()};
    for (const auto &entry : json.at("entries")) {
        answer.entries.push_back(toEntry(entry));
    }
    json.at("removed").get_to(answer.removed);
    return answer;
}

auto readOk(const store::Request &request, const nlohmann::json &json) -> store::Answer
{
    switch (request.operation) {
    case store::Operation::Get: {
        const auto entry = toEntry(json);
        return {store::Status::Ok, {entry}, {}, entry.revision};
    }
    case store::Operation::Put:
        return readPut(request, json);
    case store::Operation::Watch:
        return readWatch(json);
    case store::Operation::Remove:
        break;
    }
    return {store::Status::Ok, {}, {request.key}, 0};
}

auto readConflict(const nlohmann::json &json) -> store::Answer
{
    store::Answer answer{store::Status::Conflict, {}, {}, 0};
    if (!json.empty()) {
        answer.entries.push_back(toEntry(json));
        answer.revision = answer.entries.front().revision;
    }
    return answer;
}

auto watchUrl(const std::string &base, const store::Request &request) -> std::string
{
    return base + "/v1/watch?prefix=" + request.key + "&after=" + std::to_string(request.after)
         + "&wait_us=" + std::to_string(request.wait.count());
}

auto writeUrl(const std::string &base, const store::Request &request) -> std::string
{
    auto url = base + "/v1/kv/" + request.key + "?expected=" + std::to_string(request.expected);
    if (request.timeToLive) {
        url += "&ttl_us=" + std::to_string(request.timeToLive->count());
    }
    return url;
}

} // namespace internal

auto toHttpCall(const std::string &base, const store::Request &request, const Duration timeout) -> HttpCall
{
    HttpCall call;
    call.timeout = timeout;
    switch (request.operation) {
    case store::Operation::Get:
        call.url = base + "/v1/kv/" + request.key;
        break;
    case store::Operation::Put:
        call.method = "PUT";
        call.url = internal::writeUrl(base, request);
        call.body = request.value;
        break;
    case store::Operation::Remove:
        call.method = "DELETE";
        call.url = internal::writeUrl(base, request);
        break;
    case store::Operation::Watch:
        call.url = internal::watchUrl(base, request);
        call.timeout += request.wait;
        break;
    }
    return call;
}

auto toAnswer(const store::Request &request, const HttpResult &result) -> store::Answer
{
    if (result.end != HttpEnd::Answered) {
        return {};
    }
    if (result.response.status == internal::notFoundStatus) {
        return {store::Status::NotFound, {}, {}, 0};
    }
    try {
        const auto json = nlohmann::json::parse(result.response.body);
        if (result.response.status == internal::conflictStatus) {
            return internal::readConflict(json);
        }
        if (result.response.status == internal::okStatus) {
            return internal::readOk(request, json);
        }
    } catch (const nlohmann::json::exception &) {
        return {};
    }
    return {};
}

BlockingStoreClient::BlockingStoreClient(std::string base, const Duration timeout)
    : base_{std::move(base)}
    , timeout_{timeout}
{
}

auto BlockingStoreClient::call(const store::Request &request) const -> store::Answer
{
    return toAnswer(request, performHttp(toHttpCall(base_, request, timeout_)));
}

auto httpGet(const std::string &url, const Duration timeout) -> HttpResult
{
    HttpCall call;
    call.url = url;
    call.timeout = timeout;
    return performHttp(call);
}

} // namespace jasminelatch::net
