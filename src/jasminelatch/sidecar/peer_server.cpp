#include "peer_server.hpp"

#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Time after its last report for which a node counts as one that reports here. */
constexpr Duration reporterTime = std::chrono::seconds{2};

} // namespace internal

PeerServer::PeerServer(event::Loop &loop, LocalInstance &instance, Reported reported, Confirmation confirmation)
    : loop_{&loop}
    , instance_{&instance}
    , reported_{std::move(reported)}
    , confirmation_{std::move(confirmation)}
    , listener_{loop, [this](boost::asio::ip::tcp::socket socket) {
                    accepted(std::move(socket));
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
    for (auto &[name, session] : sessions_) {
        if (session.reportedAt && now - *session.reportedAt < internal::reporterTime) {
            session.stream->write(frame);
        }
    }
}

auto PeerServer::accepted(boost::asio::ip::tcp::socket socket) -> void
{
    const auto name = ++lastSession_;
    auto stream = std::make_unique<event::Stream>(
        *loop_,
        std::move(socket),
        event::Stream::Hooks{[this, name](const std::span<const char> bytes) { receive(name, bytes); },
                             [this, name](std::string_view) { end(name); },
                             {},
                             {}});
    sessions_.emplace(name, Session{std::move(stream), mesh::FrameReader{mesh::maxFrameBytes}, {}, {}});
}

auto PeerServer::receive(const std::uint64_t session, const std::span<const char> bytes) -> void
{
    auto &reader = sessions_.at(session).reader;
    const auto good = reader.feed(
        bytes, loop_->now(), [this, session](mesh::PeerMessage message) { return take(session, std::move(message)); });
    if (!good) {
        end(session);
    }
}

auto PeerServer::take(const std::uint64_t session, mesh::PeerMessage message) -> bool
{
    auto &known = sessions_.at(session);
    if (auto *request = std::get_if<mesh::RequestMessage>(&message)) {
        start(session, std::move(*request));
        return true;
    }
    if (const auto *cancel = std::get_if<mesh::CancelMessage>(&message)) {
        if (const auto found = known.exchanges.find(cancel->exchange); found != known.exchanges.end()) {
            instance_->cancel(found->second.name);
            known.exchanges.erase(found);
        }
        return true;
    }
    if (const auto *report = std::get_if<mesh::ReportMessage>(&message)) {
        const auto now = loop_->now();
        const auto isOwn = report->report.kind == mesh::ReportKind::Own;
        known.reportedAt = isOwn ? std::optional{now} : std::nullopt;
        known.stream->write(mesh::encodeFrame(receipt(), now));
        known.stream->write(reported_(report->report));
        return true;
    }
    if (std::holds_alternative<mesh::ProbeMessage>(message)) {
        known.stream->write(mesh::encodeFrame(receipt(), loop_->now()));
        return true;
    }
    return false;
}

auto PeerServer::receipt() const -> mesh::ReportAck
{
    const auto word = confirmation_();
    return word ? mesh::ReportAck{word->revision, loop_->now() - word->at} : mesh::ReportAck{};
}

auto PeerServer::start(const std::uint64_t session, mesh::RequestMessage message) -> void
{
    const auto exchange = message.exchange;
    const auto idempotent = message.request.idempotent;
    const auto name = instance_->submit(std::move(message.request), [this, session, exchange](mesh::HopReply reply) {
        finished(session, exchange, std::move(reply));
    });
    sessions_.at(session).exchanges.emplace(exchange, Exchange{name, idempotent});
}

auto PeerServer::finished(const std::uint64_t session, const std::uint64_t exchange, mesh::HopReply reply) -> void
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
    for (const auto &[exchange, work] : exchanges) {
        // What must not run twice is left to finish: ending it midway would help nobody.
        if (work.idempotent) {
            instance_->cancel(work.name);
        }
    }
}

} // namespace jasminelatch::sidecar
