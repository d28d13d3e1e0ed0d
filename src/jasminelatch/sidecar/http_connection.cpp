#include "http_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jasminelatch::sidecar {

namespace http = boost::beast::http;

namespace internal {

/*! @brief Largest response header in bytes. */
constexpr std::uint32_t maxAnswerHeaderBytes = 32768;

/*! @brief Largest number of unparsed bytes, as of an unfinished line, chunk extension or trailer. */
constexpr std::size_t maxUnreadBytes = 65536;
/*! @brief Largest number of messages skipped before the response: interim ones and late responses to others. */
constexpr std::size_t maxSkippedMessages = 16;
/*! @brief Interval at which a connection that stopped reading checks whether the byte budget has room. */
constexpr Duration roomCheckInterval = std::chrono::milliseconds{10};

/*! @brief Reads the seconds of `timeout=N` in a `Keep-Alive` field. */
auto keepAliveSeconds(const std::string &value) -> std::optional<int>
{
    constexpr std::string_view name = "timeout=";
    const auto start = value.find(name);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    int seconds{};
    const auto *first = value.data() + start + name.size();
    const auto [end, error] = std::from_chars(first, value.data() + value.size(), seconds);
    return error == std::errc{} ? std::optional{seconds} : std::nullopt;
}

} // namespace internal

auto serializeHead(const mesh::Request &request) -> std::string
{
    std::string text;
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto &field : request.fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const auto bodiless = request.method == "GET" || request.method == "HEAD" || request.method == "DELETE";
    if (!request.body.empty() || !bodiless) {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n");
}

HttpConnection::HttpConnection(event::Loop &loop, const event::Endpoint &to, Settings settings, Hooks hooks)
    : loop_{&loop}
    , settings_{std::move(settings)}
    , hooks_{std::move(hooks)}
    , buffered_{settings_.budget}
    , unannounced_{settings_.unannouncedBudget}
    , stream_{loop,
              to,
              settings_.userTimeout,
              {[this](const std::span<const char> bytes) { receive(bytes); },
               [this](const std::string_view reason) { streamClosed(reason); },
               [this] {
                   loop_->cancel(connectTimer_);
                   // The stream sends the first bytes right after this callback.
                   mayHaveSent_ = isBusy_;
               },
               {}}}
{
    connectTimer_ = loop.after(settings_.connectTimeout, [this] {
        stream_.close();
        streamClosed("connecting timed out");
    });
}

HttpConnection::~HttpConnection()
{
    loop_->cancel(connectTimer_);
    loop_->cancel(roomTimer_);
}

auto HttpConnection::send(const mesh::Request &request) -> void
{
    isBusy_ = true;
    skippedMessages_ = 0;
    mayHaveSent_ = stream_.isOpen();
    isHeadRequest_ = request.method == "HEAD";
    requestEcho_.clear();
    if (const auto *echo = mesh::findField(request.fields, settings_.echoField); echo != nullptr) {
        requestEcho_ = *echo;
    }
    resetParser();
    stream_.write(serializeHead(request));
    stream_.write(request.body.share());
}

auto HttpConnection::abandon() -> void
{
    loop_->cancel(connectTimer_);
    loop_->cancel(roomTimer_);
    isBusy_ = false;
    isBroken_ = true;
    hooks_ = {};
    stream_.close();
    buffered_.release();
    unannounced_.release();
}

auto HttpConnection::isAwaitingRoom() const -> bool
{
    return roomTimer_ != 0;
}

auto HttpConnection::isReusable() const -> bool
{
    return !isBusy_ && !isBroken_ && stream_.isOpen() && input_.empty() && stream_.pendingBytes() == 0;
}

auto HttpConnection::keepAliveUntil() const -> std::optional<TimePoint>
{
    return keepAliveUntil_;
}

auto HttpConnection::receive(const std::span<const char> bytes) -> void
{
    if (!isBusy_) {
        // There is no outstanding request for these bytes.
        isBroken_ = true;
        stream_.close();
        const auto lost = hooks_.lost;
        lost();
        return;
    }
    input_.append(bytes.data(), bytes.size());
    while (parse()) {
    }
}

auto HttpConnection::parse() -> bool
{
    if (input_.empty()) {
        return false;
    }
    boost::system::error_code error;
    const auto consumed = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, consumed);
    if (error && error != http::error::need_more) {
        failMalformed(error.message());
        return false;
    }
    if (parser_->is_header_done() && !hasValidStatus()) {
        // Before its body arrives: what an invalid response says about its end is not to be trusted either.
        failMalformed("invalid status " + std::to_string(parser_->get().result_int()));
        return false;
    }
    if (!hasRoom()) {
        return false;
    }
    if (parser_->is_done()) {
        return completeMessage();
    }
    return error != http::error::need_more && consumed > 0;
}

auto HttpConnection::failMalformed(const std::string_view reason) -> void
{
    isBroken_ = true;
    stream_.close();
    finish({std::nullopt, "malformed answer: " + std::string{reason}, true});
}

auto HttpConnection::hasRoom() -> bool
{
    if (input_.size() > internal::maxUnreadBytes) {
        failMalformed("buffer limit exceeded");
        return false;
    }
    // The whole body is reserved as soon as its length is known: responses that wait for one another's bytes would
    // never be complete.
    const auto isBodyDue = parser_->is_header_done() && !parser_->is_done() && parser_->content_length();
    const std::size_t announced = isBodyDue ? *parser_->content_length() : 0;
    const auto wanted = std::max(input_.size() + parser_->get().body().size(), announced);
    // A response without a length may be endless, and it is held twice for a moment while it grows.
    const auto isBounded = announced > 0 || unannounced_.tryGrow(wanted);
    if (isBounded && buffered_.tryGrow(wanted)) {
        return true;
    }
    // Endless responses without a length would otherwise hold the memory that they wait for until their deadlines.
    if (announced == 0 || !buffered_.canEverFit(wanted)) {
        failMalformed("the response exceeds the memory for messages");
        return false;
    }
    awaitRoom();
    return false;
}

auto HttpConnection::awaitRoom() -> void
{
    stream_.pauseReading(true);
    loop_->cancel(roomTimer_);
    roomTimer_ = loop_->after(internal::roomCheckInterval, [this] {
        roomTimer_ = 0;
        if (!hasRoom()) {
            return;
        }
        stream_.pauseReading(false);
        if (!parser_->is_done() || completeMessage()) {
            while (parse()) {
            }
        }
    });
}

auto HttpConnection::hasValidStatus() const -> bool
{
    const auto status = parser_->get().result_int();
    return mesh::isFinalStatus(status) || mesh::isInterimStatus(status);
}

auto HttpConnection::completeMessage() -> bool
{
    auto message = parser_->release();
    const auto keepAlive = message.keep_alive() && !message.need_eof();
    const auto status = message.result_int();
    if (mesh::isInterimStatus(status)) {
        return skipMessage();
    }
    auto &body = message.body();
    static_cast<void>(buffered_.resize(body.size()));
    mesh::Answer answer{status,
                        std::string{message.reason()},
                        {},
                        {std::move(body), std::exchange(buffered_, mesh::ByteReservation{settings_.budget})}};
    for (const auto &field : message) {
        answer.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    const auto *echo = mesh::findField(answer.fields, settings_.echoField);
    if (!requestEcho_.empty() && echo != nullptr && *echo != requestEcho_) {
        // A second response to an earlier request; the expected one may follow.
        return skipMessage();
    }
    if (!requestEcho_.empty() && echo == nullptr && wasUsed_) {
        // It may be a late response to an earlier request, and without the echo field that cannot be ruled out.
        failMalformed("no request id in a response on a reused connection");
        return false;
    }
    wasUsed_ = true;
    readKeepAlive(answer);
    if (!keepAlive || !input_.empty() || stream_.pendingBytes() > 0) {
        // Surplus bytes, or a request body that the server has not read before responding, make reuse unsafe.
        isBroken_ = true;
        stream_.close();
    }
    finish({std::move(answer), {}, true});
    return false;
}

auto HttpConnection::skipMessage() -> bool
{
    if (++skippedMessages_ > internal::maxSkippedMessages) {
        failMalformed("too many messages before the response");
        return false;
    }
    resetParser();
    return true;
}

auto HttpConnection::streamClosed(const std::string_view reason) -> void
{
    loop_->cancel(connectTimer_);
    isBroken_ = true;
    if (!isBusy_) {
        const auto lost = hooks_.lost;
        if (lost) {
            lost();
        }
        return;
    }
    loop_->cancel(roomTimer_);
    // Without a complete head, the parser's message is a default one: a success with an empty body.
    if (parser_ && parser_->is_header_done() && reason == "closed by the other end") {
        boost::system::error_code error;
        parser_->put_eof(error);
        const auto isComplete = !error && parser_->is_done();
        if (isComplete && !completeMessage()) {
            return;
        }
    }
    finish({std::nullopt, std::string{reason}, mayHaveSent_ || stream_.hasSent()});
}

auto HttpConnection::finish(Result result) -> void
{
    isBusy_ = false;
    buffered_.release();
    unannounced_.release();
    // The callback may destroy this connection.
    const auto finished = hooks_.finished;
    finished(std::move(result));
}

auto HttpConnection::resetParser() -> void
{
    parser_.emplace();
    parser_->eager(true);
    parser_->skip(isHeadRequest_);
    parser_->header_limit(internal::maxAnswerHeaderBytes);
    parser_->body_limit(settings_.maxAnswerBytes);
}

auto HttpConnection::readKeepAlive(const mesh::Answer &answer) -> void
{
    if (const auto *value = mesh::findField(answer.fields, "Keep-Alive"); value != nullptr) {
        if (const auto seconds = internal::keepAliveSeconds(*value)) {
            keepAliveUntil_ = loop_->now() + std::chrono::seconds{*seconds};
        }
    }
}

} // namespace jasminelatch::sidecar
