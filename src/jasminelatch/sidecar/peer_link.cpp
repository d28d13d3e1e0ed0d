#include "peer_link.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Time after which a request that found its node unreachable may come back. */
constexpr Duration unreachableRetry = std::chrono::milliseconds{200};

auto lostReply(const bool sent) -> mesh::HopReply
{
    mesh::HopReply reply;
    reply.outcome = sent ? mesh::HopOutcome::Unknown : mesh::HopOutcome::NotRun;
    reply.reason = sent ? mesh::HopReason::Lost : mesh::HopReason::Unreachable;
    reply.reached = sent;
    reply.retryAfter = unreachableRetry;
    return reply;
}

} // namespace internal

PeerLink::PeerLink(event::Loop &loop, event::Endpoint to, Settings settings, Hooks hooks)
    : loop_{&loop}
    , to_{std::move(to)}
    , settings_{settings}
    , hooks_{std::move(hooks)}
    , pause_{settings.initialBackoff}
{
}

PeerLink::~PeerLink() = default;

auto PeerLink::send(const mesh::HopRequest &request, Finished finished) -> std::uint64_t
{
    const auto exchange = ++lastExchange_;
    if (!current_ && !connect()) {
        loop_->defer([finished = std::move(finished)] { finished(internal::lostReply(false)); });
        return exchange;
    }
    usedAt_ = loop_->now();
    current_->exchanges.emplace(exchange, Exchange{std::move(finished), request.idempotent});
    current_->stream->write(mesh::encodeFrame(mesh::RequestMessage{exchange, request}, loop_->now()));
    return exchange;
}

auto PeerLink::cancel(const std::uint64_t exchange) -> void
{
    const auto frame = mesh::encodeFrame(mesh::CancelMessage{exchange}, loop_->now());
    if (current_ && current_->exchanges.erase(exchange) > 0) {
        current_->stream->write(frame);
        return;
    }
    for (const auto &connection : quiet_) {
        if (connection->exchanges.erase(exchange) > 0) {
            connection->stream->write(frame);
            dropQuiet(*connection);
            return;
        }
    }
}

auto PeerLink::sendReport(const std::string_view changes, const std::function<std::string_view()> &whole) -> bool
{
    endSilence();
    if (!current_ && !connect()) {
        return false;
    }
    usedAt_ = loop_->now();
    ask(std::exchange(hasReported_, true) ? changes : whole(), true);
    return true;
}

auto PeerLink::checkLiveness() -> void
{
    endSilence();
    const auto now = loop_->now();
    if (!current_) {
        return;
    }
    const auto &exchanges = current_->exchanges;
    if (exchanges.empty() && asked_.empty() && now - usedAt_ > settings_.idleTimeout) {
        close();
    } else if (!exchanges.empty() && asked_.empty()) {
        ask(mesh::encodeFrame(mesh::ProbeMessage{}, now), false);
    }
}

auto PeerLink::endSilence() -> void
{
    if (!awaitingSince_ || loop_->now() - *awaitingSince_ <= settings_.silenceTimeout) {
        return;
    }
    auto silent = std::move(current_);
    Exchanges lost;
    for (auto exchange = silent->exchanges.begin(); exchange != silent->exchanges.end();) {
        const auto next = std::next(exchange);
        if (!open_ || exchange->second.idempotent) {
            lost.insert(silent->exchanges.extract(exchange));
        }
        exchange = next;
    }
    if (!silent->exchanges.empty()) {
        quiet_.push_back(std::move(silent));
    }
    loseCurrent(std::move(lost));
}

auto PeerLink::ask(const std::string_view frame, const bool isReport) -> void
{
    const auto now = loop_->now();
    if (!awaitingSince_) {
        awaitingSince_ = now;
    }
    asked_.push_back({now, isReport});
    current_->stream->write(frame);
}

auto PeerLink::isAlive() const -> bool
{
    return open_ && (!awaitingSince_ || loop_->now() - *awaitingSince_ < settings_.silenceTimeout);
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
    open_ = false;
    hasReported_ = false;
    awaitingSince_.reset();
    asked_.clear();
}

auto PeerLink::fail() -> void
{
    Exchanges lostQuietly;
    for (auto &connection : std::exchange(quiet_, {})) {
        lostQuietly.merge(connection->exchanges);
        connection->stream->close();
        loop_->destroyLater(std::move(connection));
    }
    loseCurrent(current_ ? std::move(current_->exchanges) : Exchanges{});
    endAll(std::move(lostQuietly), true);
}

auto PeerLink::loseCurrent(Exchanges lost) -> void
{
    const auto sent = open_;
    close();
    failedAt_ = loop_->now();
    retryAt_ = loop_->now() + pause_;
    pause_ = std::min(pause_ * 2, settings_.maxBackoff);
    hooks_.failed();
    endAll(std::move(lost), sent);
}

auto PeerLink::endAll(Exchanges exchanges, const bool sent) -> void
{
    for (auto &[name, exchange] : exchanges) {
        loop_->defer([finished = std::move(exchange.finished), sent] { finished(internal::lostReply(sent)); });
    }
}

auto PeerLink::connect() -> bool
{
    if (loop_->now() < retryAt_) {
        return false;
    }
    current_ = std::make_unique<Connection>();
    auto &connection = *current_;
    connection.stream = std::make_unique<event::Stream>(
        *loop_,
        to_,
        settings_.userTimeout,
        event::Stream::Hooks{[this, &connection](const std::span<const char> bytes) { receive(connection, bytes); },
                             [this, &connection](std::string_view) { closed(connection); },
                             [this] { opened(); },
                             {}});
    awaitingSince_ = loop_->now();
    return true;
}

auto PeerLink::closed(Connection &connection) -> void
{
    if (&connection == current_.get()) {
        loseCurrent(std::move(connection.exchanges));
        return;
    }
    endAll(std::exchange(connection.exchanges, {}), true);
    dropQuiet(connection);
}

auto PeerLink::dropQuiet(const Connection &connection) -> void
{
    if (!connection.exchanges.empty()) {
        return;
    }
    const auto found = std::ranges::find(quiet_, &connection, &std::unique_ptr<Connection>::get);
    if (found != quiet_.end()) {
        (*found)->stream->closeWhenDrained();
        loop_->destroyLater(std::move(*found));
        quiet_.erase(found);
    }
}

auto PeerLink::opened() -> void
{
    open_ = true;
    failedAt_.reset();
    pause_ = settings_.initialBackoff;
}

auto PeerLink::receive(Connection &connection, const std::span<const char> bytes) -> void
{
    const auto isCurrent = &connection == current_.get();
    if (isCurrent) {
        awaitingSince_.reset();
    }
    const auto good = connection.reader.feed(
        bytes, loop_->now(), [&](mesh::PeerMessage message) { return take(connection, std::move(message)); });
    if (!good) {
        connection.stream->close();
        closed(connection);
    } else if (!isCurrent) {
        dropQuiet(connection);
    }
}

auto PeerLink::take(Connection &connection, mesh::PeerMessage message) -> bool
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
        // Only replies are awaited there; the rest is old.
        return true;
    }
    if (const auto *received = std::get_if<mesh::ReportAck>(&message)) {
        answered(*received);
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

auto PeerLink::answered(const mesh::ReportAck &message) -> void
{
    if (asked_.empty()) {
        return;
    }
    // The peer wrote its answer after the message was sent, however long both were on the way.
    const auto asked = asked_.front();
    asked_.pop_front();
    if (message.age) {
        hooks_.confirmed({message.revision, asked.at - *message.age});
    }
    if (asked.isReport) {
        hooks_.acknowledged();
    }
}

} // namespace jasminelatch::sidecar
