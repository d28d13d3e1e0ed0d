#include "peer_link.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief `Retry-After` of a request whose node is unreachable or whose connection was lost. */
constexpr Duration unreachableRetryAfter = std::chrono::milliseconds{200};
/*! @brief Interval at which a link that stopped reading checks whether the byte budget has room. */
constexpr Duration roomCheckInterval = std::chrono::milliseconds{10};

auto lostReply(const bool sent) -> mesh::HopReply
{
    mesh::HopReply reply;
    reply.outcome = sent ? mesh::HopOutcome::Unknown : mesh::HopOutcome::NotRun;
    reply.reason = sent ? mesh::HopReason::Lost : mesh::HopReason::Unreachable;
    reply.reached = sent;
    reply.retryAfter = unreachableRetryAfter;
    return reply;
}

} // namespace internal

PeerLink::PeerLink(event::Loop &loop, event::Endpoint to, Settings settings, Hooks hooks)
    : loop_{&loop}
    , to_{std::move(to)}
    , settings_{settings}
    , hooks_{std::move(hooks)}
    , backoff_{settings.initialBackoff}
{
}

PeerLink::~PeerLink()
{
    loop_->cancel(roomTimer_);
}

auto PeerLink::send(const mesh::HopRequest &request, Finished finished) -> std::uint64_t
{
    const auto exchange = ++lastExchange_;
    if (!current_ && !connect()) {
        loop_->defer([finished = std::move(finished)] { finished(internal::lostReply(false)); });
        return exchange;
    }
    usedAt_ = loop_->now();
    current_->exchanges.emplace(exchange, Exchange{std::move(finished), request.idempotent});
    current_->stream->write(mesh::encodeFrameHead(mesh::RequestMessage{exchange, request}, loop_->now()));
    current_->stream->write(request.request.body.share());
    return exchange;
}

auto PeerLink::cancel(const std::uint64_t exchange) -> void
{
    if (auto *connection = findConnection(exchange)) {
        connection->exchanges.erase(exchange);
        connection->stream->write(mesh::encodeFrame(mesh::CancelMessage{exchange}, loop_->now()));
        closeIfFinished(*connection);
    }
}

auto PeerLink::withdraw(const std::uint64_t exchange) -> void
{
    if (auto *connection = findConnection(exchange)) {
        connection->stream->write(mesh::encodeFrame(mesh::WithdrawMessage{exchange}, loop_->now()));
    }
}

auto PeerLink::findConnection(const std::uint64_t exchange) -> Connection *
{
    if (current_ && current_->exchanges.contains(exchange)) {
        return current_.get();
    }
    const auto found =
        std::ranges::find_if(silent_, [&](const auto &connection) { return connection->exchanges.contains(exchange); });
    return found == silent_.end() ? nullptr : found->get();
}

auto PeerLink::sendReport(const std::string_view changes, const std::function<std::string_view()> &fullReport) -> bool
{
    closeIfSilent();
    if (!current_ && !connect()) {
        return false;
    }
    usedAt_ = loop_->now();
    sendExpectingAck(std::exchange(hasReported_, true) ? changes : fullReport(), true);
    return true;
}

auto PeerLink::checkLiveness() -> void
{
    closeIfSilent();
    const auto now = loop_->now();
    if (!current_) {
        return;
    }
    const auto &exchanges = current_->exchanges;
    if (exchanges.empty() && unanswered_.empty() && now - usedAt_ > settings_.idleTimeout) {
        close();
    } else if (!exchanges.empty() && unanswered_.empty()) {
        sendExpectingAck(mesh::encodeFrame(mesh::ProbeMessage{}, now), false);
    }
}

auto PeerLink::closeIfSilent() -> void
{
    if (!awaitingSince_ || loop_->now() - *awaitingSince_ <= settings_.silenceTimeout) {
        return;
    }
    auto silent = std::move(current_);
    Exchanges lost;
    for (auto exchange = silent->exchanges.begin(); exchange != silent->exchanges.end();) {
        const auto next = std::next(exchange);
        if (!isOpen_ || exchange->second.idempotent) {
            lost.insert(silent->exchanges.extract(exchange));
        }
        exchange = next;
    }
    if (!silent->exchanges.empty()) {
        silent_.push_back(std::move(silent));
    }
    failCurrent(std::move(lost));
}

auto PeerLink::sendExpectingAck(const std::string_view frame, const bool isReport) -> void
{
    const auto now = loop_->now();
    if (!awaitingSince_) {
        awaitingSince_ = now;
    }
    unanswered_.push_back({now, isReport});
    current_->stream->write(frame);
}

auto PeerLink::isAlive() const -> bool
{
    return isOpen_ && (!awaitingSince_ || loop_->now() - *awaitingSince_ < settings_.silenceTimeout);
}

auto PeerLink::failedAt() const -> std::optional<TimePoint>
{
    return failedAt_;
}

auto PeerLink::close() -> void
{
    if (current_) {
        current_->stream->close();
        loop_->destroyLater(std::move(current_));
    }
    isOpen_ = false;
    hasReported_ = false;
    awaitingSince_.reset();
    unanswered_.clear();
}

auto PeerLink::fail() -> void
{
    Exchanges lostWhileSilent;
    for (auto &connection : std::exchange(silent_, {})) {
        lostWhileSilent.merge(connection->exchanges);
        connection->stream->close();
        loop_->destroyLater(std::move(connection));
    }
    failCurrent(current_ ? std::move(current_->exchanges) : Exchanges{});
    finishLost(std::move(lostWhileSilent), true);
}

auto PeerLink::failCurrent(Exchanges lost) -> void
{
    const auto sent = isOpen_;
    close();
    failedAt_ = loop_->now();
    retryAt_ = loop_->now() + backoff_;
    backoff_ = std::min(backoff_ * 2, settings_.maxBackoff);
    hooks_.failed();
    finishLost(std::move(lost), sent);
}

auto PeerLink::finishLost(Exchanges exchanges, const bool sent) -> void
{
    for (auto &[id, exchange] : exchanges) {
        loop_->defer([finished = std::move(exchange.finished), sent] { finished(internal::lostReply(sent)); });
    }
}

auto PeerLink::connect() -> bool
{
    if (loop_->now() < retryAt_) {
        return false;
    }
    current_ = std::make_unique<Connection>(
        Connection{nullptr, mesh::FrameReader{mesh::maxFrameBytes, settings_.budget, mesh::BodyPolicy::Wait}, {}});
    auto &connection = *current_;
    connection.stream = std::make_unique<event::Stream>(
        *loop_,
        to_,
        settings_.userTimeout,
        event::Stream::Hooks{[this, &connection](const std::span<const char> bytes) { receive(connection, bytes); },
                             [this, &connection](std::string_view) { handleClosed(connection); },
                             [this] { handleOpened(); },
                             {}});
    awaitingSince_ = loop_->now();
    return true;
}

auto PeerLink::handleClosed(Connection &connection) -> void
{
    if (&connection == current_.get()) {
        failCurrent(std::move(connection.exchanges));
        return;
    }
    finishLost(std::exchange(connection.exchanges, {}), true);
    closeIfFinished(connection);
}

auto PeerLink::closeIfFinished(const Connection &connection) -> void
{
    if (!connection.exchanges.empty()) {
        return;
    }
    const auto found = std::ranges::find(silent_, &connection, &std::unique_ptr<Connection>::get);
    if (found != silent_.end()) {
        (*found)->stream->closeWhenDrained();
        loop_->destroyLater(std::move(*found));
        silent_.erase(found);
    }
}

auto PeerLink::handleOpened() -> void
{
    isOpen_ = true;
    failedAt_.reset();
    backoff_ = settings_.initialBackoff;
}

auto PeerLink::receive(Connection &connection, const std::span<const char> bytes) -> void
{
    const auto isCurrent = &connection == current_.get();
    if (isCurrent) {
        awaitingSince_.reset();
    }
    const auto isValid = connection.reader.feed(
        bytes, loop_->now(), [&](mesh::PeerMessage message) { return handleMessage(connection, std::move(message)); });
    const auto isWaiting = isValid && connection.reader.waitingMessage() != nullptr;
    connection.stream->pauseReading(isWaiting);
    if (isWaiting) {
        scheduleRoomCheck();
    }
    if (!isValid) {
        connection.stream->close();
        handleClosed(connection);
    } else if (!isCurrent) {
        closeIfFinished(connection);
    }
}

auto PeerLink::scheduleRoomCheck() -> void
{
    if (roomTimer_ == 0) {
        roomTimer_ = loop_->after(internal::roomCheckInterval, [this] {
            roomTimer_ = 0;
            checkRoom();
        });
    }
}

auto PeerLink::checkRoom() -> void
{
    std::vector<Connection *> waiting;
    if (current_ && current_->reader.waitingMessage() != nullptr) {
        waiting.push_back(current_.get());
    }
    for (const auto &connection : silent_) {
        if (connection->reader.waitingMessage() != nullptr) {
            waiting.push_back(connection.get());
        }
    }
    for (auto *connection : waiting) {
        // Handling the replies of one connection may have closed another one.
        const auto isKnown = connection == current_.get()
                          || std::ranges::find(silent_, connection, &std::unique_ptr<Connection>::get) != silent_.end();
        if (!isKnown) {
            continue;
        }
        const auto *reply = std::get_if<mesh::ReplyMessage>(connection->reader.waitingMessage());
        if (reply != nullptr && !connection->exchanges.contains(reply->exchange)) {
            connection->reader.skipWaiting();
        }
        receive(*connection, {});
    }
}

auto PeerLink::handleMessage(Connection &connection, mesh::PeerMessage message) -> bool
{
    if (auto *reply = std::get_if<mesh::ReplyMessage>(&message)) {
        const auto found = connection.exchanges.find(reply->exchange);
        if (found != connection.exchanges.end()) {
            const auto finished = std::move(found->second.finished);
            connection.exchanges.erase(found);
            finished(std::move(reply->reply));
        }
        return true;
    }
    if (&connection != current_.get()) {
        // On a silent connection only replies matter; reports and configurations on it are outdated.
        return true;
    }
    if (const auto *received = std::get_if<mesh::ReportAck>(&message)) {
        handleAck(*received);
        return true;
    }
    if (const auto *report = std::get_if<mesh::ReportMessage>(&message)) {
        hooks_.reported(report->report);
        return true;
    }
    if (const auto *configuration = std::get_if<mesh::ConfigurationMessage>(&message)) {
        hooks_.configured(*configuration);
        return true;
    }
    return false;
}

auto PeerLink::handleAck(const mesh::ReportAck &message) -> void
{
    if (unanswered_.empty()) {
        return;
    }
    // The age counts from the send time of the message, not from the receipt of its acknowledgement: the peer wrote the
    // acknowledgement after that, whatever the network delay, so that the confirmation never seems newer than it is.
    const auto sent = unanswered_.front();
    unanswered_.pop_front();
    if (message.age && message.version) {
        hooks_.confirmed({*message.version, sent.sentAt - *message.age, message.era});
    }
    if (sent.isReport) {
        hooks_.acknowledged();
    }
}

} // namespace jasminelatch::sidecar
