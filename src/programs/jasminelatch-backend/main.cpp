#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/standin/backend_server.hpp>

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace {

namespace standin = jasminelatch::standin;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 3;

std::atomic<bool> stopRequested{false};

auto requestStop(int) -> void
{
    stopRequested = true;
}

auto readSettings(const std::string &file) -> std::optional<standin::BackendSettings>
{
    std::ifstream stream{file};
    std::ostringstream text;
    text << stream.rdbuf();
    jasminelatch::Findings findings;
    auto settings = standin::parseBackendSettings(text.str(), file, findings);
    std::cerr << jasminelatch::toText(findings);
    return settings;
}

auto runServer(const standin::BackendSettings &settings) -> int
{
    standin::BackendServer server{settings};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(server.open());
            server.run(stopRequested);
            return exitOk;
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
    CLI::App app{"Stand-in for a backend server."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::string file;
    app.add_option("settings", file, "Settings file, JSON with comments")->required()->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = readSettings(file);
    return settings ? runServer(*settings) : exitBadSettings;
}
