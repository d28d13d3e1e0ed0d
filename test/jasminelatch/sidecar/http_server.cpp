#include "loopback.hpp"

#include <jasminelatch/sidecar/http_server.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace jasminelatch::sidecar {

namespace {

using namespace std::chrono_literals;

struct HttpServerTest: testing::Test {
    void SetUp() override { ASSERT_FALSE(server.open(endpoint)); }

    auto awaitRequests(const std::size_t count) -> bool
    {
        return loopback.runUntil([&] { return requests.size() >= count; });
    }

    Loopback loopback;
    event::Endpoint endpoint{Loopback::freeEndpoint()};
    mesh::Limits limits;
    mesh::ByteBudget budget{std::size_t{1} << 20};
    std::vector<mesh::Request> requests;
    std::vector<HttpServer::Respond> responds;
    std::vector<std::uint64_t> cancelled;
    HttpServer server{loopback.loop,
                      {[this](mesh::Request request, HttpServer::Respond respond) {
                           requests.push_back(std::move(request));
                           responds.push_back(std::move(respond));
                           return static_cast<std::uint64_t>(requests.size());
                       },
                       [this](const std::uint64_t name) { cancelled.push_back(name); },
                       [this] { return limits; },
                       &budget}};
};

} // namespace

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
    RawClient client{loopback, endpoint};
    client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    loopback.runFor(20ms);
    EXPECT_EQ(requests.size(), 1U);
    responds[0]({200, {}, {}, "one"});
    ASSERT_TRUE(awaitRequests(2));
    responds[1]({200, {}, {}, "two"});
    ASSERT_TRUE(loopback.runUntil([&] { return client.received.find("two") != std::string::npos; }));
    EXPECT_LT(client.received.find("one"), client.received.find("two"));
}

TEST_F(HttpServerTest, WritesNoStatusThatIsNoFinalOne)
{
    // The last check before a client; a status of 0 was written as `HTTP/1.1 0`.
    for (const auto status : {0U, 99U, 101U, 600U, 999U}) {
        RawClient client{loopback, endpoint};
        client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(awaitRequests(1));
        responds[0]({status, "Bad", {{"X", "1"}}, "body"});
        ASSERT_TRUE(loopback.runUntil([&] { return client.received.ends_with("\r\n\r\n"); }, 500ms)) << client.received;
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"))
            << client.received;
        requests.clear();
        responds.clear();
    }
}

TEST_F(HttpServerTest, ReassemblesAChunkedBody)
{
    RawClient client{loopback, endpoint};
    client.stream.write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    loopback.runFor(20ms);
    client.stream.write("2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].body, "abcde");
}

TEST_F(HttpServerTest, RefusesRequestSmuggling)
{
    for (const auto *framing : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                "Content-Length: 5\r\nContent-Length: 6\r\n",
                                "Content-Length: +5\r\n"}) {
        RawClient client{loopback, endpoint};
        client.stream.write(std::string{"POST /1 HTTP/1.1\r\nHost: a\r\n"} + framing
                            + "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(loopback.runUntil([&] { return client.received.starts_with("HTTP/1.1 400"); })) << framing;
        EXPECT_TRUE(requests.empty());
    }
}

TEST_F(HttpServerTest, RefusesAnOversizedHeaderAndAnOversizedBody)
{
    limits.maxHeaderBytes = 1000;
    limits.maxBodyBytes = 10;
    RawClient wide{loopback, endpoint};
    wide.stream.write("GET /1 HTTP/1.1\r\nX: " + std::string(2000, 'x'));
    EXPECT_TRUE(loopback.runUntil([&] { return wide.received.starts_with("HTTP/1.1 431"); }));
    RawClient longBody{loopback, endpoint};
    longBody.stream.write("POST /1 HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    EXPECT_TRUE(loopback.runUntil([&] { return longBody.received.starts_with("HTTP/1.1 413"); }));
}

TEST_F(HttpServerTest, ReportsAClientThatDisconnectsBeforeItsResponse)
{
    RawClient client{loopback, endpoint};
    client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    client.stream.close();
    ASSERT_TRUE(loopback.runUntil([&] { return !cancelled.empty(); }));
    EXPECT_EQ(cancelled.front(), 1U);
    responds[0]({200, {}, {}, "late"});
}

TEST_F(HttpServerTest, AnswersASlowHeaderWithATimeout)
{
    limits.headerTimeout = 50ms;
    RawClient client{loopback, endpoint};
    client.stream.write("GET /1 HT");
    EXPECT_TRUE(loopback.runUntil([&] { return client.received.starts_with("HTTP/1.1 408"); }));
}

TEST_F(HttpServerTest, ClosesAnIdleConnection)
{
    limits.idleTimeout = 50ms;
    RawClient client{loopback, endpoint};
    EXPECT_TRUE(loopback.runUntil([&] { return client.closed; }));
    EXPECT_TRUE(client.received.empty());
}

TEST_F(HttpServerTest, SendsContinueToAClientThatExpectsIt)
{
    RawClient client{loopback, endpoint};
    client.stream.write("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    ASSERT_TRUE(loopback.runUntil([&] { return client.received.starts_with("HTTP/1.1 100"); }));
    client.stream.write("abc");
    ASSERT_TRUE(awaitRequests(1));
}

TEST_F(HttpServerTest, KeepsRepeatedFieldsSeparate)
{
    RawClient client{loopback, endpoint};
    client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\nX: 1\r\nX: 2\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].fields.size(), 3U);
}

TEST_F(HttpServerTest, OmitsTheBodyOfAResponseToHead)
{
    RawClient client{loopback, endpoint};
    client.stream.write("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    responds[0]({200, {}, {}, "body"});
    ASSERT_TRUE(loopback.runUntil([&] { return client.received.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(client.received.find("body"), std::string::npos);
}

TEST_F(HttpServerTest, ClosesTheConnectionAfterTheResponseWhileDraining)
{
    RawClient client{loopback, endpoint};
    client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    server.startDraining();
    responds[0]({200, {}, {}, "body"});
    ASSERT_TRUE(loopback.runUntil([&] { return client.closed; }));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.received.ends_with("body"));
}

TEST_F(HttpServerTest, RefusesBodiesThatTogetherExceedTheBudgetAndReleasesTheirBytes)
{
    const std::string head = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 700000\r\n\r\n";
    RawClient first{loopback, endpoint};
    first.stream.write(head + std::string(690'000, 'x'));
    loopback.runFor(100ms);
    RawClient second{loopback, endpoint};
    second.stream.write(head + std::string(690'000, 'x'));
    ASSERT_TRUE(loopback.runUntil([&] { return second.received.starts_with("HTTP/1.1 503"); }));
    EXPECT_NE(second.received.find("Retry-After: 1"), std::string::npos);
    first.stream.write(std::string(10'000, 'x'));
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(requests[0].body.size(), 700'000U);
    EXPECT_GE(budget.used(), 700'000U) << "the request still holds its body";
    requests.clear();
    EXPECT_TRUE(loopback.runUntil([&] { return budget.used() == 0; }));
}

TEST_F(HttpServerTest, ChargesARequestUntilItsLastHolderDropsIt)
{
    // Guards against bodies that are not accounted for once they are complete.
    RawClient client{loopback, endpoint};
    client.stream.write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n" + std::string(500'000, 'x'));
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_GE(budget.used(), 500'000U);
    auto copy = requests[0];
    requests.clear();
    EXPECT_GE(budget.used(), 500'000U);
    copy.body = {};
    EXPECT_EQ(budget.used(), 0U);
}

TEST_F(HttpServerTest, RefusesEmptyLinesWithoutEnd)
{
    RawClient patient{loopback, endpoint};
    patient.stream.write("\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(awaitRequests(1)) << "a few are ignored";
    RawClient client{loopback, endpoint};
    client.stream.write(std::string(100, '\n'));
    EXPECT_TRUE(loopback.runUntil([&] { return client.received.starts_with("HTTP/1.1 400"); }));
}

TEST_F(HttpServerTest, RefusesAChunkExtensionWithoutEnd)
{
    RawClient client{loopback, endpoint};
    client.stream.write("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;"
                        + std::string(40'000, 'x'));
    EXPECT_TRUE(loopback.runUntil([&] { return client.received.starts_with("HTTP/1.1 4"); }));
}

TEST_F(HttpServerTest, StartsNoPipelinedRequestBeforeTheClientReadsTheResponse)
{
    // Guards against responses that pile up for a client which sends requests and reads nothing.
    limits.idleTimeout = 300ms;
    RawClient client{loopback, endpoint};
    client.stream.pauseReading(true);
    client.stream.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(awaitRequests(1));
    responds[0]({200, {}, {}, std::string(std::size_t{32} << 20, 'x')});
    loopback.runFor(100ms);
    EXPECT_EQ(requests.size(), 1U);
    EXPECT_TRUE(loopback.runUntil([&] { return server.activeRequests() == 0; }, 2s)) << "closed without progress";
}

} // namespace jasminelatch::sidecar
