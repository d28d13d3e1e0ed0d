#include <jasminelatch/control/directory.hpp>
#include <jasminelatch/control/operator.hpp>
#include <jasminelatch/load/chart.hpp>
#include <jasminelatch/load/comparison.hpp>
#include <jasminelatch/load/measures.hpp>
#include <jasminelatch/load/report.hpp>
#include <jasminelatch/load/runner.hpp>
#include <jasminelatch/load/scenario.hpp>
#include <jasminelatch/model/simulation.hpp>
#include <jasminelatch/program/program.hpp>
#include <jasminelatch/record/reader.hpp>

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

namespace {

namespace load = jasminelatch::load;
namespace record = jasminelatch::record;

constexpr int exitOk = 0;
constexpr int exitFindings = 1;
constexpr int exitUsage = 2;
constexpr std::uint64_t defaultSeed = 20261204;

/*! @brief Everything that the command line can set. */
struct Options {
    std::string scenario;
    std::vector<std::string> nodes;
    std::string keys;
    std::string records;
    std::vector<std::string> backends;
    std::string store;
    std::string out;
    std::vector<std::string> compare;
    std::uint64_t seed{defaultSeed};
};

auto readKeys(const std::string &file, load::Targets &targets) -> void
{
    std::ifstream stream{file};
    std::string account;
    std::string key;
    while (stream >> account >> key) {
        targets.keys[jasminelatch::AccountName{account}] = key;
    }
}

auto readBackends(const std::vector<std::string> &backends, load::Targets &targets) -> void
{
    for (const auto &backend : backends) {
        const auto separator = backend.find('=');
        if (separator != std::string::npos) {
            targets.backends.push_back(
                {jasminelatch::ServiceName{backend.substr(0, separator)}, backend.substr(separator + 1)});
        }
    }
}

auto takeRecords(const std::vector<record::Record> &records, load::Targets &targets) -> void
{
    for (const auto &entry : records) {
        if (const auto *account = std::get_if<record::Account>(&entry.body)) {
            targets.accounts.push_back(*account);
        }
        if (const auto *kind = std::get_if<record::Kind>(&entry.body)) {
            targets.kinds.push_back(*kind);
        }
    }
}

auto readRecords(const std::string &directory, load::Targets &targets) -> bool
{
    using jasminelatch::control::Failure;
    return boost::leaf::try_handle_all(
        [&]() -> jasminelatch::control::Result<bool> {
            BOOST_LEAF_AUTO(files, jasminelatch::control::readDirectory(directory));
            BOOST_LEAF_AUTO(records, jasminelatch::control::parseFiles(files));
            takeRecords(records, targets);
            return true;
        },
        [](const Failure &failure) {
            std::cerr << jasminelatch::control::toText(failure, false);
            return false;
        },
        [] { return false; });
}

auto write(const std::filesystem::path &file, const std::string &text) -> void
{
    std::ofstream{file} << text;
}

auto writeFiles(const Options &options,
                const load::Scenario &scenario,
                const load::Measures &measures,
                const std::vector<load::Sample> &samples) -> void
{
    const std::filesystem::path directory{options.out};
    std::filesystem::create_directories(directory);
    write(directory / "measures.json", load::toJson(scenario, measures, options.seed).dump(1) + "\n");
    write(directory / "requests.json", load::toJson(samples).dump() + "\n");
    write(directory / "chart.svg", load::drawChart(scenario, measures, samples));
}

auto runLoad(const Options &options) -> int
{
    jasminelatch::Findings findings;
    const auto scenario = load::readScenario(options.scenario, findings);
    std::cerr << jasminelatch::toText(findings);
    if (!scenario) {
        return exitFindings;
    }
    load::Targets targets;
    targets.nodes = options.nodes;
    targets.store = options.store;
    readKeys(options.keys, targets);
    readBackends(options.backends, targets);
    const auto own = std::filesystem::path{options.scenario}.parent_path() / scenario->records;
    if (!readRecords(options.records.empty() ? own.string() : options.records, targets)) {
        return exitFindings;
    }
    findings = load::checkTargets(*scenario, targets, options.scenario);
    std::cerr << jasminelatch::toText(findings);
    if (!findings.empty()) {
        return exitFindings;
    }
    load::Runner runner{*scenario, std::move(targets), options.seed};
    const auto samples = runner.run();
    const auto measures = load::computeMeasures(*scenario, samples);
    std::cout << load::toTable(*scenario, measures);
    if (!options.out.empty()) {
        writeFiles(options, *scenario, measures, samples);
    }
    return exitOk;
}

auto compare(const std::vector<std::string> &runs) -> int
{
    jasminelatch::Findings findings;
    std::vector<load::NamedMeasures> named;
    for (const auto &run : runs) {
        const auto separator = run.find('=');
        const auto file = separator == std::string::npos ? run : run.substr(separator + 1);
        const auto text = jasminelatch::program::readFile(file, findings);
        const auto json = text ? record::parseJson(*text, file, findings) : std::nullopt;
        if (json) {
            named.push_back({run.substr(0, separator), *json});
        }
    }
    std::cerr << jasminelatch::toText(findings);
    std::cout << load::compareRuns(named);
    return findings.empty() ? exitOk : exitFindings;
}

/*! @brief Plays a scenario of the model with the nodes' decisions and with the baselines, and plots them. */
auto runModel(const Options &options) -> int
{
    namespace model = jasminelatch::model;
    jasminelatch::Findings findings;
    const auto text = jasminelatch::program::readFile(options.scenario, findings);
    const auto json = text ? record::parseJson(*text, options.scenario, findings) : std::nullopt;
    const auto scenario = json ? model::parseScenario(*json, options.scenario, findings) : std::nullopt;
    std::cerr << jasminelatch::toText(findings);
    if (!scenario) {
        return exitFindings;
    }
    const std::map<std::string, model::Policy> policies{{"nodes", model::Policy::Nodes},
                                                        {"no admission", model::Policy::NoAdmission},
                                                        {"first come", model::Policy::FirstCome}};
    std::map<std::string, model::Outcome> outcomes;
    nlohmann::json report;
    for (const auto &[name, policy] : policies) {
        model::SimulationSettings settings;
        settings.policy = policy;
        settings.seed = options.seed;
        outcomes[name] = model::Simulation{*scenario, settings}.run();
        report[name] = model::toJson(outcomes[name]);
        std::cout << name << ": " << report[name]["total"].dump() << '\n';
    }
    if (!options.out.empty()) {
        const std::filesystem::path directory{options.out};
        std::filesystem::create_directories(directory);
        write(directory / "model.json", report.dump(1) + "\n");
        write(directory / "model.svg", model::drawPlot(scenario->name, outcomes));
    }
    return exitOk;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Options options;
    CLI::App app{"Plays an open-loop load against running nodes and measures what callers get."};
    app.set_version_flag("--version", std::string{"jasminelatch-load "} + JASMINELATCH_VERSION);
    app.add_option("scenario", options.scenario, "Scenario, JSON with comments");
    app.add_option("--nodes", options.nodes, "URLs of the nodes' ports for callers")->delimiter(',');
    app.add_option("--keys", options.keys, "File with lines of account and key");
    app.add_option("--records", options.records, "Directory with the records in force; default: the scenario's");
    app.add_option("--backends", options.backends, "Backend servers for faults, as service=URL")->delimiter(',');
    app.add_option("--store", options.store, "URL of the store's stand-in, for faults");
    app.add_option("--seed", options.seed, "Seed of everything that is drawn")->capture_default_str();
    app.add_option("--out", options.out, "Directory for measures.json, requests.json and chart.svg");
    app.add_option("--compare", options.compare, "Instead: sets runs side by side, as name=measures.json");
    auto *model = app.add_subcommand("model", "Plays a scenario with simulated nodes and instances instead");
    model->add_option("scenario", options.scenario, "Scenario of the model, JSON with comments")->required();
    model->add_option("--seed", options.seed, "Seed of everything that is drawn")->capture_default_str();
    model->add_option("--out", options.out, "Directory for model.json and model.svg");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    if (model->parsed()) {
        return runModel(options);
    }
    if (!options.compare.empty()) {
        return compare(options.compare);
    }
    if (options.scenario.empty() || options.nodes.empty()) {
        std::cerr << "a scenario and --nodes are needed\n";
        return exitUsage;
    }
    return runLoad(options);
}
