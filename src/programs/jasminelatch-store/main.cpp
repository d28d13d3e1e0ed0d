#include <jasminelatch/program/program.hpp>
#include <jasminelatch/standin/store_server.hpp>

#include <CLI/CLI.hpp>

#include <chrono>
#include <thread>

namespace {

namespace program = jasminelatch::program;

constexpr auto tickInterval = std::chrono::milliseconds{5};

auto runStore(const std::uint16_t port) -> int
{
    const auto &stopRequested = program::installStopSignals();
    jasminelatch::standin::StoreServer server;
    return program::runServer([&]() -> boost::leaf::result<program::ExitCode> {
        if (auto opened = server.open(port); !opened) {
            return opened.error();
        }
        while (!stopRequested) {
            server.tick();
            std::this_thread::sleep_for(tickInterval);
        }
        return program::ExitCode::Ok;
    });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    CLI::App app{"Stand-in for the platform's key-value store; it keeps everything in memory."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::uint16_t port{};
    app.add_option("--port", port, "TCP port on the loopback address")->required();
    CLI11_PARSE(app, argc, argv);
    return runStore(port);
}
