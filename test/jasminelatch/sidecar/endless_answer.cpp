#include "test_node.hpp"

#include <jasminelatch/sidecar/store_channel.hpp>

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Returns the resident memory of this process in bytes. */
auto residentBytes() -> std::size_t
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total{};
    std::size_t resident{};
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/*! @brief Bytes that a faulty server sends once on a connection, and those that it repeats without end. */
struct Endless {
    const char *name;
    std::string first;
    std::string repeated;
};

auto operator<<(std::ostream &out, const Endless &endless) -> std::ostream &
{
    return out << endless.name;
}

auto blockOf(const Endless &endless) -> std::string
{
    constexpr std::size_t blockBytes = 65536;
    std::string block;
    while (block.size() < blockBytes) {
        block += endless.repeated;
    }
    return block;
}

/*! @brief Keeps some bytes under way on every open connection of a server; returns how many were added. */
auto feed(RawServer &server, const std::string &block) -> std::size_t
{
    std::size_t fed{};
    for (const auto &stream : server.streams) {
        if (stream->isOpen() && stream->pendingBytes() < block.size()) {
            stream->write(block);
            fed += block.size();
        }
    }
    return fed;
}

/*! @brief A node that receives client requests, and one beside an instance that a faulty one replaces. */
struct NodePair: testing::Test {
    NodePair()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        EXPECT_TRUE(
            loopback.runUntil([&] { return getFrom(loopback, front.settings.ready, "/v1/ready").status == 200; }));
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, front, "/m/1", "k1").status == 200; }));
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue"};
    TestNode back{loopback, storeAt, "back", "orders"};
};

struct EndlessAnswerTest: NodePair, testing::WithParamInterface<Endless> {
};

using EndlessReport = NodePair;

struct EndlessStoreAnswer: testing::TestWithParam<Endless> {
};

} // namespace

TEST_P(EndlessAnswerTest, SeveralAtOnceExhaustNoMemoryAndOtherRequestsAreServed)
{
    // Guards against a report of another operator: the node kept an endless answer whole and ran out of memory.
    back.instance.crash();
    loopback.runFor(20ms);
    RawServer faulty{loopback, back.instance.endpoint};
    const auto block = blockOf(GetParam());
    const auto before = residentBytes();
    std::vector<std::unique_ptr<RawClient>> clients;
    for (auto count = 0; count < 24; ++count) {
        clients.push_back(std::make_unique<RawClient>(loopback, front.settings.callers));
        clients.back()->stream.write(
            "POST /o/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nAttempt-Id: e-"
            + std::to_string(count) + "\r\nContent-Length: 0\r\n\r\n");
    }
    std::size_t started{};
    std::size_t fed{};
    auto most = before;
    const auto end = loopback.clock.now() + 2500ms;
    while (loopback.clock.now() < end) {
        for (; started < faulty.streams.size(); ++started) {
            faulty.streams[started]->write(GetParam().first);
        }
        fed += feed(faulty, block);
        loopback.runFor(1ms);
        most = std::max(most, residentBytes());
    }
    RecordProperty("resident_growth_kb", static_cast<int>((most - before) / 1024));
    RecordProperty("sent_kb", static_cast<int>(fed / 1024));
    EXPECT_GT(started, 4U) << "several at once";
    EXPECT_LT(most - before, front.settings.memoryBytes / 2) << GetParam().name << ", " << fed << " bytes sent";
    EXPECT_TRUE(
        std::ranges::all_of(clients, [](const auto &client) { return client->received.starts_with("HTTP/1.1 "); }));
    const TestNode sound{loopback, storeAt, "sound", "orders"};
    ASSERT_TRUE(loopback.runUntil([&] { return getFrom(loopback, sound.settings.ready, "/v1/ready").status == 200; }));
    EXPECT_EQ(sendInstanceReport(loopback, sound, "ready", 1).status, 200U);
    EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, front, "/m/1", "k1").body == "from i-sound"; }, 1s));
}

TEST_P(EndlessStoreAnswer, EndsTheCallAndItsMemoryIsReleased)
{
    // The same on a connection to the store.
    Loopback loopback;
    RawServer faulty{loopback};
    StoreChannel channel{loopback.loop, faulty.endpoint};
    const auto block = blockOf(GetParam());
    const auto before = residentBytes();
    auto most = before;
    std::optional<HttpConnection::Result> result;
    channel.call({"GET", "/", {}, {}}, 2s, [&](HttpConnection::Result ended) { result = std::move(ended); });
    ASSERT_TRUE(loopback.runUntil([&] { return !faulty.received.empty(); }));
    faulty.streams.back()->write(GetParam().first);
    while (!result) {
        feed(faulty, block);
        loopback.runFor(1ms);
        most = std::max(most, residentBytes());
    }
    RecordProperty("resident_growth_kb", static_cast<int>((most - before) / 1024));
    EXPECT_FALSE(result->answer) << GetParam().name;
    EXPECT_LT(most - before, std::size_t{32} << 20);
    EXPECT_TRUE(loopback.runUntil([&] { return faulty.closed == 1; }, 1s));
}

TEST_F(EndlessReport, SeveralAtOnceAreRefusedAndExhaustNoMemory)
{
    // Guards against a faulty instance that sends reports without end; their server had no bound over its connections.
    const auto before = residentBytes();
    auto most = before;
    const std::string block(65536, ' ');
    std::vector<std::unique_ptr<RawClient>> instances;
    for (auto count = 0; count < 24; ++count) {
        instances.push_back(std::make_unique<RawClient>(loopback, back.settings.reports));
        instances.back()->stream.write(
            "POST /v1/Instances.Heartbeat/i-back HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n");
    }
    const auto end = loopback.clock.now() + 1500ms;
    while (loopback.clock.now() < end) {
        for (const auto &instance : instances) {
            if (!instance->closed && instance->stream.pendingBytes() < block.size()) {
                instance->stream.write(block);
            }
        }
        loopback.runFor(1ms);
        most = std::max(most, residentBytes());
    }
    RecordProperty("resident_growth_kb", static_cast<int>((most - before) / 1024));
    EXPECT_LT(most - before, back.settings.memoryBytes / 4);
    EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 2).status, 200U);
}

static const auto endlessAnswers = testing::Values(
    Endless{"head", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
    Endless{"line of a head", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"},
    Endless{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"},
    Endless{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", "xxxxxxxxxxxxxxxx"},
    Endless{"body just within the limit", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "xxxxxxxxxxxxxxxx"},
    Endless{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
    Endless{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "xxxxxxxxxxxxxxxx"},
    Endless{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    Endless{"no answer", "", "xxxxxxxxxxxxxxxx"});

INSTANTIATE_TEST_SUITE_P(Instance, EndlessAnswerTest, endlessAnswers);
INSTANTIATE_TEST_SUITE_P(Store, EndlessStoreAnswer, endlessAnswers);

} // namespace jasminelatch::sidecar
