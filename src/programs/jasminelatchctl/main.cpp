#include <jasminelatch/control/directory.hpp>
#include <jasminelatch/control/operator.hpp>
#include <jasminelatch/net/http_client.hpp>
#include <jasminelatch/net/store_client.hpp>

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace jasminelatch::control {

namespace {

constexpr Duration statusTimeout = std::chrono::seconds{1};

constexpr auto footer = "Exit codes: 0 done, 1 findings in the input, 2 wrong command line, 3 another operator was\n"
                        "faster, 4 the store does not answer, 5 not in force everywhere in time,\n"
                        "6 the node does not answer.";

/*! @brief Everything that the command line can set. */
struct Options {
    std::string store{"http://127.0.0.1:7700"};
    std::vector<std::string> nodes;
    std::string note;
    std::string directory;
    std::string type;
    std::string name;
    double timeout{10};
    configuration::Revision revision{};
    bool json{};
    bool prune{};
    bool wait{};
    bool vmsAreDead{};
    std::string host;
    std::string target;
    std::string account;
    std::uint32_t timeLeftMs{};
};

using Command = std::function<Result<Report>(const Operator &)>;

auto randomId() -> std::string
{
    std::random_device device;
    std::string id;
    for (int part = 0; part < 4; ++part) {
        id += std::to_string(device()) + (part < 3 ? "-" : "");
    }
    return id;
}

auto author() -> std::string
{
    const auto *const name = std::getenv("USER");
    std::array<char, 256> host{};
    gethostname(host.data(), host.size() - 1);
    return std::string{name == nullptr ? "unknown" : name} + "@" + host.data();
}

auto askStatus(const NodeAddress &node) -> std::optional<configuration::NodeStatus>
{
    const auto result = net::httpGet("http://" + configuration::operatorAddress(node) + "/status", statusTimeout);
    if (result.end != net::HttpEnd::Answered || result.response.status != 200) {
        return std::nullopt;
    }
    try {
        return nlohmann::json::parse(result.response.body).get<configuration::NodeStatus>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

auto makeOperator(const Options &options, const Clock &clock) -> Operator
{
    Operator::Settings settings{.author = author(), .note = options.note};
    settings.timeout = Duration{static_cast<Duration::rep>(options.timeout * Duration::period::den)};
    for (const auto &node : options.nodes) {
        settings.nodes.emplace_back(node);
    }
    const net::BlockingStoreClient client{options.store};
    return {settings,
            clock,
            {[client](const store::Request &request) { return client.call(request); },
             askStatus,
             [](const Duration time) { std::this_thread::sleep_for(time); },
             randomId}};
}

auto readRecords(const Options &options) -> Result<std::vector<record::Record>>
{
    BOOST_LEAF_AUTO(files, readDirectory(options.directory));
    return parseFiles(files);
}

auto validate(const Options &options) -> Result<Report>
{
    BOOST_LEAF_AUTO(records, readRecords(options));
    // Without the store: a directory must be whole in itself but for the accounts of keys.
    if (auto planned = planRecords(configuration::View{}, records, Prune::No); !planned) {
        return planned.error();
    }
    return Report{std::to_string(records.size()) + " records, no findings\n", {{"records", records.size()}}, {}};
}

auto print(const Report &report, const Options &options) -> void
{
    std::cout << (options.json ? report.json.dump() + "\n" : report.text) << std::flush;
}

auto runCommand(const Command &command, const Options &options) -> ExitCode
{
    const Clock clock;
    const auto actor = makeOperator(options, clock);
    return boost::leaf::try_handle_all(
        [&]() -> Result<ExitCode> {
            BOOST_LEAF_AUTO(report, command(actor));
            print(report, options);
            if (options.wait && report.revision) {
                BOOST_LEAF_AUTO(waited, actor.wait(*report.revision));
                print(waited, options);
            }
            return ExitCode::Ok;
        },
        [&](const Failure &failure) {
            std::cerr << toText(failure, options.json);
            return failure.code;
        },
        [] {
            std::cerr << "jasminelatchctl: unexpected error\n";
            return ExitCode::Findings;
        });
}

auto addDirectoryCommand(CLI::App &app, Options &options, const std::string &name, const std::string &help)
    -> CLI::App *
{
    auto *command = app.add_subcommand(name, help);
    command->add_option("directory", options.directory, "Directory with records, JSON with comments")->required();
    if (name != "validate") {
        command->add_flag("--prune", options.prune, "Withdraw records that are not in the directory; never keys");
    }
    return command;
}

auto addWriteOptions(CLI::App *command, Options &options) -> void
{
    command->add_option("--note", options.note, "Why; kept with the change");
    command->add_flag("--wait", options.wait, "Wait until the change is in force at every node");
}

auto addRecordCommands(CLI::App &app, Options &options, Command &chosen) -> void
{
    const auto prune = [&options] {
        return options.prune ? Prune::Yes : Prune::No;
    };
    addDirectoryCommand(app, options, "validate", "Check records without the store")->callback([&] {
        chosen = [&](const Operator &) {
            return validate(options);
        };
    });
    addDirectoryCommand(app, options, "plan", "Show what apply would change")->callback([&, prune] {
        chosen = [&, prune](const Operator &actor) -> Result<Report> {
            BOOST_LEAF_AUTO(records, readRecords(options));
            return actor.plan(records, prune());
        };
    });
    auto *apply = addDirectoryCommand(app, options, "apply", "Bring the records of a directory into force");
    addWriteOptions(apply, options);
    apply->callback([&, prune] {
        chosen = [&, prune](const Operator &actor) -> Result<Report> {
            BOOST_LEAF_AUTO(records, readRecords(options));
            return actor.apply(records, prune());
        };
    });
    auto *withdraw = app.add_subcommand("withdraw", "Withdraw one record");
    withdraw->add_option("type", options.type, "account, key, kind or fleet")->required();
    withdraw->add_option("name", options.name, "Its name")->required();
    addWriteOptions(withdraw, options);
    withdraw->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.withdraw({options.type, options.name});
        };
    });
    auto *list = app.add_subcommand("list", "List the records in force");
    list->add_option("type", options.type, "Only records of this type");
    list->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.list(options.type);
        };
    });
}

auto addKeyCommands(CLI::App &app, Options &options, Command &chosen) -> void
{
    auto *keys = app.add_subcommand("keys", "Issue and withdraw keys");
    keys->require_subcommand(1);
    auto *issue = keys->add_subcommand("issue", "Issue a key and print it; it is kept nowhere");
    issue->add_option("account", options.name, "Account that it stands for")->required();
    addWriteOptions(issue, options);
    issue->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.issueKey(AccountName{options.name});
        };
    });
    auto *withdraw = keys->add_subcommand("withdraw", "Withdraw a key for good");
    withdraw->add_option("id", options.name, "Its id, the middle part")->required();
    addWriteOptions(withdraw, options);
    withdraw->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.withdraw({std::string{record::keyType}, options.name});
        };
    });
}

auto explain(const Options &options) -> Result<Report>
{
    if (options.nodes.size() != 1) {
        return boost::leaf::new_error(Failure{ExitCode::Usage, "name one node with --node, its metrics address", {}});
    }
    nlohmann::json request{{"host", options.host}, {"target", options.target}, {"account", options.account}};
    if (options.timeLeftMs > 0) {
        request["time_left_ms"] = options.timeLeftMs;
    }
    const auto result = net::performHttp({.method = "POST",
                                          .url = "http://" + options.nodes.front() + "/explain",
                                          .body = request.dump(),
                                          .timeout = statusTimeout});
    const auto explanation = nlohmann::json::parse(result.response.body, nullptr, false);
    if (result.end != net::HttpEnd::Answered || !explanation.is_object()) {
        return boost::leaf::new_error(
            Failure{ExitCode::NodeUnreachable, "the node " + options.nodes.front() + " does not answer", {}});
    }
    if (explanation.value("outcome", std::string{}) == "refused" || explanation.contains("error")) {
        std::cout << explanation.dump(2) << '\n';
        const auto reason = explanation.contains("error") ? explanation.at("error") : explanation.at("reason");
        return boost::leaf::new_error(
            Failure{ExitCode::Findings, "the request would be refused: " + reason.get<std::string>(), {}});
    }
    return Report{explanation.dump(2) + "\n", explanation, {}};
}

auto addExplainCommand(CLI::App &app, Options &options, Command &chosen) -> void
{
    auto *command = app.add_subcommand("explain", "Explain where a request would go now, without sending it");
    command->add_option("host", options.host, "Host of the request")->required();
    command->add_option("path", options.target, "Its path")->required();
    command->add_option("--account", options.account, "Client account; without one it counts as a call");
    command->add_option("--time-left", options.timeLeftMs, "Time until its deadline, in milliseconds");
    command->callback([&] {
        chosen = [&](const Operator &) {
            return explain(options);
        };
    });
}

auto addFleetCommands(CLI::App &app, Options &options, Command &chosen) -> void
{
    app.add_subcommand("status", "Show the revision in force at every node")->callback([&] {
        chosen = [](const Operator &actor) {
            return actor.status();
        };
    });
    auto *wait = app.add_subcommand("wait", "Wait until a revision is in force at every node");
    wait->add_option("revision", options.revision, "The revision")->required();
    wait->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.wait(options.revision);
        };
    });
    auto *reclaim = app.add_subcommand("reclaim", "Release a right whose holder and successor are both dead");
    reclaim->add_option("right", options.name, "The right")->required();
    reclaim->add_flag("--vms-are-dead", options.vmsAreDead, "You vouch that both VMs are dead")->required();
    reclaim->callback([&] {
        chosen = [&](const Operator &actor) {
            return actor.reclaim(LeaseName{options.name});
        };
    });
}

auto run(const int argc, const char *const *argv) -> int
{
    Options options;
    Command chosen;
    CLI::App app{"Writes, replaces and withdraws the records of jasminelatch, and tells where they are in force."};
    app.set_version_flag("--version", std::string{"jasminelatchctl "} + JASMINELATCH_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--store", options.store, "URL of the store")->envname("JASMINELATCH_STORE")->capture_default_str();
    app.add_option("--node", options.nodes, "Node to ask, host:port; may be repeated; default: those in the store");
    app.add_option("--timeout", options.timeout, "Longest wait for the nodes, in seconds")->capture_default_str();
    app.add_flag("--json", options.json, "Write JSON");
    addRecordCommands(app, options, chosen);
    addKeyCommands(app, options, chosen);
    addFleetCommands(app, options, chosen);
    addExplainCommand(app, options, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(runCommand(chosen, options));
}

} // namespace

} // namespace jasminelatch::control

auto main(const int argc, const char *const *argv) -> int
{
    return jasminelatch::control::run(argc, argv);
}
