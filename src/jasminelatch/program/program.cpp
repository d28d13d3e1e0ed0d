#include "program.hpp"

#include <jasminelatch/net/http_server.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace jasminelatch::program {

namespace internal {

std::atomic<bool> stopRequested{false};

auto requestStop(int) -> void
{
    stopRequested = true;
}

} // namespace internal

auto installStopSignals() -> const std::atomic<bool> &
{
    std::signal(SIGTERM, internal::requestStop);
    std::signal(SIGINT, internal::requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    return internal::stopRequested;
}

auto readFile(const std::string &file, Findings &findings) -> std::optional<std::string>
{
    std::ifstream stream{file};
    if (!stream) {
        findings.push_back({file, "", "can't be read"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

auto runServer(const std::function<boost::leaf::result<ExitCode>()> &run) -> int
{
    return boost::leaf::try_handle_all(
        [&run]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(code, run());
            return static_cast<int>(code);
        },
        [](const net::ListenError &error) {
            std::cerr << "can't listen on " << error.address << "\n";
            return static_cast<int>(ExitCode::CannotListen);
        },
        [] { return static_cast<int>(ExitCode::CannotListen); });
}

auto printFindings(const Findings &findings) -> void
{
    std::cerr << toText(findings);
}

} // namespace jasminelatch::program
