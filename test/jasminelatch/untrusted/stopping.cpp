#include "site.hpp"

namespace jasminelatch::sidecar {

namespace {

using StoppingNode = Site;

} // namespace

TEST_F(StoppingNode, EndsWithinItsGracePeriodBesideACrowd)
{
    // Guards against a stop signal that waits for clients which never finish.
    start(false);
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{headOf("GET /m/long") + "\r\n", {}};
        },
        16);
    for (const auto &client : crowd) {
        client->pauseReading(true);
    }
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{
                headOf("POST /o/1", "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n\r\n"),
                "xxxxxxxxxxxxxxxx",
                maxBodyBytes - 4096};
        },
        16);
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{{}, "\r\n"};
        },
        4);
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{{}, headOf("GET /m/1") + "\r\n"};
        },
        4);
    join(
        front().callers, [] { return UntrustedClient::Script{}; }, 16);
    runCrowd(1s);
    const auto peak = back().peakMemory();
    std::cout << "peak " << (peak >> 20) << " MB\n";
    EXPECT_LT(peak, nodeMemoryMb << 20);
    ASSERT_FALSE(back().exitCode());
    back().process.signal(SIGTERM);
    EXPECT_TRUE(runCrowd(4s, [&] { return back().exitCode().has_value(); })) << "within its grace period";
    EXPECT_EQ(back().exitCode(), 0);
}

} // namespace jasminelatch::sidecar
