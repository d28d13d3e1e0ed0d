#include "report.hpp"

#include <iomanip>
#include <sstream>

namespace jasminelatch::load {

namespace internal {

constexpr double percent = 100.0;
constexpr int nameWidth = 34;

auto milliseconds(const Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto line(std::ostream &out, const std::string &name) -> std::ostream &
{
    return out << std::left << std::setw(nameWidth) << name << ' ';
}

auto recoveryText(const Goodput &phase) -> std::string
{
    return phase.recovery ? std::to_string(milliseconds(*phase.recovery)) + " ms" : "not within the run";
}

auto writeGoodput(std::ostream &out, const Goodput &goodput) -> void
{
    line(out, "goodput, " + goodput.name)
        << goodput.whole << " of " << goodput.offered << " weight/s (" << percent * goodput.share() << " %)\n";
}

auto writeWorst(std::ostream &out, const Measures &measures) -> void
{
    if (!measures.worst) {
        line(out, "worst-served account") << "no account kept to its rate\n";
        return;
    }
    line(out, "worst-served account") << percent * measures.worst->share() << " % served ("
                                      << measures.worst->account.text() << ", " << measures.worst->withinRate
                                      << " requests)\n";
}

auto goodputJson(const Goodput &goodput) -> nlohmann::json
{
    nlohmann::json json{{"start_ms", milliseconds(goodput.start)},
                        {"end_ms", milliseconds(goodput.end)},
                        {"offered", goodput.offered},
                        {"whole", goodput.whole},
                        {"share", goodput.share()}};
    if (!goodput.name.empty()) {
        json["name"] = goodput.name;
    }
    if (goodput.recovery) {
        json["recovery_ms"] = milliseconds(*goodput.recovery);
    }
    return json;
}

auto accountJson(const AccountFigures &figures) -> nlohmann::json
{
    return {{"account", figures.account},
            {"requests", figures.requests},
            {"within_rate", figures.withinRate},
            {"served", figures.served},
            {"share", figures.share()},
            {"kept_rate", figures.keptRate()}};
}

} // namespace internal

auto toTable(const Scenario &scenario, const Measures &measures) -> std::string
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << scenario.name << "\n";
    for (const auto &phase : measures.phases) {
        internal::writeGoodput(out, phase);
    }
    internal::writeGoodput(out, measures.all);
    for (std::size_t index = 1; index < measures.phases.size(); ++index) {
        const auto &phase = measures.phases[index];
        internal::line(out, "recovery after " + phase.name) << internal::recoveryText(phase) << "\n";
    }
    internal::writeWorst(out, measures);
    internal::line(out, "wrongful refusals")
        << internal::percent * measures.wrongfulShare() << " % (" << measures.wrongful << " of " << measures.attempts
        << " attempts within the rate)\n";
    for (const auto &[reason, count] : measures.failures) {
        internal::line(out, "  failed attempts, " + reason) << count << "\n";
    }
    return out.str();
}

auto toJson(const Scenario &scenario, const Measures &measures, const std::uint64_t seed) -> nlohmann::json
{
    nlohmann::json json{{"scenario", scenario.name},
                        {"seed", seed},
                        {"all", internal::goodputJson(measures.all)},
                        {"attempts_within_rate", measures.attempts},
                        {"wrongful", measures.wrongful},
                        {"wrongful_share", measures.wrongfulShare()},
                        {"failures", measures.failures}};
    for (const auto &phase : measures.phases) {
        json["phases"].push_back(internal::goodputJson(phase));
    }
    for (const auto &part : measures.intervals) {
        json["intervals"].push_back(internal::goodputJson(part));
    }
    for (const auto &account : measures.accounts) {
        json["accounts"].push_back(internal::accountJson(account));
    }
    if (measures.worst) {
        json["worst"] = internal::accountJson(*measures.worst);
    }
    return json;
}

auto toJson(const std::span<const Sample> samples) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &sample : samples) {
        auto failures = nlohmann::json::array();
        for (const auto &failure : sample.failures) {
            failures.push_back({{"at_ms", internal::milliseconds(failure.at)},
                                {"reason", failure.reason},
                                {"within_rate", failure.withinRate}});
        }
        list.push_back({{"account", sample.account},
                        {"kind", sample.kind},
                        {"at_ms", internal::milliseconds(sample.at)},
                        {"latency_ms", internal::milliseconds(sample.latency)},
                        {"within_rate", sample.withinRate},
                        {"whole", sample.whole},
                        {"failures", std::move(failures)}});
    }
    return list;
}

} // namespace jasminelatch::load
