#include "route_explanation.hpp"

#include "request_rank.hpp"

#include <algorithm>

namespace jasminelatch::sidecar {

namespace internal {

auto milliseconds(const Duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

auto candidateJson(const mesh::PlacementCandidate &candidate, const std::string_view ownDomain) -> nlohmann::json
{
    return {{"vm", candidate.member.name},
            {"instance", candidate.member.instanceId},
            {"domain", candidate.member.domain},
            {"own_domain", candidate.member.domain == ownDomain},
            {"state", mesh::toText(candidate.state)},
            {"running", candidate.load.running},
            {"queued", candidate.load.queued},
            {"limit", candidate.limit},
            {"run_ms", milliseconds(candidate.load.runTime)},
            {"in_flight", candidate.inFlight},
            {"expected_ms", milliseconds(candidate.expectedTime)}};
}

auto refused(nlohmann::json explanation, const std::string_view reason) -> nlohmann::json
{
    explanation["outcome"] = "refused";
    explanation["reason"] = reason;
    return explanation;
}

/*! @brief Adds the candidates of a service and the first choice; returns whether there is one. */
auto explainService(const mesh::WeightedService &part,
                    const ExplanationContext &context,
                    const TimePoint now,
                    nlohmann::json &services) -> bool
{
    nlohmann::json candidates = nlohmann::json::array();
    const auto found = context.placement.candidates(part.service, now);
    for (const auto &candidate : found) {
        candidates.push_back(candidateJson(candidate, context.ownDomain));
    }
    const auto isChosen = !found.empty() && mesh::isSelectable(found.front().state);
    services.push_back({{"service", part.service},
                        {"weight", part.weight},
                        {"choice", isChosen ? nlohmann::json(found.front().member.name) : nlohmann::json()},
                        {"candidates", std::move(candidates)}});
    return isChosen;
}

/*! @brief Adds rank, cap and admitted fraction of a client's request; returns the fraction that is admitted. */
auto explainAdmission(const mesh::Route &route,
                      const mesh::Account &account,
                      const ExplanationContext &context,
                      nlohmann::json &explanation) -> double
{
    const auto rank = rankOf(route, account);
    const auto fraction = context.admission.admittedFraction(rank, route.name);
    explanation["rank"] = rank;
    explanation["admitted_fraction"] = fraction;
    explanation["cap_rate"] = account.ratePerSecond;
    explanation["cap_level"] = context.caps.level(account.name);
    return fraction;
}

} // namespace internal

auto parseExplainedRequest(const std::string_view text, std::string &error) -> std::optional<ExplainedRequest>
{
    try {
        const auto json = nlohmann::json::parse(text);
        ExplainedRequest request{json.at("host").get<std::string>(),
                                 json.at("target").get<std::string>(),
                                 json.value("account", std::string{}),
                                 std::nullopt};
        if (json.contains("time_left_ms")) {
            constexpr std::uint32_t maxMilliseconds = 3'600'000;
            const auto left = json.at("time_left_ms").get<std::uint32_t>();
            request.timeLeft = std::chrono::milliseconds{std::min(left, maxMilliseconds)};
        }
        return request;
    } catch (const nlohmann::json::exception &failure) {
        error = failure.what();
        return std::nullopt;
    }
}

auto explainRequest(const ExplainedRequest &request, const ExplanationContext &context, const TimePoint now)
    -> nlohmann::json
{
    nlohmann::json explanation{{"host", request.host}, {"target", request.target}};
    if (context.configuration == nullptr) {
        return internal::refused(std::move(explanation), "no_configuration");
    }
    explanation["configuration_version"] = context.configuration->configuration().version;
    explanation["configuration_fresh"] = context.isConfigurationFresh;
    const auto *route = context.configuration->findRoute(request.host, request.target);
    if (route == nullptr) {
        return internal::refused(std::move(explanation), "no_route");
    }
    const auto timeLeft = request.timeLeft ? std::min(*request.timeLeft, route->timeout) : route->timeout;
    explanation["route"] = route->name;
    explanation["idempotent"] = route->idempotent;
    explanation["max_attempts"] = route->maxAttempts;
    explanation["time_left_ms"] = internal::milliseconds(timeLeft);
    auto fraction = 1.0;
    if (!request.account.empty()) {
        const auto &accounts = context.configuration->configuration().accounts;
        const auto account = std::ranges::find(accounts, request.account, &mesh::Account::name);
        if (account == accounts.end()) {
            return internal::refused(std::move(explanation), "no_account");
        }
        if (!context.isConfigurationFresh) {
            return internal::refused(std::move(explanation), "configuration_stale");
        }
        explanation["account"] = account->name;
        fraction = internal::explainAdmission(*route, *account, context, explanation);
    }
    auto services = nlohmann::json::array();
    auto isServed = false;
    for (const auto &part : route->services) {
        isServed = internal::explainService(part, context, now, services) || isServed;
    }
    explanation["services"] = std::move(services);
    if (!isServed) {
        return internal::refused(std::move(explanation), "no_instance");
    }
    if (fraction <= 0.0) {
        return internal::refused(std::move(explanation), "no_room_for_tree");
    }
    explanation["outcome"] = fraction < 1.0 ? "partly refused" : "sent";
    if (fraction < 1.0) {
        explanation["reason"] = "no_room_for_tree";
    }
    return explanation;
}

} // namespace jasminelatch::sidecar
