#include <jasminelatch/program/program.hpp>
#include <jasminelatch/standin/backend_server.hpp>

#include <CLI/CLI.hpp>

#include <string>

namespace {

namespace program = jasminelatch::program;
namespace standin = jasminelatch::standin;

auto runBackend(const standin::BackendSettings &settings) -> int
{
    const auto &stopRequested = program::installStopSignals();
    standin::BackendServer server{settings};
    return program::runServer([&]() -> boost::leaf::result<program::ExitCode> {
        if (auto opened = server.open(); !opened) {
            return opened.error();
        }
        server.run(stopRequested);
        return program::ExitCode::Ok;
    });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    CLI::App app{"Stand-in for a backend server."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::string file;
    app.add_option("settings", file, "Settings file, JSON with comments")->required();
    CLI11_PARSE(app, argc, argv);
    const auto settings = program::readSettings<standin::BackendSettings>(file, standin::parseBackendSettings);
    return settings ? runBackend(*settings) : static_cast<int>(program::ExitCode::BadSettings);
}
