#include "http_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jasminelatch::sidecar {

namespace http = boost::beast::http;

namespace internal {

/*! @brief Bytes of an answer's fields. */
constexpr std::uint32_t maxAnswerHeaderBytes = 32768;

/*! @brief Bytes that may stay unread because a line, a chunk's extension or a trailer has not ended. */
constexpr std::size_t maxUnreadBytes = 65536;
/*! @brief Messages before the answer that are no answer to the request: interim ones, and late ones to others. */
constexpr std::size_t maxSkippedMessages = 16;

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

auto serialize(const mesh::Request &request) -> std::string
{
    std::string text;
    text.reserve(512 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto &field : request.fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const auto bodiless = request.method == "GET" || request.method == "HEAD" || request.method == "DELETE";
    if (!request.body.empty() || !bodiless) {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

HttpConnection::HttpConnection(event::Loop &loop, const event::Endpoint &to, Settings settings, Hooks hooks)
    : loop_{&loop}
    , settings_{std::move(settings)}
    , hooks_{std::move(hooks)}
    , held_{settings_.budget}
    , stream_{loop,
              to,
              settings_.userTimeout,
              {[this](const std::span<const char> bytes) { receive(bytes); },
               [this](const std::string_view reason) { streamClosed(reason); },
               [this] {
                   loop_->cancel(connectTimer_);
                   // The first bytes leave right after this call.
                   everSent_ = busy_;
               },
               {}}}
{
    connectTimer_ = loop.after(settings_.connectTimeout, [this] {
        stream_.close();
        streamClosed("connecting took too long");
    });
}

HttpConnection::~HttpConnection()
{
    loop_->cancel(connectTimer_);
}

auto HttpConnection::send(const mesh::Request &request) -> void
{
    busy_ = true;
    anyBytes_ = false;
    skipped_ = 0;
    everSent_ = stream_.isOpen();
    headOnly_ = request.method == "HEAD";
    echo_.clear();
    if (const auto *echo = mesh::findField(request.fields, settings_.echoField); echo != nullptr) {
        echo_ = *echo;
    }
    resetParser();
    stream_.write(serialize(request));
}

auto HttpConnection::abandon() -> void
{
    loop_->cancel(connectTimer_);
    busy_ = false;
    broken_ = true;
    hooks_ = {};
    stream_.close();
    held_.release();
}

auto HttpConnection::isReusable() const -> bool
{
    return !busy_ && !broken_ && stream_.isOpen() && input_.empty() && stream_.pendingBytes() == 0;
}

auto HttpConnection::keepAliveUntil() const -> std::optional<TimePoint>
{
    return keepAliveUntil_;
}

auto HttpConnection::receive(const std::span<const char> bytes) -> void
{
    if (!busy_) {
        // Nobody asked for these bytes.
        broken_ = true;
        stream_.close();
        const auto lost = hooks_.lost;
        lost();
        return;
    }
    anyBytes_ = true;
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
    const auto used = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
        failMalformed(error.message());
        return false;
    }
    if (holdsTooMuch()) {
        failMalformed("too many bytes");
        return false;
    }
    if (error == http::error::need_more) {
        return false;
    }
    return parser_->is_done() ? completeMessage() : used > 0;
}

auto HttpConnection::failMalformed(const std::string_view reason) -> void
{
    broken_ = true;
    stream_.close();
    finish({std::nullopt, "malformed answer: " + std::string{reason}, true});
}

auto HttpConnection::holdsTooMuch() -> bool
{
    const auto isWithinBudget = held_.change(input_.size() + parser_->get().body().size());
    return !isWithinBudget || input_.size() > internal::maxUnreadBytes;
}

auto HttpConnection::completeMessage() -> bool
{
    auto message = parser_->release();
    const auto keepAlive = message.keep_alive() && !message.need_eof();
    const auto status = message.result_int();
    constexpr unsigned firstFinalStatus = 200;
    if (status < firstFinalStatus) {
        return skipMessage();
    }
    mesh::Answer answer{status, std::string{message.reason()}, {}, std::move(message.body())};
    for (const auto &field : message) {
        answer.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    const auto *echo = mesh::findField(answer.fields, settings_.echoField);
    if (!echo_.empty() && echo != nullptr && *echo != echo_) {
        // A second answer to an earlier request; the one that is due may follow.
        return skipMessage();
    }
    if (!echo_.empty() && echo == nullptr && wasUsed_) {
        // It may be that too, and nothing tells.
        failMalformed("an answer without id on a connection that was used");
        return false;
    }
    wasUsed_ = true;
    noteKeepAlive(answer);
    if (!keepAlive || !input_.empty() || stream_.pendingBytes() > 0) {
        // Surplus bytes, or a body that the other end answered before reading it, spoil the connection.
        broken_ = true;
        stream_.close();
    }
    finish({std::move(answer), {}, true});
    return false;
}

auto HttpConnection::skipMessage() -> bool
{
    if (++skipped_ > internal::maxSkippedMessages) {
        failMalformed("too many answers to others");
        return false;
    }
    resetParser();
    return true;
}

auto HttpConnection::streamClosed(const std::string_view reason) -> void
{
    loop_->cancel(connectTimer_);
    broken_ = true;
    if (!busy_) {
        const auto lost = hooks_.lost;
        if (lost) {
            lost();
        }
        return;
    }
    if (parser_ && anyBytes_ && reason == "closed by the other end") {
        boost::system::error_code error;
        parser_->put_eof(error);
        if (!error && parser_->is_done()) {
            completeMessage();
            return;
        }
    }
    finish({std::nullopt, std::string{reason}, everSent_ || stream_.hasSent()});
}

auto HttpConnection::finish(Result result) -> void
{
    busy_ = false;
    held_.release();
    // The hook may destroy this connection.
    const auto finished = hooks_.finished;
    finished(std::move(result));
}

auto HttpConnection::resetParser() -> void
{
    parser_.emplace();
    parser_->eager(true);
    parser_->skip(headOnly_);
    parser_->header_limit(internal::maxAnswerHeaderBytes);
    parser_->body_limit(settings_.maxAnswerBytes);
}

auto HttpConnection::noteKeepAlive(const mesh::Answer &answer) -> void
{
    if (const auto *value = mesh::findField(answer.fields, "Keep-Alive"); value != nullptr) {
        if (const auto seconds = internal::keepAliveSeconds(*value)) {
            keepAliveUntil_ = loop_->now() + std::chrono::seconds{*seconds};
        }
    }
}

} // namespace jasminelatch::sidecar
