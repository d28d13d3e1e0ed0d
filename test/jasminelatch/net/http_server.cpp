#include <jasminelatch/net/http_client.hpp>
#include <jasminelatch/net/http_server.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <support/free_port.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace jasminelatch::net {

namespace {

constexpr std::size_t bodyBound = 1000;

auto startServer(const std::uint16_t port, HttpServer::Hooks hooks) -> std::unique_ptr<HttpServer>
{
    HttpServer::Settings settings;
    settings.port = port;
    settings.maxBody = bodyBound;
    return boost::leaf::try_handle_all([&] { return HttpServer::start(settings, std::move(hooks)); },
                                       [] { return std::unique_ptr<HttpServer>{}; });
}

auto url(const std::uint16_t port) -> std::string
{
    return "http://127.0.0.1:" + std::to_string(port) + "/a?b=c";
}

auto waitFor(const std::function<bool()> &condition) -> bool
{
    const auto until = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

} // namespace

TEST(HttpServer, HandsOverWholeRequestsAndAnswersFromAnyThread)
{
    const auto port = test::freePort();
    std::thread answering;
    HttpServer::Hooks hooks;
    hooks.request = [&](RequestNumber, const HttpRequest &request, const Responder &responder) {
        answering = std::thread{[=] {
            responder({200, {{"X-Query", request.query.at("b")}}, request.method + request.path + request.body});
        }};
    };
    hooks.gone = [](RequestNumber) {
    };
    const auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    const auto result = performHttp({"POST", url(port), {}, "body", 20s});
    answering.join();
    ASSERT_EQ(result.end, HttpEnd::Answered);
    EXPECT_EQ(result.response.body, "POST/abody");
    EXPECT_EQ(header(result.response.headers, "x-query"), "c");
}

TEST(HttpServer, DropsABodyOverItsBound)
{
    const auto port = test::freePort();
    HttpServer::Hooks hooks;
    hooks.request = [](RequestNumber, const HttpRequest &request, const Responder &responder) {
        responder({request.bodyTooLarge ? 413 : 200, {}, std::to_string(request.body.size())});
    };
    hooks.gone = [](RequestNumber) {
    };
    const auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    const auto fits = performHttp({"POST", url(port), {}, std::string(bodyBound, 'x'), 20s});
    EXPECT_EQ(fits.response.body, std::to_string(bodyBound));
    const auto tooLarge = performHttp({"POST", url(port), {}, std::string(bodyBound + 1, 'x'), 20s});
    EXPECT_EQ(tooLarge.response.status, 413);
    EXPECT_EQ(tooLarge.response.body, "0");
}

TEST(HttpServer, ReportsCallersThatLeaveBeforeTheirAnswer)
{
    const auto port = test::freePort();
    std::atomic<RequestNumber> waiting{};
    std::atomic<RequestNumber> gone{};
    HttpServer::Hooks hooks;
    hooks.request = [&](const RequestNumber number, const HttpRequest &, const Responder &) {
        waiting = number;
    };
    hooks.gone = [&](const RequestNumber number) {
        gone = number;
    };
    const auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    const auto result = performHttp({"GET", url(port), {}, {}, 100ms});
    EXPECT_EQ(result.end, HttpEnd::TimedOut);
    EXPECT_TRUE(waitFor([&] {
        server->findGoneCallers();
        return gone != 0;
    }));
    EXPECT_EQ(gone, waiting);
}

TEST(HttpServer, AnswersWhatWaitsWhenItStops)
{
    const auto port = test::freePort();
    std::atomic<bool> arrived{};
    HttpServer::Hooks hooks;
    hooks.request = [&](RequestNumber, const HttpRequest &, const Responder &) {
        arrived = true;
    };
    hooks.gone = [](RequestNumber) {
    };
    auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    auto result = std::async(std::launch::async, [&] { return performHttp({"GET", url(port), {}, {}, 20s}); });
    ASSERT_TRUE(waitFor([&] { return arrived.load(); }));
    server.reset();
    EXPECT_EQ(result.get().response.status, 503);
}

TEST(HttpServer, RefusesARequestThatArrivesWhileItStops)
{
    constexpr std::size_t moreThanSocketsHold = std::size_t{64} << 20U;
    const auto port = test::freePort();
    std::atomic<bool> large{};
    HttpServer::Hooks hooks;
    hooks.request = [&](RequestNumber, const HttpRequest &request, const Responder &responder) {
        if (request.path == "/large") {
            responder({200, {}, std::string(moreThanSocketsHold, 'x')});
            large = true;
        }
    };
    hooks.gone = [](RequestNumber) {
    };
    auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    const auto unread = test::connectTo(port);
    const auto late = test::connectTo(port);
    const std::string first{"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"};
    const std::string begun{"GET /late HTTP/1.1\r\nHost: a\r\n"};
    EXPECT_GT(::send(unread, first.data(), first.size(), MSG_NOSIGNAL), 0);
    EXPECT_GT(::send(late, begun.data(), begun.size(), MSG_NOSIGNAL), 0);
    ASSERT_TRUE(waitFor([&] { return large.load(); }));
    // The unread answer keeps the server busy while it stops.
    auto stop = std::async(std::launch::async, [&] { server.reset(); });
    std::this_thread::sleep_for(200ms);
    EXPECT_GT(::send(late, "\r\n", 2, MSG_NOSIGNAL), 0);
    stop.get();
    std::string status(12, '\0');
    EXPECT_EQ(::recv(late, status.data(), status.size(), MSG_WAITALL), static_cast<ssize_t>(status.size()));
    EXPECT_EQ(status, "HTTP/1.1 503");
    ::close(unread);
    ::close(late);
}

TEST(HttpServer, SurvivesRubbish)
{
    const auto port = test::freePort();
    HttpServer::Hooks hooks;
    hooks.request = [](RequestNumber, const HttpRequest &, const Responder &responder) {
        responder({204, {}, {}});
    };
    hooks.gone = [](RequestNumber) {
    };
    const auto server = startServer(port, std::move(hooks));
    ASSERT_NE(server, nullptr);
    const auto socket = test::connectTo(port);
    const std::string rubbish(5000, '\x16');
    EXPECT_GT(::send(socket, rubbish.data(), rubbish.size(), MSG_NOSIGNAL), 0);
    EXPECT_EQ(performHttp({"GET", url(port), {}, {}, 20s}).response.status, 204);
    ::close(socket);
}

TEST(HttpServer, FailsWithTheAddressThatIsTaken)
{
    const auto port = test::freePort();
    HttpServer::Hooks hooks;
    hooks.request = [](RequestNumber, const HttpRequest &, const Responder &) {
    };
    hooks.gone = [](RequestNumber) {
    };
    const auto server = startServer(port, hooks);
    ASSERT_NE(server, nullptr);
    HttpServer::Settings settings;
    settings.port = port;
    settings.host = "not an address";
    const auto address = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(started, HttpServer::start(settings, hooks));
            return std::string{started == nullptr ? "nothing" : ""};
        },
        [](const ListenError &error) { return error.address; },
        [] { return std::string{"unknown"}; });
    EXPECT_EQ(address, "not an address:" + std::to_string(port));
}

} // namespace jasminelatch::net
