#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>

#include <gtest/gtest.h>
#include <support/free_port.hpp>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace jasminelatch::event {

namespace {

using namespace std::chrono_literals;

struct LoopTest: testing::Test {
    LoopTest()
    {
        loop.setExceptionHandler([this](const std::exception &failure) { failures.emplace_back(failure.what()); });
    }

    Clock clock;
    Loop loop{clock};
    std::vector<std::string> failures;
};

} // namespace

TEST_F(LoopTest, ThrowingTaskStopsNeitherLoopNorTimers)
{
    auto ran = 0;
    loop.after(1ms, [] { throw std::runtime_error{"timer"}; });
    loop.after(1ms, [&] { ++ran; });
    loop.defer([] { throw std::runtime_error{"deferred"}; });
    loop.after(20ms, [&] {
        ++ran;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(ran, 2);
    EXPECT_EQ(failures, (std::vector<std::string>{"deferred", "timer"}));
}

TEST_F(LoopTest, ExceptionInDataHandlerClosesOnlyThatConnection)
{
    const Endpoint at{"127.0.0.1", test::allocatePort()};
    std::vector<std::unique_ptr<Stream>> streams;
    std::string received;
    std::vector<std::string> closed;
    Listener listener{
        loop, [&](boost::asio::ip::tcp::socket socket) {
            const auto isFirst = streams.empty();
            const auto take = [&received, isFirst](const std::span<const char> bytes) {
                if (isFirst) {
                    throw std::runtime_error{"malformed"};
                }
                received.append(bytes.data(), bytes.size());
            };
            const auto end = [&closed](const std::string_view reason) {
                closed.emplace_back(reason);
            };
            streams.push_back(std::make_unique<Stream>(loop, std::move(socket), Stream::Hooks{take, end, {}, {}}));
        }};
    ASSERT_FALSE(listener.open(at));
    const auto ignore = [](std::span<const char>) {
    };
    const auto ignoreEnd = [](std::string_view) {
    };
    Stream first{loop, at, 1s, {ignore, ignoreEnd, {}, {}}};
    first.write("x");
    std::unique_ptr<Stream> second;
    loop.after(50ms, [&] {
        second = std::make_unique<Stream>(loop, at, 1s, Stream::Hooks{ignore, ignoreEnd, {}, {}});
        second->write("hello");
    });
    loop.after(150ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(received, "hello");
    EXPECT_EQ(closed.size(), 1U);
    EXPECT_EQ(failures, std::vector<std::string>{"malformed"});
}

} // namespace jasminelatch::event
