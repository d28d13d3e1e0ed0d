#include "site.hpp"

namespace jasminelatch::sidecar {

namespace {

/*! @brief How readers read, and whether the instance is behind a second node. */
struct ReaderCase {
    bool behindAnotherNode{};
    bool readsSlowly{}; /*!< Otherwise they read nothing. */
};

struct SlowReaders: Site, testing::WithParamInterface<ReaderCase> {
};

using SteadyReader = Site;

} // namespace

TEST_P(SlowReaders, StayWithinMemory)
{
    // Guards against responses that are buffered without bound for clients which read slowly or not at all.
    start(GetParam().behindAnotherNode);
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{headOf("GET /m/long") + "\r\n", {}};
        },
        48);
    for (const auto &client : crowd) {
        client->pauseReading(true);
    }
    for (auto round = 0; round < 50; ++round) {
        runCrowd(100ms);
        if (GetParam().readsSlowly) {
            for (const auto &client : crowd) {
                client->pauseReading(false);
            }
            runCrowd(1ms);
            for (const auto &client : crowd) {
                client->pauseReading(true);
            }
        }
    }
    expectHealthy();
}

INSTANTIATE_TEST_SUITE_P(
    Untrusted,
    SlowReaders,
    testing::Values(ReaderCase{false, false}, ReaderCase{false, true}, ReaderCase{true, false}, ReaderCase{true, true}),
    [](const auto &tested) {
        return std::string{tested.param.behindAnotherNode ? "BehindANode" : "BesideANode"}
             + (tested.param.readsSlowly ? "Slowly" : "NotAtAll");
    });

TEST_F(SteadyReader, GetsItsWholeAnswerHoweverLongItTakes)
{
    // Guards against an idle timeout that cuts off a long response while the client is reading it.
    start(false);
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{headOf("GET /m/long") + "\r\n", {}};
        },
        1);
    for (auto reads = 0; reads < 600 && crowd.front()->received() < longAnswerBytes && !crowd.front()->closed();
         ++reads) {
        crowd.front()->pauseReading(true);
        runCrowd(80ms);
        crowd.front()->pauseReading(false);
        runCrowd(1ms);
    }
    EXPECT_GT(crowd.front()->received(), longAnswerBytes);
    expectHealthy();
}

} // namespace jasminelatch::sidecar
