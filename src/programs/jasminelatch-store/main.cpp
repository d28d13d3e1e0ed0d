#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/standin/store_server.hpp>

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

constexpr int exitOk = 0;
constexpr int exitCannotListen = 3;
constexpr auto tickInterval = std::chrono::milliseconds{5};

std::atomic<bool> stopRequested{false};

auto requestStop(int) -> void
{
    stopRequested = true;
}

auto runStore(const std::uint16_t port) -> int
{
    jasminelatch::standin::StoreServer server;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(server.open(port));
            while (!stopRequested) {
                server.tick();
                std::this_thread::sleep_for(tickInterval);
            }
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
    CLI::App app{"Stand-in for the platform's key-value store; it keeps everything in memory."};
    app.set_version_flag("--version", JASMINELATCH_VERSION);
    std::uint16_t port{};
    app.add_option("--port", port, "TCP port on the loopback address")->required();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    return runStore(port);
}
