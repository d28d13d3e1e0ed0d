#include <jasminelatch/node/runtime.hpp>
#include <jasminelatch/node/settings.hpp>
#include <jasminelatch/program/program.hpp>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <string>

namespace {

namespace node = jasminelatch::node;
namespace program = jasminelatch::program;

auto runNode(const node::Settings &settings) -> int
{
    const auto &stopRequested = program::installStopSignals();
    node::Runtime runtime{settings};
    return program::runServer([&]() -> boost::leaf::result<program::ExitCode> {
        if (auto opened = runtime.open(); !opened) {
            return opened.error();
        }
        return runtime.run(stopRequested) ? program::ExitCode::Ok : program::ExitCode::CutOff;
    });
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
    const auto settings = program::readSettings<node::Settings>(file, node::parseSettings);
    if (!settings) {
        return static_cast<int>(program::ExitCode::BadSettings);
    }
    return checkOnly ? static_cast<int>(program::ExitCode::Ok) : runNode(*settings);
}
