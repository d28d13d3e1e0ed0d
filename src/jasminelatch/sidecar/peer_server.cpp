#include "peer_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Time after its last report for which a node counts as reporting to this one. */
constexpr Duration reporterTimeout = std::chrono::seconds{2};
/*! @brief Acknowledgements and reports, in bytes, above which a peer must read before it is read from. */
constexpr std::size_t maxUnreadBytes = std::size_t{256} << 10;
/*! @brief Interval at which peers are checked for progress. */
constexpr Duration sweepInterval = std::chrono::seconds{1};
/*! @brief `Retry-After` of requests that exceed the byte budget. */
constexpr Duration memoryRetryAfter = std::chrono::seconds{1};

} // namespace internal

PeerServer::PeerServer(
    event::Loop &loop, LocalInstance &instance, Settings settings, Reported reported, Acknowledge acknowledge)
    : loop_{&loop}
    , instance_{&instance}
    , settings_{settings}
    , reported_{std::move(reported)}
    , acknowledge_{std::move(acknowledge)}
    , listener_{loop, [this](boost::asio::ip::tcp::socket socket) {
                    handleAccepted(std::move(socket));
                }}
{
}

PeerServer::~PeerServer()
{
    loop_->cancel(sweepTimer_);
}

auto PeerServer::open(const event::Endpoint &on) -> std::optional<std::string>
{
    scheduleSweep();
    return listener_.open(on);
}

auto PeerServer::broadcast(const std::string_view frame) -> void
{
    const auto now = loop_->now();
    for (auto &[id, session] : sessions_) {
        if (session.reportedAt && now - *session.reportedAt < internal::reporterTimeout) {
            writeOwn(session, frame);
        }
    }
}

auto PeerServer::handleAccepted(boost::asio::ip::tcp::socket socket) -> void
{
    if (sessions_.size() >= settings_.maxConnections && !makeRoom()) {
        return;
    }
    const auto id = ++lastSession_;
    auto stream = std::make_unique<event::Stream>(
        *loop_,
        std::move(socket),
        event::Stream::Hooks{[this, id](const std::span<const char> bytes) { receive(id, bytes); },
                             [this, id](std::string_view) { end(id); },
                             {},
                             [this, id] {
                                 handleDrained(id);
                             }});
    Session session{std::move(stream),
                    mesh::FrameReader{mesh::maxFrameBytes, settings_.budget},
                    {},
                    {},
                    mesh::ByteReservation{settings_.budget}};
    session.receivedAt = loop_->now();
    session.progressAt = session.receivedAt;
    sessions_.emplace(id, std::move(session));
}

auto PeerServer::makeRoom() -> bool
{
    const auto found = std::ranges::find_if(sessions_, [](const auto &entry) { return !entry.second.hasSentMessage; });
    if (found == sessions_.end()) {
        return false;
    }
    end(found->first);
    return true;
}

auto PeerServer::scheduleSweep() -> void
{
    sweepTimer_ = loop_->after(internal::sweepInterval, [this] {
        sweep();
        scheduleSweep();
    });
}

auto PeerServer::sweep() -> void
{
    const auto now = loop_->now();
    std::vector<std::uint64_t> stalled;
    for (auto &[id, session] : sessions_) {
        const auto unacknowledged = session.stream->unacknowledgedBytes();
        if (unacknowledged == 0 || unacknowledged < session.unacknowledgedBytes) {
            session.progressAt = now;
        }
        session.unacknowledgedBytes = unacknowledged;
        const auto owesBytes = !session.hasSentMessage || session.reader.isWithinFrame();
        if (now - session.progressAt > settings_.progressTimeout
            || (owesBytes && now - session.receivedAt > settings_.progressTimeout)) {
            stalled.push_back(id);
        }
    }
    for (const auto id : stalled) {
        end(id);
    }
}

auto PeerServer::writeOwn(Session &session, const std::string_view bytes) -> void
{
    session.unreadBytes += bytes.size();
    const auto hasRoom = session.unread.resize(session.unreadBytes);
    session.stream->write(bytes);
    if (!hasRoom || session.unreadBytes > internal::maxUnreadBytes) {
        session.stream->pauseReading(true);
    }
}

auto PeerServer::handleDrained(const std::uint64_t session) -> void
{
    auto &peer = sessions_.at(session);
    peer.unreadBytes = 0;
    peer.unread.release();
    peer.stream->pauseReading(false);
}

auto PeerServer::receive(const std::uint64_t session, const std::span<const char> bytes) -> void
{
    auto &peer = sessions_.at(session);
    peer.receivedAt = loop_->now();
    const auto isValid = peer.reader.feed(bytes, loop_->now(), [this, session](mesh::PeerMessage message) {
        return handleMessage(session, std::move(message));
    });
    if (!isValid) {
        end(session);
    }
}

auto PeerServer::handleMessage(const std::uint64_t session, mesh::PeerMessage &&message) -> bool
{
    auto &peer = sessions_.at(session);
    peer.hasSentMessage = true;
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
        writeOwn(peer, mesh::encodeFrame(acknowledge_(), now));
        writeOwn(peer, reported_(report->report));
        return true;
    }
    if (std::holds_alternative<mesh::ProbeMessage>(message)) {
        writeOwn(peer, mesh::encodeFrame(acknowledge_(), loop_->now()));
        return true;
    }
    return false;
}

auto PeerServer::start(const std::uint64_t session, mesh::RequestMessage message) -> void
{
    const auto exchange = message.exchange;
    if (message.isBodyMissing) {
        refuse(session, exchange);
        return;
    }
    const auto idempotent = message.request.idempotent;
    const auto requestId =
        instance_->submit(std::move(message.request), [this, session, exchange](mesh::HopReply reply) {
            handleFinished(session, exchange, std::move(reply));
        });
    sessions_.at(session).exchanges.emplace(exchange, Exchange{requestId, idempotent});
}

auto PeerServer::refuse(const std::uint64_t session, const std::uint64_t exchange) -> void
{
    mesh::HopReply reply;
    reply.outcome = mesh::HopOutcome::NotRun;
    reply.reason = mesh::HopReason::QueueFull;
    reply.retryAfter = internal::memoryRetryAfter;
    reply.load = instance_->load();
    writeOwn(sessions_.at(session), mesh::encodeFrame(mesh::ReplyMessage{exchange, std::move(reply)}, loop_->now()));
}

auto PeerServer::handleFinished(const std::uint64_t session, const std::uint64_t exchange, mesh::HopReply reply) -> void
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || found->second.exchanges.erase(exchange) == 0) {
        return;
    }
    const auto body = reply.answer.body;
    found->second.stream->write(mesh::encodeFrameHead(mesh::ReplyMessage{exchange, std::move(reply)}, loop_->now()));
    found->second.stream->write(body.share());
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
