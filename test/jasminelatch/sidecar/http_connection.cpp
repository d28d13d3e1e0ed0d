#include "loopback.hpp"

#include <jasminelatch/sidecar/http_connection.hpp>
#include <jasminelatch/sidecar/instance_pool.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace jasminelatch::sidecar {

namespace {

using namespace std::chrono_literals;

auto request(const std::string &id) -> mesh::Request
{
    return {"GET", "/a/?b=%20c&b=2", {{"Host", "a.example"}, {"Attempt-Id", id}}, {}};
}

/*! @brief Connection to a raw server whose responses the test writes byte by byte. */
struct HttpConnectionTest: testing::Test {
    auto connect(mesh::ByteBudget *budget = nullptr) -> void
    {
        connection = std::make_unique<HttpConnection>(
            loopback.loop,
            server.endpoint,
            HttpConnection::Settings{.echoField = "Attempt-Id", .budget = budget},
            HttpConnection::Hooks{[this](HttpConnection::Result ended) { result = std::move(ended); },
                                  [this] {
                                      lost = true;
                                  }});
    }

    auto sendAndAwait(const std::string &id) -> void
    {
        server.received.clear();
        result.reset();
        connection->send(request(id));
        ASSERT_TRUE(loopback.runUntil([&] { return server.received.find("\r\n\r\n") != std::string::npos; }));
    }

    auto answer(const std::string &bytes) -> void
    {
        server.streams.back()->write(bytes);
        loopback.runUntil([&] { return result.has_value(); }, 300ms);
    }

    Loopback loopback;
    RawServer server{loopback};
    std::unique_ptr<HttpConnection> connection;
    std::optional<HttpConnection::Result> result;
    bool lost{};
};

} // namespace

TEST_F(HttpConnectionTest, SendsPathAndQueryUnchanged)
{
    connect();
    sendAndAwait("1");
    EXPECT_TRUE(server.received.starts_with("GET /a/?b=%20c&b=2 HTTP/1.1\r\n"));
}

TEST_F(HttpConnectionTest, IsReusableAfterACompleteResponse)
{
    connect();
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->body, "ok");
    EXPECT_TRUE(connection->isReusable());
    sendAndAwait("2");
    answer("HTTP/1.1 204 No Content\r\nAttempt-Id: 2\r\n\r\n");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->status, 204U);
}

TEST_F(HttpConnectionTest, SkipsALateDuplicateResponseToAnEarlierRequest)
{
    connect();
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nok");
    sendAndAwait("2");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 3\r\n\r\nold"
           "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nContent-Length: 3\r\n\r\nnew");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->body, "new");
}

TEST_F(HttpConnectionTest, SurplusBytesAfterAResponsePreventReuse)
{
    connect();
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->body, "ok");
    EXPECT_FALSE(connection->isReusable());
}

TEST_F(HttpConnectionTest, BytesWithoutAnOutstandingRequestCloseTheConnection)
{
    connect();
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nok");
    server.streams.back()->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(loopback.runUntil([&] { return lost; }));
}

TEST_F(HttpConnectionTest, ATruncatedResponseIsAnError)
{
    connect();
    sendAndAwait("1");
    server.streams.back()->write("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 20\r\n\r\nhalf");
    server.streams.back()->closeWhenDrained();
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    EXPECT_FALSE(result->answer);
    EXPECT_TRUE(result->sent);
}

TEST_F(HttpConnectionTest, AResponseThatBreaksOffInItsHeadIsAnErrorWhereverItDoes)
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 20\r\n\r\n";
    for (const std::string before :
         {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: 0\r\nContent-Length: 0\r\n\r\n"}) {
        for (std::size_t length = before.empty() ? 1 : 0; length < head.size(); ++length) {
            connect();
            sendAndAwait("1");
            server.streams.back()->write(before + head.substr(0, length));
            server.streams.back()->closeWhenDrained();
            ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); })) << before << length;
            EXPECT_FALSE(result->answer) << before << length;
            EXPECT_TRUE(result->sent);
        }
    }
}

TEST_F(HttpConnectionTest, AnotherRequestsResponseThatEndsWithTheConnectionIsAnError)
{
    connect();
    sendAndAwait("1");
    server.streams.back()->write("HTTP/1.1 200 OK\r\nAttempt-Id: 0\r\n\r\nold");
    server.streams.back()->closeWhenDrained();
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    EXPECT_FALSE(result->answer);
    EXPECT_TRUE(result->sent);
}

TEST_F(HttpConnectionTest, ARepeatedRefusalOfAnEarlierRequestIsNotTheResponseToTheNext)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
    connect();
    sendAndAwait("1");
    answer(refusal + "Attempt-Id: 1\r\n\r\n");
    ASSERT_TRUE(result && result->answer);
    ASSERT_TRUE(connection->isReusable());
    sendAndAwait("2");
    answer(refusal + "Attempt-Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nContent-Length: 3\r\n\r\nran");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->body, "ran");
    sendAndAwait("3");
    answer(refusal + "\r\n");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->answer) << "without an id it may belong to either";
    EXPECT_TRUE(result->sent) << "request 3 may have run";
}

TEST_F(HttpConnectionTest, AResponseWithoutALengthEndsWhenTheConnectionCloses)
{
    connect();
    sendAndAwait("1");
    server.streams.back()->write("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n\r\nall of it");
    server.streams.back()->closeWhenDrained();
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    ASSERT_TRUE(result->answer);
    EXPECT_EQ(result->answer->body, "all of it");
}

TEST_F(HttpConnectionTest, BytesThatAreNotHttpAreAnError)
{
    connect();
    sendAndAwait("1");
    answer("\x01\x02rubbish\r\n\r\n");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->answer);
    EXPECT_TRUE(result->error.starts_with("malformed"));
}

TEST_F(HttpConnectionTest, ARefusedConnectionReportsThatNothingWasSent)
{
    result.reset();
    connection = std::make_unique<HttpConnection>(
        loopback.loop,
        Loopback::freeEndpoint(),
        HttpConnection::Settings{},
        HttpConnection::Hooks{[this](HttpConnection::Result ended) { result = std::move(ended); },
                              [] {
                              }});
    connection->send(request("1"));
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    EXPECT_FALSE(result->sent);
}

TEST_F(HttpConnectionTest, CallsNoCallbackAfterAbandon)
{
    // Guards against a callback from an abandoned connection, which crashed node processes on scale-1 of Rumbo.
    connect();
    sendAndAwait("1");
    connection->abandon();
    server.streams.back()->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    loopback.runFor(50ms);
    EXPECT_FALSE(result);
    EXPECT_FALSE(lost);
}

TEST_F(HttpConnectionTest, AResponseWithoutIdIsRejectedOnAReusedConnection)
{
    // It may be a late duplicate of an earlier response, from an instance that does not echo the id.
    connect();
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(result && result->answer) << "a new connection has no earlier responses";
    sendAndAwait("2");
    answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->answer);
    EXPECT_TRUE(result->sent);
}

/*! @brief Endless response: bytes that an instance sends once, then bytes that it repeats. */
struct Endless {
    const char *name;
    std::string first;
    std::string repeated;
};

struct EndlessAnswer: HttpConnectionTest, testing::WithParamInterface<Endless> {
};

TEST_P(EndlessAnswer, FailsBeforeItExhaustsTheByteBudgetOfTheNode)
{
    mesh::ByteBudget budget{std::size_t{4} << 20};
    connect(&budget);
    sendAndAwait("1");
    auto &instance = *server.streams.back();
    instance.write(GetParam().first);
    std::string block;
    while (block.size() < (std::size_t{64} << 10)) {
        block += GetParam().repeated;
    }
    constexpr std::size_t most = std::size_t{16} << 20;
    std::size_t sent{};
    while (!result && sent < most) {
        if (instance.pendingBytes() < block.size()) {
            instance.write(block);
            sent += block.size();
        }
        loopback.runFor(1ms);
    }
    ASSERT_TRUE(result) << GetParam().name;
    EXPECT_FALSE(result->answer);
    EXPECT_TRUE(result->error.starts_with("malformed")) << result->error;
    EXPECT_FALSE(connection->isReusable());
    EXPECT_EQ(budget.used(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    HttpConnection,
    EndlessAnswer,
    testing::Values(
        Endless{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        Endless{"answers to others", "", "HTTP/1.1 200 OK\r\nAttempt-Id: 0\r\nContent-Length: 0\r\n\r\n"},
        Endless{"head", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        Endless{"line", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"},
        Endless{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "xxxxxxxxxxxxxxxx"},
        Endless{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
        Endless{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
        Endless{"body", "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n\r\n", "xxxxxxxxxxxxxxxx"},
        Endless{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "xxxxxxxxxxxxxxxx"},
        Endless{"no answer", "", "xxxxxxxxxxxxxxxx"}));

TEST(InstancePool, ACancelledRequestClosesItsConnectionWithoutACallback)
{
    Loopback loopback;
    RawServer server{loopback};
    InstancePool pool{loopback.loop, server.endpoint, {}};
    auto called = false;
    const auto name = pool.send(request("1"), true, [&](const HttpConnection::Result &) { called = true; });
    ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
    pool.cancel(name);
    EXPECT_TRUE(loopback.runUntil([&] { return server.closed == 1; }));
    EXPECT_FALSE(called);
}

TEST(InstancePool, ReusesConnections)
{
    Loopback loopback;
    RawServer server{loopback};
    InstancePool pool{loopback.loop, server.endpoint, {}};
    for (auto round = 0; round < 3; ++round) {
        std::optional<HttpConnection::Result> result;
        server.received.clear();
        pool.send(request("1"), true, [&](HttpConnection::Result ended) { result = std::move(ended); });
        ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
        server.streams.back()->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    }
    EXPECT_EQ(server.streams.size(), 1U);
}

TEST(InstancePool, ANonIdempotentRequestDoesNotReuseALongIdleConnection)
{
    Loopback loopback;
    RawServer server{loopback};
    InstancePool pool{loopback.loop, server.endpoint, {.nonIdempotentIdleTime = 20ms}};
    for (auto round = 0; round < 2; ++round) {
        std::optional<HttpConnection::Result> result;
        server.received.clear();
        pool.send(request("1"), false, [&](HttpConnection::Result ended) { result = std::move(ended); });
        ASSERT_TRUE(loopback.runUntil([&] { return !server.received.empty(); }));
        server.streams.back()->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
        loopback.runFor(30ms);
    }
    EXPECT_EQ(server.streams.size(), 2U);
}

TEST_F(HttpConnectionTest, WaitsForRoomInsteadOfDroppingAResponse)
{
    // Guards against responses that are lost because slow readers of others hold the memory.
    mesh::ByteBudget budget{std::size_t{1} << 20};
    mesh::ByteReservation other{&budget};
    ASSERT_TRUE(other.resize(900'000));
    connect(&budget);
    sendAndAwait("1");
    answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 500000\r\n\r\n" + std::string(500'000, 'x'));
    EXPECT_FALSE(result);
    EXPECT_LT(budget.used(), 1'000'000U);
    other.release();
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    ASSERT_TRUE(result->answer);
    EXPECT_EQ(result->answer->body.size(), 500'000U);
    EXPECT_GE(budget.used(), 500'000U) << "charged until its last holder drops it";
    result.reset();
    EXPECT_EQ(budget.used(), 0U);
}

} // namespace jasminelatch::sidecar
