#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/node/runtime.hpp>
#include <jasminelatch/node/settings.hpp>

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace {

namespace node = jasminelatch::node;

constexpr int exitOk = 0;
constexpr int exitCutOff = 1;
constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 3;

std::atomic<bool> stopRequested{false};

auto requestStop(int) -> void
{
    stopRequested = true;
}

auto installSignalHandlers() -> void
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
}

auto readSettings(const std::string &file) -> std::optional<node::Settings>
{
    std::ifstream stream{file};
    if (!stream) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    jasminelatch::Findings findings;
    auto settings = node::parseSettings(text.str(), file, findings);
    std::cerr << jasminelatch::toText(findings);
    return settings;
}

auto runNode(const node::Settings &settings) -> int
{
    node::Runtime runtime{settings};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(runtime.open());
            return runtime.run(stopRequested) ? exitOk : exitCutOff;
        },
        [](const jasminelatch::net::ListenError &error) {
            std::cerr << "can't listen on " << error.address << "\n";
            return exitCannotListen;
        },
        [] { return exitCannotListen; });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    CLI::App app{"Node of jasminelatch: stands beside one backend server."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::string file;
    bool checkOnly = false;
    app.add_option("settings", file, "Settings file, JSON with comments")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    installSignalHandlers();
    const auto settings = readSettings(file);
    if (!settings) {
        return exitBadSettings;
    }
    return checkOnly ? exitOk : runNode(*settings);
}
