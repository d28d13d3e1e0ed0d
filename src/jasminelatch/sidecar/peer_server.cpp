#include "peer_server.hpp"

#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Time after its last report for which a node counts as reporting to this one. */
constexpr Duration reporterTimeout = std::chrono::seconds{2};

} // namespace internal

PeerServer::PeerServer(event::Loop &loop, LocalInstance &instance, Reported reported, Acknowledge acknowledge)
    : loop_{&loop}
    , instance_{&instance}
    , reported_{std::move(reported)}
    , acknowledge_{std::move(acknowledge)}
    , listener_{loop, [this](boost::asio::ip::tcp::socket socket) {
                    handleAccepted(std::move(socket));
                }}
{
}

PeerServer::~PeerServer() = default;

auto PeerServer::open(const event::Endpoint &on) -> std::optional<std::string>
{
    return listener_.open(on);
}

auto PeerServer::broadcast(const std::string_view frame) -> void
{
    const auto now = loop_->now();
    for (auto &[id, session] : sessions_) {
        if (session.reportedAt && now - *session.reportedAt < internal::reporterTimeout) {
            session.stream->write(frame);
        }
    }
}

auto PeerServer::handleAccepted(boost::asio::ip::tcp::socket socket) -> void
{
    const auto id = ++lastSession_;
    auto stream = std::make_unique<event::Stream>(
        *loop_,
        std::move(socket),
        event::Stream::Hooks{[this, id](const std::span<const char> bytes) { receive(id, bytes); },
                             [this, id](std::string_view) { end(id); },
                             {},
                             {}});
    sessions_.emplace(id, Session{std::move(stream), mesh::FrameReader{mesh::maxFrameBytes}, {}, {}});
}

auto PeerServer::receive(const std::uint64_t session, const std::span<const char> bytes) -> void
{
    auto &reader = sessions_.at(session).reader;
    const auto isValid = reader.feed(bytes, loop_->now(), [this, session](mesh::PeerMessage message) {
        return handleMessage(session, std::move(message));
    });
    if (!isValid) {
        end(session);
    }
}

auto PeerServer::handleMessage(const std::uint64_t session, mesh::PeerMessage &&message) -> bool
{
    auto &peer = sessions_.at(session);
    if (auto *request = std::get_if<mesh::RequestMessage>(&message)) {
        start(session, std::move(*request));
        return true;
    }
    if (const auto *cancel = std::get_if<mesh::CancelMessage>(&message)) {
        if (const auto found = peer.exchanges.find(cancel->exchange); found != peer.exchanges.end()) {
            instance_->cancel(found->second.requestId);
            peer.exchanges.erase(found);
        }
        return true;
    }
    if (const auto *withdrawal = std::get_if<mesh::WithdrawMessage>(&message)) {
        if (const auto found = peer.exchanges.find(withdrawal->exchange); found != peer.exchanges.end()) {
            instance_->withdraw(found->second.requestId);
        }
        return true;
    }
    if (const auto *report = std::get_if<mesh::ReportMessage>(&message)) {
        const auto now = loop_->now();
        const auto isOwn = report->report.kind == mesh::ReportKind::Own;
        peer.reportedAt = isOwn ? std::optional{now} : std::nullopt;
        peer.stream->write(mesh::encodeFrame(acknowledge_(), now));
        peer.stream->write(reported_(report->report));
        return true;
    }
    if (std::holds_alternative<mesh::ProbeMessage>(message)) {
        peer.stream->write(mesh::encodeFrame(acknowledge_(), loop_->now()));
        return true;
    }
    return false;
}

auto PeerServer::start(const std::uint64_t session, mesh::RequestMessage message) -> void
{
    const auto exchange = message.exchange;
    const auto idempotent = message.request.idempotent;
    const auto requestId =
        instance_->submit(std::move(message.request), [this, session, exchange](mesh::HopReply reply) {
            handleFinished(session, exchange, std::move(reply));
        });
    sessions_.at(session).exchanges.emplace(exchange, Exchange{requestId, idempotent});
}

auto PeerServer::handleFinished(const std::uint64_t session, const std::uint64_t exchange, mesh::HopReply reply) -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || found->second.exchanges.erase(exchange) == 0) {
        return;
    }
    found->second.stream->write(mesh::encodeFrame(mesh::ReplyMessage{exchange, std::move(reply)}, loop_->now()));
}

auto PeerServer::end(const std::uint64_t session) -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    const auto exchanges = std::move(found->second.exchanges);
    sessions_.erase(found);
    for (const auto &[exchange, pending] : exchanges) {
        // Non-idempotent requests that are running run on: cancelling one midway would help no client.
        if (pending.idempotent) {
            instance_->cancel(pending.requestId);
        } else {
            instance_->withdraw(pending.requestId);
        }
    }
}

} // namespace jasminelatch::sidecar
