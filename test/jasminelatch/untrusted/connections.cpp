#include "site.hpp"

namespace jasminelatch::sidecar {

namespace {

using Connections = Site;

} // namespace

TEST_F(Connections, PipelinedRequestsWithoutEndStayWithinMemory)
{
    // Guards against responses that are written without regard to whether the client reads them.
    start(false);
    const auto requests = [](const std::string &target) {
        std::string text;
        for (auto count = 0; count < 64; ++count) {
            text += headOf("GET " + target) + "\r\n";
        }
        return UntrustedClient::Script{{}, text};
    };
    join(
        back().callers, [&] { return requests("/m/1"); }, 8);
    join(
        back().callers, [&] { return requests("/none/1"); }, 8);
    join(
        back().metrics, [&] { return requests("/metrics"); }, 8);
    join(
        back().ready, [&] { return requests("/v1/ready"); }, 8);
    for (const auto &client : crowd) {
        client->pauseReading(true);
    }
    runCrowd(4s);
    expectHealthy();
}

TEST_F(Connections, WithoutAByteLeaveDescriptorsForOthers)
{
    // Guards against client connections that take the descriptors needed for peers, the store and the instance.
    start(false);
    join(
        back().callers, [] { return UntrustedClient::Script{}; }, 600);
    for (const auto &port : {back().peers, back().reports, back().ready, back().metrics}) {
        join(
            port, [] { return UntrustedClient::Script{}; }, 100);
    }
    runCrowd(1s);
    expectHealthy();
}

} // namespace jasminelatch::sidecar
