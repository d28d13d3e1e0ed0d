#include "test_node.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>

namespace jasminelatch::sidecar {

namespace {

/*! @brief Complete response that a request on another connection must never receive. */
const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";

/*! @brief How the body of a response is framed. */
struct Body {
    const char *name;
    std::string fields;
    std::string bytes;
};

auto operator<<(std::ostream &out, const Body &body) -> std::ostream &
{
    return out << body.name;
}

const auto bodies = testing::Values(Body{"none", "Content-Length: 0\r\n", ""},
                                    Body{"length", "Content-Length: 4\r\n", "body"},
                                    Body{"chunked", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
                                    Body{"unframed", "", ""});

/*! @brief Status line, framing of the body and whether the connection has carried another request before. */
using Case = std::tuple<const char *, Body, bool>;

/*! @brief Connection to a raw server whose responses the test writes byte by byte. */
struct AnswerStatus: testing::TestWithParam<Case> {
    auto send(const std::string &id) -> void
    {
        server.received.clear();
        result.reset();
        connection.send({"POST", "/o/", {{"Host", "a.example"}, {"Attempt-Id", id}}, "x"});
        ASSERT_TRUE(loopback.runUntil([&] { return server.received.ends_with("\r\n\r\nx"); }));
    }

    auto answer(const std::string &bytes) -> void
    {
        server.streams.back()->write(bytes);
        loopback.runUntil([&] { return result.has_value(); }, 300ms);
    }

    Loopback loopback;
    RawServer server{loopback};
    std::optional<HttpConnection::Result> result;
    HttpConnection connection{loopback.loop,
                              server.endpoint,
                              {.echoField = "Attempt-Id"},
                              {[this](HttpConnection::Result ended) { result = std::move(ended); },
                               [] {
                               }}};
};

using InvalidStatus = AnswerStatus;
using InterimStatus = AnswerStatus;

/*! @brief A node that receives client requests; the faulty instance is beside it or beside another node. */
struct InvalidStatusFleet: testing::TestWithParam<std::tuple<const char *, bool>> {
    InvalidStatusFleet()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        const auto isReady = [&](const TestNode &node) {
            return getFrom(loopback, node.settings.ready, "/v1/ready").status == 200;
        };
        EXPECT_TRUE(loopback.runUntil([&] { return isReady(front) && isReady(back); }));
        EXPECT_EQ(sendInstanceReport(loopback, back, "ready", 1).status, 200U);
        EXPECT_TRUE(loopback.runUntil([&] { return fetchAt(loopback, front, "/m/1", "k1").status == 200; }));
    }

    /*! @brief Replaces the instance by a faulty one at its address. */
    auto startFaulty() -> std::unique_ptr<RawServer>
    {
        back.instance.crash();
        loopback.runFor(20ms);
        return std::make_unique<RawServer>(loopback, back.instance.endpoint);
    }

    /*! @brief Sends a request to the entry node and answers it at the faulty instance. */
    auto fetch(RawServer &faulty, const std::string &start, const std::string &path) -> mesh::Answer
    {
        faulty.received.clear();
        std::optional<HttpConnection::Result> result;
        HttpConnection client{loopback.loop,
                              entry().settings.callers,
                              {},
                              {[&](HttpConnection::Result ended) { result = std::move(ended); },
                               [] {
                               }}};
        client.send({"POST",
                     path,
                     {{"Host", "a.example"}, {"Attempt-Id", "a-" + path}, {"Authorization", "Bearer k1"}},
                     "order"});
        if (loopback.runUntil([&] { return result || faulty.received.ends_with("order"); }, 2s) && !result) {
            faulty.streams.back()->write(start + "\r\nAttempt-Id: a-" + path + "\r\nContent-Length: 4\r\n\r\nbody"
                                         + surplus);
        }
        loopback.runUntil([&] { return result.has_value(); }, 2s);
        return result && result->answer ? *result->answer : mesh::Answer{};
    }

    auto entry() -> TestNode & { return std::get<1>(GetParam()) ? back : front; }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue"};
    TestNode back{loopback, storeAt, "back", "orders"};
};

} // namespace

TEST_P(InvalidStatus, IsAnUnreadableResponseAndTheBytesAfterItBelongToNoRequest)
{
    // Guards against a response with status 000, which was skipped like an interim one, so that the bytes after it were
    // taken as the response; statuses from 600 on were delivered.
    const auto &[line, body, isUsed] = GetParam();
    if (isUsed) {
        send("1");
        answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n");
        ASSERT_TRUE(connection.isReusable());
    }
    send("2");
    answer(line + std::string{"\r\nAttempt-Id: 2\r\n"} + body.fields + "\r\n" + body.bytes
           + "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nContent-Length: 7\r\n\r\nsurplus");
    ASSERT_TRUE(result) << "at once, not at the deadline";
    EXPECT_FALSE(result->answer) << result->answer->status << ' ' << result->answer->body.text();
    EXPECT_TRUE(result->sent) << "it may have run";
    EXPECT_TRUE(result->error.starts_with("malformed")) << result->error;
    EXPECT_FALSE(connection.isReusable());
    EXPECT_TRUE(loopback.runUntil([&] { return server.closed == 1; }, 1s));
}

TEST_P(InterimStatus, IsFollowedByTheResponse)
{
    const auto &[line, body, isUsed] = GetParam();
    if (isUsed) {
        send("1");
        answer("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n");
    }
    send("2");
    answer(line + std::string{"\r\n"} + body.fields + "\r\n" + body.bytes
           + "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nContent-Length: 3\r\n\r\nown");
    ASSERT_TRUE(result && result->answer);
    EXPECT_EQ(result->answer->body, "own");
    EXPECT_TRUE(connection.isReusable());
}

TEST_P(InvalidStatusFleet, IsABadGatewayForAClientAndTheConnectionCarriesNoOtherRequest)
{
    const auto faulty = startFaulty();
    const auto *start = std::get<0>(GetParam());
    const auto first = fetch(*faulty, start, "/o/1");
    EXPECT_EQ(first.status, 502U) << first.body.text();
    const auto connections = faulty->streams.size();
    const auto second = fetch(*faulty, "HTTP/1.1 200 OK", "/o/2");
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.body, "body") << "not what followed the invalid response";
    EXPECT_GT(faulty->streams.size(), connections);
}

TEST_P(InvalidStatusFleet, AnIdempotentRequestIsRetriedAtAnotherInstance)
{
    const TestNode sound{loopback, storeAt, "sound", "orders"};
    ASSERT_TRUE(loopback.runUntil([&] { return getFrom(loopback, sound.settings.ready, "/v1/ready").status == 200; }));
    EXPECT_EQ(sendInstanceReport(loopback, sound, "ready", 1).status, 200U);
    loopback.runFor(300ms);
    const auto faulty = startFaulty();
    const auto *start = std::get<0>(GetParam());
    auto wasTried = false;
    for (auto count = 0; count < 60 && !wasTried; ++count) {
        const auto answer = fetch(*faulty, start, "/m/" + std::to_string(count));
        wasTried = !faulty->received.empty();
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(answer.body, "from i-sound");
    }
    EXPECT_TRUE(wasTried) << "the faulty instance received none of them";
}

INSTANTIATE_TEST_SUITE_P(Connection,
                         InvalidStatus,
                         testing::Combine(testing::Values("HTTP/1.1 000 Bad",
                                                          "HTTP/1.1 000 ",
                                                          "HTTP/1.1 099 Bad",
                                                          "HTTP/1.1 101 Switching Protocols",
                                                          "HTTP/1.1 600 Bad",
                                                          "HTTP/1.1 999 Bad",
                                                          "HTTP/1.1 abc Bad",
                                                          "HTTP/1.1 2x0 OK",
                                                          "HTTP/1.1 20 OK",
                                                          "HTTP/1.1 2000 OK",
                                                          "HTTP/1.1 -20 OK",
                                                          "HTTP/1.1  OK",
                                                          "HTTP/1.1 OK",
                                                          "HTTP/1.1 ",
                                                          "HTTP/1.1",
                                                          "HTTP/1.0 000 Bad"),
                                          bodies,
                                          testing::Bool()));

INSTANTIATE_TEST_SUITE_P(Connection,
                         InterimStatus,
                         testing::Combine(testing::Values("HTTP/1.1 100 Continue",
                                                          "HTTP/1.1 102 Processing",
                                                          "HTTP/1.1 103 Early Hints",
                                                          "HTTP/1.1 199 x"),
                                          testing::Values(Body{"none", "", ""}),
                                          testing::Bool()));

INSTANTIATE_TEST_SUITE_P(Node,
                         InvalidStatusFleet,
                         testing::Combine(testing::Values("HTTP/1.1 000 Bad",
                                                          "HTTP/1.1 099 Bad",
                                                          "HTTP/1.1 600 Bad",
                                                          "HTTP/1.1 999 Bad",
                                                          "HTTP/1.1 abc x"),
                                          testing::Bool()));

TEST(PeerLink, AReplyOfAnEarlierBuildWithAnInvalidStatusIsNoResponse)
{
    // A node of an earlier build passes on statuses from 600 on, as it received them.
    Loopback loopback;
    RawServer peer{loopback};
    PeerLink link{loopback.loop, peer.endpoint, {}, {}};
    std::optional<mesh::HopReply> first;
    std::optional<mesh::HopReply> second;
    const auto firstId = link.send({}, [&](mesh::HopReply reply) { first = std::move(reply); });
    const auto secondId = link.send({}, [&](mesh::HopReply reply) { second = std::move(reply); });
    ASSERT_TRUE(loopback.runUntil([&] { return !peer.streams.empty(); }));
    mesh::HopReply reply;
    reply.outcome = mesh::HopOutcome::Answered;
    reply.answer = {999, "Bad", {}, "body"};
    peer.streams.back()->write(mesh::encodeFrame(mesh::ReplyMessage{firstId, reply}, loopback.clock.now()));
    reply.answer = {200, "OK", {}, "own"};
    peer.streams.back()->write(mesh::encodeFrame(mesh::ReplyMessage{secondId, reply}, loopback.clock.now()));
    ASSERT_TRUE(loopback.runUntil([&] { return first && second; }, 1s));
    EXPECT_EQ(first->outcome, mesh::HopOutcome::Unknown);
    EXPECT_EQ(first->reason, mesh::HopReason::BadAnswer);
    EXPECT_TRUE(first->reached);
    EXPECT_EQ(second->answer.body, "own");
}

} // namespace jasminelatch::sidecar
