#include "peer_transport.hpp"

#include "peer_proof.hpp"

#include <jasminelatch/secret/fleet_secret.hpp>

#include <nlohmann/json.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <thread>
#include <utility>

namespace jasminelatch::net {

namespace internal {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Bytes = PeerTransport::Bytes;

constexpr long openTimeoutMilliseconds = 1000;
constexpr long reconnectDelayMilliseconds = 200;
constexpr std::size_t maxHandshakeFields = 4;
constexpr std::size_t nonceBytes = 16;

/*! @brief Message of the handshake; fields that a step does not use stay empty. */
struct Greeting {
    std::string address;
    std::string nonce;
    std::string proof;
};

auto encode(const Greeting &greeting) -> std::string
{
    const nlohmann::json json{{"address", greeting.address}, {"nonce", greeting.nonce}, {"proof", greeting.proof}};
    const auto bytes = nlohmann::json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

auto decode(const std::string &payload) -> std::optional<Greeting>
{
    try {
        const auto json = nlohmann::json::from_cbor(payload);
        if (!json.is_object() || json.size() > maxHandshakeFields) {
            return std::nullopt;
        }
        return Greeting{json.at("address").get<std::string>(),
                        json.at("nonce").get<std::string>(),
                        json.at("proof").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

auto splitAddress(const std::string &address) -> std::pair<std::string, std::uint16_t>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return {address, 0};
    }
    return {address.substr(0, colon), static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1))};
}

/*! @brief Connection that this node opened to a peer. */
struct Outgoing {
    Handle handle;
    PeerGreeting greeting;
    bool connecting{};
    bool proven{};
    std::deque<Bytes> queued;
    std::size_t queuedBytes{};
};

/*! @brief Connection that a peer opened to this node. */
struct Incoming {
    PeerGreeting greeting;
    bool greeted{};
    bool proven{};
    bool closed{};
};

} // namespace internal

class PeerTransport::Impl
{
public:
    Impl(Settings settings, Hooks hooks)
        : settings_{std::move(settings)}
        , secret_{settings_.secret}
        , hooks_{std::move(hooks)}
    {
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    ~Impl()
    {
        if (!thread_.joinable()) {
            return;
        }
        boost::asio::post(context_, [this] { closeAll(); });
        thread_.join();
    }

    auto start() -> bool
    {
        prepareServer();
        prepareClient();
        const auto [host, port] =
            internal::splitAddress(settings_.listen.empty() ? settings_.address : settings_.listen);
        websocketpp::lib::error_code error;
        server_.listen(host, std::to_string(port), error);
        if (error) {
            return false;
        }
        server_.start_accept(error);
        if (error) {
            return false;
        }
        thread_ = std::thread{[this] {
            context_.run();
        }};
        return true;
    }

    auto send(const std::string &to, Bytes message) -> void
    {
        boost::asio::post(context_,
                          [this, to, moved = std::move(message)]() mutable { sendNow(to, std::move(moved)); });
    }

    auto reopen(const std::string &to) -> void
    {
        boost::asio::post(context_, [this, to] {
            const auto position = outgoing_.find(to);
            if (position != outgoing_.end()) {
                abandon(position->second);
                connect(to, position->second);
            }
        });
    }

    [[nodiscard]] auto traffic() const -> Traffic
    {
        return {sentMessages_, sentBytes_, receivedMessages_, receivedBytes_};
    }

private:
    auto prepareServer() -> void
    {
        server_.clear_access_channels(websocketpp::log::alevel::all);
        server_.clear_error_channels(websocketpp::log::elevel::all);
        server_.init_asio(&context_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(settings_.maxMessage);
        server_.set_open_handshake_timeout(internal::openTimeoutMilliseconds);
        server_.set_tcp_post_init_handler([this](internal::Handle handle) { setNoDelay(server_, handle); });
        server_.set_open_handler([this](internal::Handle handle) { incoming_[handle]; });
        server_.set_close_handler([this](internal::Handle handle) { incoming_.erase(handle); });
        server_.set_fail_handler([this](internal::Handle handle) { incoming_.erase(handle); });
        server_.set_message_handler([this](internal::Handle handle, internal::Server::message_ptr message) {
            onIncoming(handle, message->get_payload());
        });
    }

    auto prepareClient() -> void
    {
        client_.clear_access_channels(websocketpp::log::alevel::all);
        client_.clear_error_channels(websocketpp::log::elevel::all);
        client_.init_asio(&context_);
        client_.set_max_message_size(settings_.maxMessage);
        client_.set_open_handshake_timeout(internal::openTimeoutMilliseconds);
        client_.set_tcp_post_init_handler([this](internal::Handle handle) { setNoDelay(client_, handle); });
    }

    template<typename Endpoint>
    auto setNoDelay(Endpoint &endpoint, internal::Handle handle) -> void
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error) {
            return;
        }
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    }

    auto sendNow(const std::string &to, Bytes message) -> void
    {
        auto &peer = outgoing_[to];
        if (peer.proven) {
            deliver(peer, message);
            return;
        }
        if (peer.queuedBytes + message.size() > settings_.maxQueued) {
            return;
        }
        peer.queuedBytes += message.size();
        peer.queued.push_back(std::move(message));
        if (!peer.connecting) {
            connect(to, peer);
        }
    }

    auto deliver(internal::Outgoing &peer, const Bytes &message) -> void
    {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(peer.handle, error);
        if (error || connection->get_buffered_amount() > settings_.maxQueued) {
            return;
        }
        sentMessages_ += 1;
        sentBytes_ += message.size();
        client_.send(peer.handle, message.data(), message.size(), websocketpp::frame::opcode::binary, error);
    }

    auto connect(const std::string &to, internal::Outgoing &peer) -> void
    {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_connection("ws://" + to + "/", error);
        if (error) {
            return;
        }
        peer.connecting = true;
        peer.proven = false;
        peer.greeting = PeerGreeting{settings_.address, to, secret::randomHex(internal::nonceBytes), {}};
        peer.handle = connection->get_handle();
        connection->set_open_handler([this, to](internal::Handle handle) { greet(to, handle); });
        connection->set_message_handler([this, to](internal::Handle handle, internal::Client::message_ptr message) {
            onAcceptorProof(to, handle, message->get_payload());
        });
        connection->set_close_handler([this, to](internal::Handle handle) { onOutgoingEnded(to, handle); });
        connection->set_fail_handler([this, to](internal::Handle handle) { onOutgoingEnded(to, handle); });
        client_.connect(connection);
    }

    [[nodiscard]] auto currentPeer(const std::string &to, const internal::Handle &handle) -> internal::Outgoing *
    {
        const auto position = outgoing_.find(to);
        if (position == outgoing_.end()) {
            return nullptr;
        }
        const auto same =
            !position->second.handle.owner_before(handle) && !handle.owner_before(position->second.handle);
        return same ? &position->second : nullptr;
    }

    auto greet(const std::string &to, const internal::Handle &handle) -> void
    {
        const auto *peer = currentPeer(to, handle);
        if (peer == nullptr) {
            return;
        }
        sendRaw(client_, handle, internal::encode({settings_.address, peer->greeting.openerNonce, {}}));
    }

    auto onAcceptorProof(const std::string &to, const internal::Handle &handle, const std::string &payload) -> void
    {
        auto *peer = currentPeer(to, handle);
        if (peer == nullptr || peer->proven) {
            return;
        }
        const auto reply = internal::decode(payload);
        if (!reply) {
            reject(client_, handle, "malformed handshake");
            return;
        }
        peer->greeting.acceptorNonce = reply->nonce;
        if (!secret_.verify(proofText(PeerSide::Acceptor, peer->greeting), reply->proof)) {
            reject(client_, handle, "wrong fleet secret");
            return;
        }
        sendRaw(client_,
                handle,
                internal::encode({{}, {}, secret_.authenticate(proofText(PeerSide::Opener, peer->greeting))}));
        peer->proven = true;
        peer->connecting = false;
        hooks_.opened(to);
        flush(*peer);
    }

    auto flush(internal::Outgoing &peer) -> void
    {
        for (const auto &message : peer.queued) {
            deliver(peer, message);
        }
        peer.queued.clear();
        peer.queuedBytes = 0;
    }

    auto onOutgoingEnded(const std::string &to, const internal::Handle &handle) -> void
    {
        auto *peer = currentPeer(to, handle);
        if (peer == nullptr) {
            return;
        }
        peer->proven = false;
        peer->queued.clear();
        peer->queuedBytes = 0;
        hooks_.closed(to);
        // Messages until then are queued and lost if the next attempt fails too.
        client_.set_timer(internal::reconnectDelayMilliseconds, [this, to](const websocketpp::lib::error_code &) {
            const auto position = outgoing_.find(to);
            if (position == outgoing_.end() || position->second.proven) {
                return;
            }
            position->second.connecting = false;
            if (!position->second.queued.empty() && !closing_) {
                connect(to, position->second);
            }
        });
    }

    auto abandon(internal::Outgoing &peer) -> void
    {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_con_from_hdl(peer.handle, error);
        if (!error) {
            connection->terminate(websocketpp::lib::error_code{});
        }
        peer.handle = {};
        peer.proven = false;
        peer.connecting = false;
    }

    auto onIncoming(const internal::Handle &handle, const std::string &payload) -> void
    {
        auto &peer = incoming_[handle];
        if (peer.closed) {
            return;
        }
        if (peer.proven) {
            receivedMessages_ += 1;
            receivedBytes_ += payload.size();
            hooks_.message(peer.greeting.opener, Bytes{payload.begin(), payload.end()});
            return;
        }
        const auto greeting = internal::decode(payload);
        if (!greeting) {
            reject(server_, handle, "malformed handshake");
            return;
        }
        peer.greeted ? checkOpener(handle, peer, *greeting) : answerGreeting(handle, peer, *greeting);
    }

    auto answerGreeting(const internal::Handle &handle, internal::Incoming &peer, const internal::Greeting &greeting)
        -> void
    {
        peer.greeting =
            PeerGreeting{greeting.address, settings_.address, greeting.nonce, secret::randomHex(internal::nonceBytes)};
        peer.greeted = true;
        const auto proof = secret_.authenticate(proofText(PeerSide::Acceptor, peer.greeting));
        sendRaw(server_, handle, internal::encode({settings_.address, peer.greeting.acceptorNonce, proof}));
    }

    auto checkOpener(const internal::Handle &handle, internal::Incoming &peer, const internal::Greeting &greeting)
        -> void
    {
        peer.proven = secret_.verify(proofText(PeerSide::Opener, peer.greeting), greeting.proof);
        if (!peer.proven) {
            reject(server_, handle, "wrong fleet secret");
            return;
        }
        closeOlder(handle, peer.greeting.opener);
    }

    /*! @brief Closes the former connections of an opener: nothing late may come over them. */
    auto closeOlder(const internal::Handle &newest, const std::string &opener) -> void
    {
        for (auto &[handle, peer] : incoming_) {
            const auto isNewest = !handle.owner_before(newest) && !newest.owner_before(handle);
            if (isNewest || !peer.proven || peer.greeting.opener != opener) {
                continue;
            }
            peer.closed = true;
            websocketpp::lib::error_code error;
            server_.close(handle, websocketpp::close::status::going_away, "replaced", error);
        }
    }

    template<typename Endpoint>
    auto sendRaw(Endpoint &endpoint, const internal::Handle &handle, const std::string &payload) -> void
    {
        websocketpp::lib::error_code error;
        endpoint.send(handle, payload, websocketpp::frame::opcode::binary, error);
    }

    template<typename Endpoint>
    auto reject(Endpoint &endpoint, const internal::Handle &handle, const char *reason) -> void
    {
        websocketpp::lib::error_code error;
        hooks_.rejected(reason);
        endpoint.close(handle, websocketpp::close::status::policy_violation, reason, error);
    }

    auto closeAll() -> void
    {
        closing_ = true;
        websocketpp::lib::error_code error;
        server_.stop_listening(error);
        outgoing_.clear();
        context_.stop();
    }

    Settings settings_;
    secret::FleetSecret secret_;
    Hooks hooks_;
    boost::asio::io_context context_;
    internal::Server server_;
    internal::Client client_;
    std::map<std::string, internal::Outgoing> outgoing_;
    std::map<internal::Handle, internal::Incoming, std::owner_less<internal::Handle>> incoming_;
    std::atomic<std::uint64_t> sentMessages_{};
    std::atomic<std::uint64_t> sentBytes_{};
    std::atomic<std::uint64_t> receivedMessages_{};
    std::atomic<std::uint64_t> receivedBytes_{};
    bool closing_{};
    std::thread thread_;
};

PeerTransport::PeerTransport(Settings settings, Hooks hooks)
    : impl_{std::make_unique<Impl>(std::move(settings), std::move(hooks))}
{
}

PeerTransport::~PeerTransport() = default;

auto PeerTransport::start() -> bool
{
    return impl_->start();
}

auto PeerTransport::send(const std::string &to, Bytes message) -> void
{
    impl_->send(to, std::move(message));
}

auto PeerTransport::reopen(const std::string &to) -> void
{
    impl_->reopen(to);
}

auto PeerTransport::traffic() const -> Traffic
{
    return impl_->traffic();
}

} // namespace jasminelatch::net
