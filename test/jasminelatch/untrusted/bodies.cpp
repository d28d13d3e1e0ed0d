#include "site.hpp"

namespace jasminelatch::sidecar {

namespace {

/*! @brief How bodies are sent, and to which instance. */
struct BodyCase {
    const char *name;
    std::size_t pieceBytes{}; /*!< Bytes that a client sends at a time. */
    bool isChunked{};
    bool behindAnotherNode{};
    bool readsNothing{}; /*!< Whether the instance accepts connections and reads nothing. */
};

struct LargeBodies: Site, testing::WithParamInterface<BodyCase> {
    static auto script(const std::size_t bytes) -> UntrustedClient::Script
    {
        if (!GetParam().isChunked) {
            return {headOf("POST /o/1", "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n\r\n"),
                    "xxxxxxxxxxxxxxxx",
                    bytes,
                    GetParam().pieceBytes};
        }
        const auto chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
        return {headOf("POST /o/1", "Transfer-Encoding: chunked\r\n\r\n"),
                chunk,
                bytes / 4096 * chunk.size(),
                GetParam().pieceBytes};
    }
};

struct SingleBody: Site, testing::WithParamInterface<bool> {
};

} // namespace

TEST_P(LargeBodies, StayWithinMemory)
{
    // Guards against bodies that are held more than once, or not accounted for once they are complete.
    start(GetParam().behindAnotherNode);
    if (GetParam().readsNothing) {
        back().instance.stopReading();
    }
    // The complete ones arrive one after another; the others stop just short of their end and stay open.
    for (auto count = 0; count < 12; ++count) {
        join(
            front().callers, [] { return script(maxBodyBytes); }, 1);
        runCrowd(300ms);
    }
    join(
        front().callers, [] { return script(maxBodyBytes - 4096); }, 36);
    runCrowd(2s);
    if (GetParam().readsNothing) {
        back().instance.serve();
    }
    expectHealthy();
}

INSTANTIATE_TEST_SUITE_P(Untrusted,
                         LargeBodies,
                         testing::Values(BodyCase{"Whole", 1 << 20, false, false, false},
                                         BodyCase{"InPieces", 16384, false, false, false},
                                         BodyCase{"Chunked", 65536, true, false, false},
                                         BodyCase{"BehindANode", 1 << 20, false, true, false},
                                         BodyCase{"ToASlowInstance", 1 << 20, false, false, true},
                                         BodyCase{"ToASlowInstanceBehindANode", 65536, false, true, true}),
                         [](const auto &tested) { return tested.param.name; });

TEST_P(SingleBody, OfTheLargestSizeIsServedOnAMachineWithLittleMemory)
{
    // Guards against a byte budget that refuses a request within the documented limits while there is no other load.
    constexpr std::size_t largest = std::size_t{64} << 20;
    start(GetParam(), {160, largest});
    join(
        front().callers,
        [] {
            return UntrustedClient::Script{
                headOf("POST /o/1", "Content-Length: " + std::to_string(largest) + "\r\n\r\n"),
                "xxxxxxxxxxxxxxxx",
                largest};
        },
        1);
    runCrowd(20s, [&] { return crowd.front()->received() > 0; });
    EXPECT_TRUE(crowd.front()->head().starts_with("HTTP/1.1 200")) << crowd.front()->head();
    expectHealthy();
}

INSTANTIATE_TEST_SUITE_P(Untrusted, SingleBody, testing::Bool(), [](const auto &tested) {
    return std::string{tested.param ? "BehindANode" : "BesideANode"};
});

} // namespace jasminelatch::sidecar
