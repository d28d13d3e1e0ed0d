#include "message.hpp"

namespace jasminelatch::membership {

namespace internal {

template<typename Value>
auto getOptional(const nlohmann::json &json, const char *name, std::optional<Value> &value) -> void
{
    if (const auto position = json.find(name); position != json.end()) {
        value = position->get<Value>();
    }
}

// Empty parts are left out: nearly every message carries none.
template<typename FromHolder>
auto holderMessageToJson(nlohmann::json &json, const FromHolder &message) -> void
{
    json = {{"incarnation", message.incarnation}, {"sequence", message.sequence}, {"attachment", message.attachment}};
    if (!message.changes.empty()) {
        json["changes"] = message.changes;
    }
}

template<typename FromHolder>
auto holderMessageFromJson(const nlohmann::json &json, FromHolder &message) -> void
{
    json.at("incarnation").get_to(message.incarnation);
    json.at("sequence").get_to(message.sequence);
    json.at("attachment").get_to(message.attachment);
    message.changes = json.value("changes", Changes{});
}

} // namespace internal

auto to_json(nlohmann::json &json, const Changes &changes) -> void
{
    json = nlohmann::json::object();
    if (!changes.services.empty()) {
        json["services"] = changes.services;
    }
    if (changes.directory) {
        json["directory"] = *changes.directory;
    }
    if (changes.assignment) {
        json["assignment"] = *changes.assignment;
    }
}

auto from_json(const nlohmann::json &json, Changes &changes) -> void
{
    changes.services = json.value("services", std::vector<ServiceView>{});
    internal::getOptional(json, "directory", changes.directory);
    internal::getOptional(json, "assignment", changes.assignment);
}

auto to_json(nlohmann::json &json, const Heartbeat &message) -> void
{
    json = {{"incarnation", message.incarnation},
            {"sequence", message.sequence},
            {"self", message.self},
            {"known", message.known},
            {"attachment", message.attachment}};
    if (message.report) {
        json["report"] = *message.report;
    }
}

auto from_json(const nlohmann::json &json, Heartbeat &message) -> void
{
    json.at("incarnation").get_to(message.incarnation);
    json.at("sequence").get_to(message.sequence);
    json.at("self").get_to(message.self);
    json.at("known").get_to(message.known);
    json.at("attachment").get_to(message.attachment);
    internal::getOptional(json, "report", message.report);
}

auto to_json(nlohmann::json &json, const HeartbeatAnswer &message) -> void
{
    internal::holderMessageToJson(json, message);
    if (message.wantsReport) {
        json["wantsReport"] = true;
    }
}

auto from_json(const nlohmann::json &json, HeartbeatAnswer &message) -> void
{
    internal::holderMessageFromJson(json, message);
    message.wantsReport = json.value("wantsReport", false);
}

auto to_json(nlohmann::json &json, const Push &message) -> void
{
    internal::holderMessageToJson(json, message);
}

auto from_json(const nlohmann::json &json, Push &message) -> void
{
    internal::holderMessageFromJson(json, message);
}

} // namespace jasminelatch::membership
