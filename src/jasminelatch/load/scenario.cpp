#include "scenario.hpp"

#include <jasminelatch/record/reader.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace jasminelatch::load {

namespace internal {

constexpr record::Range<Duration> timeRange{Duration::zero(), std::chrono::minutes{60}};
constexpr record::Range<double> factorRange{0.0, 100.0};
constexpr record::Range<double> rateRange{0.0, 10'000.0};

auto toHabit(record::Reader &reader, const RetryHabit fallback) -> RetryHabit
{
    if (!reader.has("retry")) {
        return fallback;
    }
    const auto name = reader.text("retry", "");
    if (name == "none") {
        return RetryHabit::None;
    }
    if (name == "polite") {
        return RetryHabit::Polite;
    }
    if (name == "hard") {
        return RetryHabit::Hard;
    }
    reader.report("retry", "is none, polite or hard");
    return fallback;
}

auto toEntry(record::Reader &reader) -> EntryHabit
{
    const auto name = reader.text("entry", "spread");
    if (name != "spread" && name != "skewed") {
        reader.report("entry", "is spread or skewed");
    }
    return name == "skewed" ? EntryHabit::Skewed : EntryHabit::Spread;
}

auto readShare(record::Reader reader) -> KindShare
{
    KindShare share;
    share.kind = KindName{reader.requiredText("kind")};
    share.share = reader.number("share", factorRange, share.share);
    reader.finish();
    return share;
}

auto readLoad(record::Reader reader) -> AccountLoad
{
    AccountLoad load;
    load.account = AccountName{reader.requiredText("account")};
    load.rate = reader.requiredNumber("rate", rateRange);
    for (auto &share : reader.sections("mix")) {
        load.mix.push_back(readShare(std::move(share)));
    }
    if (load.mix.empty()) {
        reader.report("mix", "names no kind");
    }
    reader.finish();
    return load;
}

auto readFault(record::Reader reader) -> Fault
{
    Fault fault{ServiceName{reader.text("service", "")}, nlohmann::json::object()};
    const auto slow = reader.number("slow_factor", factorRange, 1.0);
    if (!fault.service.empty()) {
        fault.body["slow_factor"] = slow;
    }
    for (const auto *flag : {"fail", "mute", "misreport", "down", "lose_answers"}) {
        if (reader.boolean(flag, false)) {
            fault.body[flag] = true;
        }
    }
    reader.finish();
    return fault;
}

auto readPhase(record::Reader reader) -> Phase
{
    Phase phase;
    phase.name = reader.requiredText("name");
    phase.start = reader.milliseconds("start_ms", timeRange, Duration::zero());
    phase.end = reader.milliseconds("end_ms", timeRange, Duration::zero());
    phase.demand = reader.number("demand", factorRange, phase.demand);
    phase.account = AccountName{reader.text("account", "")};
    phase.accountFactor = reader.number("account_factor", factorRange, phase.accountFactor);
    if (reader.has("retry")) {
        phase.retry = toHabit(reader, RetryHabit::Polite);
    }
    for (auto &fault : reader.sections("faults")) {
        phase.faults.push_back(readFault(std::move(fault)));
    }
    if (phase.end <= phase.start) {
        reader.report("end_ms", "is not after start_ms");
    }
    reader.finish();
    return phase;
}

auto readDocument(const nlohmann::json &json, const std::string &file, Findings &findings) -> std::optional<Scenario>
{
    const auto before = findings.size();
    record::Reader reader{json, {file, ""}, findings};
    Scenario scenario;
    scenario.name = reader.requiredText("name");
    scenario.records = reader.text("records", "records");
    scenario.duration = reader.milliseconds("duration_ms", timeRange, std::chrono::seconds{10});
    scenario.warmUp = reader.milliseconds("warm_up_ms", timeRange, scenario.warmUp);
    scenario.retry = toHabit(reader, scenario.retry);
    scenario.entry = toEntry(reader);
    for (auto &load : reader.sections("load")) {
        scenario.load.push_back(readLoad(std::move(load)));
    }
    for (auto &phase : reader.sections("phases")) {
        scenario.phases.push_back(readPhase(std::move(phase)));
    }
    reader.finish();
    return findings.size() > before ? std::nullopt : std::optional{std::move(scenario)};
}

auto parseFile(const std::filesystem::path &file, Findings &findings) -> std::optional<nlohmann::json>
{
    const std::ifstream stream{file};
    if (!stream) {
        findings.push_back({file.string(), "", "can't be read"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return record::parseJson(text.str(), file.string(), findings);
}

auto covers(const Phase &phase, const Duration at) -> bool
{
    return phase.start <= at && at < phase.end;
}

} // namespace internal

auto parseScenario(const std::string_view text, const std::string &file, Findings &findings) -> std::optional<Scenario>
{
    const auto json = record::parseJson(text, file, findings);
    return json ? internal::readDocument(*json, file, findings) : std::nullopt;
}

auto readScenario(const std::filesystem::path &file, Findings &findings) -> std::optional<Scenario>
{
    auto json = internal::parseFile(file, findings);
    if (!json) {
        return std::nullopt;
    }
    constexpr auto baseField = "extends";
    if (!json->is_object() || !json->contains(baseField) || !json->at(baseField).is_string()) {
        return internal::readDocument(*json, file.string(), findings);
    }
    auto base = internal::parseFile(file.parent_path() / json->at(baseField).get<std::string>(), findings);
    if (!base) {
        return std::nullopt;
    }
    json->erase(baseField);
    base->merge_patch(*json);
    return internal::readDocument(*base, file.string(), findings);
}

auto rateAt(const Scenario &scenario, const AccountLoad &load, const Duration at) -> double
{
    auto rate = load.rate;
    for (const auto &phase : scenario.phases) {
        if (!internal::covers(phase, at)) {
            continue;
        }
        rate *= phase.demand;
        if (phase.account == load.account) {
            rate *= phase.accountFactor;
        }
    }
    return rate;
}

auto habitAt(const Scenario &scenario, const Duration at) -> RetryHabit
{
    for (const auto &phase : scenario.phases) {
        if (phase.retry && internal::covers(phase, at)) {
            return *phase.retry;
        }
    }
    return scenario.retry;
}

} // namespace jasminelatch::load
