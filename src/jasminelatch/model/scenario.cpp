#include "scenario.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace jasminelatch::model {

namespace internal {

auto milliseconds(const nlohmann::json &json, const char *name, const double fallback = 0.0) -> Duration
{
    return Duration{std::llround(json.value(name, fallback) * 1e3)};
}

auto seconds(const nlohmann::json &json, const char *name) -> Duration
{
    return Duration{std::llround(json.value(name, 0.0) * 1e6)};
}

auto parseService(const nlohmann::json &json) -> ServiceModel
{
    ServiceModel service;
    service.name = json.at("name");
    service.knee = json.value("knee", service.knee);
    service.kneeFactor = json.value("knee_factor", service.kneeFactor);
    for (const auto &instance : json.at("instances")) {
        service.instances.push_back(
            {instance.at("slots"), instance.value("speed", 1.0), seconds(instance, "joins_at_s")});
    }
    return service;
}

auto parseKind(const nlohmann::json &json) -> KindModel
{
    KindModel kind;
    kind.name = json.at("name");
    kind.service = json.at("service");
    kind.perSecond = json.value("per_s", 0.0);
    kind.priority = json.value("priority", 0U);
    kind.work = milliseconds(json, "work_ms");
    kind.spread = json.value("spread", kind.spread);
    kind.timeout = milliseconds(json, "timeout_ms");
    kind.latencyTarget = milliseconds(json, "target_ms");
    kind.isIdempotent = json.value("idempotent", true);
    kind.maxAttempts = json.value("max_attempts", kind.maxAttempts);
    kind.clientRetries = json.value("client_retries", kind.clientRetries);
    for (const auto &call : json.value("calls", nlohmann::json::array())) {
        kind.calls.push_back({call.at("kind"), call.value("times", 1U)});
    }
    return kind;
}

auto parseTrouble(const nlohmann::json &json) -> TroubleModel
{
    TroubleModel trouble;
    const auto &kind = json.at("kind").get_ref<const std::string &>();
    trouble.kind = kind == "reject" ? TroubleModel::Kind::Reject
                 : kind == "slow"   ? TroubleModel::Kind::Slow
                 : kind == "away"   ? TroubleModel::Kind::Away
                                    : TroubleModel::Kind::Surge;
    trouble.from = seconds(json, "from_s");
    trouble.until = seconds(json, "until_s");
    trouble.service = json.value("service", std::string{});
    trouble.count = json.value("count", 0U);
    trouble.factor = json.value("factor", 1.0);
    return trouble;
}

auto checkReferences(const Scenario &scenario, const std::string &file, Findings &findings) -> void
{
    const auto isService = [&](const std::string &name) {
        return std::ranges::find(scenario.services, name, &ServiceModel::name) != scenario.services.end();
    };
    for (std::size_t index = 0; index < scenario.kinds.size(); ++index) {
        const auto &kind = scenario.kinds[index];
        const auto pointer = "/kinds/" + std::to_string(index);
        if (!isService(kind.service)) {
            findings.push_back({file, pointer + "/service", "no service is named " + kind.service});
        }
        for (const auto &call : kind.calls) {
            if (std::ranges::find(scenario.kinds, call.kind, &KindModel::name) == scenario.kinds.end()) {
                findings.push_back({file, pointer + "/calls", "no kind is named " + call.kind});
            }
        }
    }
    for (std::size_t index = 0; index < scenario.troubles.size(); ++index) {
        const auto &trouble = scenario.troubles[index];
        if (trouble.kind != TroubleModel::Kind::Surge && !isService(trouble.service)) {
            findings.push_back(
                {file, "/troubles/" + std::to_string(index) + "/service", "no service is named " + trouble.service});
        }
    }
}

} // namespace internal

auto parseScenario(const nlohmann::json &json, const std::string &file, Findings &findings) -> std::optional<Scenario>
{
    const auto before = findings.size();
    Scenario scenario;
    try {
        scenario.name = json.value("name", file);
        scenario.length = internal::seconds(json, "length_s");
        scenario.reportInterval = internal::milliseconds(json, "report_interval_ms", 250.0);
        scenario.hopDelay = internal::milliseconds(json, "hop_ms", 1.0);
        for (const auto &service : json.at("services")) {
            scenario.services.push_back(internal::parseService(service));
        }
        for (const auto &kind : json.at("kinds")) {
            scenario.kinds.push_back(internal::parseKind(kind));
        }
        for (const auto &trouble : json.value("troubles", nlohmann::json::array())) {
            scenario.troubles.push_back(internal::parseTrouble(trouble));
        }
    } catch (const nlohmann::json::exception &error) {
        findings.push_back({file, "", error.what()});
        return std::nullopt;
    }
    internal::checkReferences(scenario, file, findings);
    return findings.size() == before ? std::optional{std::move(scenario)} : std::nullopt;
}

} // namespace jasminelatch::model
