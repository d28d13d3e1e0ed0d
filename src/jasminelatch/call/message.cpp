#include "message.hpp"

namespace jasminelatch::call {

namespace internal {

auto headersToJson(const net::Headers &headers) -> nlohmann::json
{
    auto json = nlohmann::json::object();
    for (const auto &[name, value] : headers) {
        json[name] = value;
    }
    return json;
}

auto headersFromJson(const nlohmann::json &json) -> net::Headers
{
    net::Headers headers;
    for (const auto &[name, value] : json.get_ref<const nlohmann::json::object_t &>()) {
        headers.emplace(name, value.get<std::string>());
    }
    return headers;
}

/*! @brief Reads a number that stands for an enumerator; the last enumerator bounds it. */
template<typename Enum>
auto enumFromJson(const nlohmann::json &json, const Enum last) -> Enum
{
    const auto number = json.get<std::uint64_t>();
    if (number > static_cast<std::uint64_t>(last)) {
        throw nlohmann::json::out_of_range::create(401, "enumerator out of range", &json);
    }
    return static_cast<Enum>(number);
}

} // namespace internal

auto to_json(nlohmann::json &json, const Attempt &attempt) -> void
{
    json = {{"id", attempt.id},
            {"target", attempt.target},
            {"root", attempt.root},
            {"ledger", attempt.ledger},
            {"service", attempt.service},
            {"account", attempt.account},
            {"importance", attempt.importance},
            {"depth", attempt.depth},
            {"idempotent", attempt.idempotent},
            {"remaining", attempt.remaining},
            {"method", attempt.method},
            {"path", attempt.path},
            {"headers", internal::headersToJson(attempt.headers)},
            {"body", nlohmann::json::binary(attempt.body)}};
}

auto from_json(const nlohmann::json &json, Attempt &attempt) -> void
{
    json.at("id").get_to(attempt.id);
    json.at("target").get_to(attempt.target);
    json.at("root").get_to(attempt.root);
    json.at("ledger").get_to(attempt.ledger);
    json.at("service").get_to(attempt.service);
    json.at("account").get_to(attempt.account);
    attempt.importance = internal::enumFromJson(json.at("importance"), record::leastImportant);
    json.at("depth").get_to(attempt.depth);
    json.at("idempotent").get_to(attempt.idempotent);
    json.at("remaining").get_to(attempt.remaining);
    json.at("method").get_to(attempt.method);
    json.at("path").get_to(attempt.path);
    attempt.headers = internal::headersFromJson(json.at("headers"));
    attempt.body = json.at("body").get_ref<const nlohmann::json::binary_t &>();
}

auto to_json(nlohmann::json &json, const Answer &answer) -> void
{
    json = {{"id", answer.id},
            {"outcome", static_cast<int>(answer.outcome)},
            {"retryAfter", answer.retryAfter},
            {"status", answer.status},
            {"headers", internal::headersToJson(answer.headers)},
            {"body", nlohmann::json::binary(answer.body)}};
    if (answer.reason) {
        json["reason"] = static_cast<int>(*answer.reason);
    }
    if (answer.pressure) {
        json["pressure"] = *answer.pressure;
    }
}

auto from_json(const nlohmann::json &json, Answer &answer) -> void
{
    json.at("id").get_to(answer.id);
    answer.outcome = internal::enumFromJson(json.at("outcome"), Outcome::Unknown);
    json.at("retryAfter").get_to(answer.retryAfter);
    json.at("status").get_to(answer.status);
    answer.headers = internal::headersFromJson(json.at("headers"));
    answer.body = json.at("body").get_ref<const nlohmann::json::binary_t &>();
    answer.reason.reset();
    if (json.contains("reason")) {
        answer.reason = internal::enumFromJson(json.at("reason"), RefusalReason::Internal);
    }
    answer.pressure.reset();
    if (json.contains("pressure")) {
        answer.pressure = json.at("pressure").get<admission::Pressure>();
    }
}

} // namespace jasminelatch::call
