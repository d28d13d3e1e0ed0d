#include <jasminelatch/net/peer_transport.hpp>

#include <gtest/gtest.h>
#include <support/free_port.hpp>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::net {

namespace {

constexpr auto patience = 20s;

/*! @brief A transport and what it received. */
class Peer
{
public:
    explicit Peer(const std::string &secret)
        : port_{test::freePort()}
    {
        PeerTransport::Settings settings;
        settings.address = address();
        settings.secret = secret;
        PeerTransport::Hooks hooks;
        hooks.message = [this](const std::string &from, const PeerTransport::Bytes &message) {
            note(received_, from + ">" + std::string{message.begin(), message.end()});
        };
        hooks.rejected = [this](const std::string &reason) {
            note(rejected_, reason);
        };
        hooks.opened = [](const std::string &) {
        };
        hooks.closed = [](const std::string &) {
        };
        transport_ = std::make_unique<PeerTransport>(settings, hooks);
        started_ = transport_->start();
    }

    [[nodiscard]] auto address() const -> std::string { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }
    [[nodiscard]] auto started() const -> bool { return started_; }
    [[nodiscard]] auto transport() -> PeerTransport & { return *transport_; }

    auto send(const Peer &to, const std::string &text) -> void
    {
        transport_->send(to.address(), {text.begin(), text.end()});
    }

    [[nodiscard]] auto waitForReceived(const std::size_t count) -> std::vector<std::string>
    {
        return waitFor(received_, count);
    }

    [[nodiscard]] auto waitForRejected() -> std::vector<std::string> { return waitFor(rejected_, 1); }

private:
    auto note(std::vector<std::string> &list, std::string text) -> void
    {
        const std::lock_guard lock{mutex_};
        list.push_back(std::move(text));
        changed_.notify_all();
    }

    auto waitFor(const std::vector<std::string> &list, const std::size_t count) -> std::vector<std::string>
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, patience, [&] { return list.size() >= count; });
        return list;
    }

    std::uint16_t port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> received_;
    std::vector<std::string> rejected_;
    std::unique_ptr<PeerTransport> transport_;
    bool started_{};
};

} // namespace

TEST(PeerTransport, DeliversInOrderBetweenNodesOfOneSecret)
{
    Peer left{"secret"};
    Peer right{"secret"};
    ASSERT_TRUE(left.started() && right.started());
    left.send(right, "1");
    left.send(right, "2");
    EXPECT_EQ(right.waitForReceived(2), (std::vector{left.address() + ">1", left.address() + ">2"}));
    right.send(left, "3");
    EXPECT_EQ(left.waitForReceived(1), std::vector{right.address() + ">3"});
    EXPECT_EQ(left.transport().traffic().sentMessages, 2U);
}

TEST(PeerTransport, RejectsAWrongSecretOnBothSides)
{
    Peer left{"secret"};
    Peer right{"other"};
    ASSERT_TRUE(left.started() && right.started());
    left.send(right, "1");
    EXPECT_EQ(left.waitForRejected(), std::vector<std::string>{"wrong fleet secret"});
    Peer third{"secret"};
    third.send(left, "2");
    EXPECT_EQ(left.waitForReceived(1), std::vector{third.address() + ">2"});
    EXPECT_EQ(right.transport().traffic().receivedMessages, 0U);
}

TEST(PeerTransport, GoesOnAfterRubbishAndAfterReopening)
{
    Peer left{"secret"};
    Peer right{"secret"};
    ASSERT_TRUE(left.started() && right.started());
    const auto socket = test::connectTo(right.port());
    const std::string rubbish(5000, '\x16');
    EXPECT_GT(::send(socket, rubbish.data(), rubbish.size(), MSG_NOSIGNAL), 0);
    left.send(right, "1");
    EXPECT_EQ(right.waitForReceived(1).size(), 1U);
    left.transport().reopen(right.address());
    left.send(right, "2");
    EXPECT_EQ(right.waitForReceived(2).back(), left.address() + ">2");
    ::close(socket);
}

} // namespace jasminelatch::net
