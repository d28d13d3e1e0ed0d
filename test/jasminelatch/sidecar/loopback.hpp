#ifndef JASMINELATCH_TEST_SIDECAR_LOOPBACK_HPP
#define JASMINELATCH_TEST_SIDECAR_LOOPBACK_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>

#include <support/free_port.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

/*! @brief Event loop on the real clock that a test runs until a condition holds. */
struct Loopback {
    Clock clock;
    event::Loop loop{clock};

    /*! @brief Returns an unused address on the loopback interface. */
    static auto freeEndpoint() -> event::Endpoint { return {"127.0.0.1", test::allocatePort()}; }

    /*! @brief Runs the loop until a condition holds; returns false if it does not hold in time. */
    auto runUntil(const std::function<bool()> &done, const Duration longest = std::chrono::seconds{5}) -> bool
    {
        const auto end = clock.now() + longest;
        while (!done() && clock.now() < end) {
            loop.context().restart();
            loop.guard([this] { loop.context().run_for(std::chrono::milliseconds{2}); });
        }
        return done();
    }

    /*! @brief Runs the loop for a fixed time. */
    auto runFor(const Duration time) -> void
    {
        runUntil([] { return false; }, time);
    }
};

/*! @brief Event loop that another one polls, and that can be suspended. */
struct SuspendableLoopback: Loopback {
    /*! @brief Polls this loop whenever the other one runs, unless it is suspended. */
    auto runWith(Loopback &loopback) -> void
    {
        if (!isSuspended) {
            loop.context().restart();
            loop.context().poll();
        }
        loopback.loop.after(std::chrono::milliseconds{2}, [this, &loopback] { runWith(loopback); });
    }

    bool isSuspended{};
};

/*! @brief TCP server that records received bytes and lets a test write to its streams. */
class RawServer
{
public:
    explicit RawServer(Loopback &loopback, event::Endpoint on = Loopback::freeEndpoint())
        : endpoint{std::move(on)}
        , listener_{loopback.loop, [this, &loopback](boost::asio::ip::tcp::socket socket) {
                        streams.push_back(std::make_unique<event::Stream>(
                            loopback.loop,
                            std::move(socket),
                            event::Stream::Hooks{[this](const std::span<const char> bytes) {
                                                     received.append(bytes.data(), bytes.size());
                                                 },
                                                 [this](std::string_view) { ++closed; },
                                                 {},
                                                 {}}));
                    }}
    {
        if (const auto error = listener_.open(endpoint)) {
            throw std::runtime_error{*error};
        }
    }

    event::Endpoint endpoint;
    std::vector<std::unique_ptr<event::Stream>> streams;
    std::string received;
    int closed{};

private:
    event::Listener listener_;
};

/*! @brief TCP client that records received bytes. */
struct RawClient {
    RawClient(Loopback &loopback, const event::Endpoint &to)
        : stream{loopback.loop,
                 to,
                 std::chrono::seconds{2},
                 {[this](const std::span<const char> bytes) { received.append(bytes.data(), bytes.size()); },
                  [this](std::string_view) { closed = true; },
                  {},
                  {}}}
    {
    }

    std::string received;
    bool closed{};
    event::Stream stream;
};

} // namespace jasminelatch::sidecar

#endif
