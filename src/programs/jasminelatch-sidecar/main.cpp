#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/program/program.hpp>
#include <jasminelatch/sidecar/node.hpp>
#include <jasminelatch/sidecar/settings.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <malloc.h>
#include <platform/dialect.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <optional>
#include <string>

namespace {

namespace program = jasminelatch::program;
namespace sidecar = jasminelatch::sidecar;

/*! @brief Size from which a block of memory is returned to the operating system when it is freed. */
constexpr int mmapThresholdBytes = 128 << 10;

auto readSettings(const std::string &file) -> std::optional<sidecar::Settings>
{
    return program::readSettings<sidecar::Settings>(file, sidecar::parseSettings);
}

/*! @brief Stops the node on SIGTERM or SIGINT and reloads the settings on SIGHUP. */
class Signals
{
public:
    Signals(jasminelatch::event::Loop &loop, sidecar::Node &node, std::string file)
        : node_{&node}
        , file_{std::move(file)}
        , signals_{loop.context(), SIGTERM, SIGINT, SIGHUP}
    {
        waitForSignal();
    }

private:
    auto waitForSignal() -> void
    {
        signals_.async_wait([this](const boost::system::error_code &error, const int signal) {
            if (error) {
                return;
            }
            if (signal != SIGHUP) {
                node_->stop();
            } else if (const auto settings = readSettings(file_)) {
                node_->reload(*settings);
            }
            waitForSignal();
        });
    }

    sidecar::Node *node_;
    std::string file_;
    boost::asio::signal_set signals_;
};

auto runNode(const sidecar::Settings &settings, const std::string &file) -> program::ExitCode
{
    std::signal(SIGPIPE, SIG_IGN);
    // By default the threshold grows with the blocks that are freed; the heap then keeps the memory of large bodies.
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, mmapThresholdBytes);
    const jasminelatch::Clock clock;
    jasminelatch::event::Loop loop{clock};
    sidecar::Node node{loop, clock, settings, jasminelatch::platform::makeDialect()};
    if (const auto error = node.open()) {
        std::cerr << "jasminelatch-sidecar: can't listen on " << *error << '\n';
        return program::ExitCode::CannotListen;
    }
    const Signals signals{loop, node, file};
    loop.run();
    return program::ExitCode::Ok;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    CLI::App app{"Overload control node of jasminelatch that runs beside one backend server."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::string file;
    bool checkOnly = false;
    app.add_option("settings", file, "Settings file, JSON with comments")->envname("JASMINELATCH_CONFIG")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    std::optional<double> coldOver;
    std::optional<double> coldSlack;
    app.add_option("--cold-over", coldOver, "Overrides the setting terms.cold_over")
        ->envname("JASMINELATCH_COLD_OVER")
        ->check(CLI::Range(1.0, 10.0));
    app.add_option("--cold-slack", coldSlack, "Overrides the setting terms.cold_slack")
        ->envname("JASMINELATCH_COLD_SLACK")
        ->check(CLI::Range(0.0, 1e6));
    CLI11_PARSE(app, argc, argv);
    auto settings = readSettings(file);
    if (!settings) {
        return static_cast<int>(program::ExitCode::BadSettings);
    }
    settings->coldOverFactor = coldOver.value_or(settings->coldOverFactor);
    settings->coldSlackRequests = coldSlack.value_or(settings->coldSlackRequests);
    return static_cast<int>(checkOnly ? program::ExitCode::Ok : runNode(*settings, file));
}
