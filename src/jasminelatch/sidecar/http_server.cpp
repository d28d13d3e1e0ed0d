#include "http_server.hpp"

#include <jasminelatch/event/stream.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

namespace http = boost::beast::http;

namespace internal {

/*! @brief Pipelined bytes above which reading pauses until the current request is answered. */
constexpr std::size_t maxPipelinedBytes = 16384;
/*! @brief Time without progress after which a client that does not read the last response is closed. */
constexpr Duration unreadResponseTimeout = std::chrono::seconds{10};
/*! @brief Largest number of bytes of empty lines before a request; RFC 9112 asks for at least one line. */
constexpr std::size_t maxLeadingBytes = 16;
/*! @brief Time for which input is discarded after the last response; closing earlier would send a TCP reset, which can
 * destroy the response before the client reads it. */
constexpr Duration lingerTimeout = std::chrono::milliseconds{500};
/*! @brief Largest body of a request to the node itself, such as an instance's report. */
constexpr std::size_t maxSmallBodyBytes = 65536;

/*! @brief `Retry-After` of requests that exceed the byte budget. */
constexpr std::chrono::seconds memoryRetryAfter{1};

auto statusFor(const boost::system::error_code &error) -> http::status
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

auto mayHaveBody(const unsigned status) -> bool
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status >= 200 && status != noContent && status != notModified;
}

auto hasBody(const mesh::Answer &answer, const bool headOnly) -> bool
{
    return !headOnly && mayHaveBody(answer.status);
}

/*! @brief Serializes the head of a response. */
auto serializeHead(const mesh::Answer &answer, const bool headOnly, const bool closes) -> std::string
{
    std::string text;
    const auto reason =
        answer.reason.empty() ? std::string{http::obsolete_reason(http::int_to_status(answer.status))} : answer.reason;
    text.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ").append(reason).append("\r\n");
    for (const auto &field : answer.fields) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (hasBody(answer, headOnly)) {
        text.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
    }
    if (closes) {
        text.append("Connection: close\r\n");
    }
    return text.append("\r\n");
}

} // namespace internal

class HttpServer::Session
{
public:
    Session(HttpServer &server, const std::uint64_t id, boost::asio::ip::tcp::socket socket)
        : server_{&server}
        , loop_{server.loop_}
        , id_{id}
        , limits_{server.hooks_.limits()}
        , buffered_{server.hooks_.budget}
        , pipelined_{server.hooks_.budget}
        , responseHead_{server.hooks_.budget}
        , idleSince_{server.loop_->now()}
        , stream_{*server.loop_,
                  std::move(socket),
                  {[this](const std::span<const char> bytes) { receive(bytes); },
                   [this](std::string_view) { handleDisconnect(); },
                   {},
                   [this] {
                       handleDrained();
                   }}}
    {
        resetParser();
        startTimer(limits_.idleTimeout, [this] { end(); });
    }

    Session(const Session &) = delete;
    auto operator=(const Session &) -> Session & = delete;

    ~Session() { loop_->cancel(timer_); }

    auto respond(const std::uint64_t sequence, mesh::Answer answer) -> void
    {
        if (state_ != State::Answering || sequence != sequence_) {
            return;
        }
        if (!mesh::isFinalStatus(answer.status)) {
            // The source of the answer must have rejected it; this is the last check before the client.
            answer = {static_cast<unsigned>(http::status::bad_gateway), {}, {}, {}};
        }
        const auto closes = closesAfterResponse_ || server_->isDraining_;
        write(answer, isHeadRequest_, closes);
        requestId_ = 0;
        if (closes) {
            linger();
            return;
        }
        // The next request waits until the client has read this response, which bounds what a connection holds.
        state_ = State::Sending;
        awaitProgress(limits_.idleTimeout);
    }

    /*! @brief Closes the connection; no callback is called afterwards. */
    auto abandon() -> void
    {
        loop_->cancel(timer_);
        state_ = State::Lingering;
        stream_.close();
        // The session is destroyed later, perhaps after the budget.
        buffered_.release();
        pipelined_.release();
        responseHead_.release();
    }

    /*! @brief Returns since when the connection carries no request, or nothing while it carries one. */
    [[nodiscard]] auto idleSince() const -> std::optional<TimePoint>
    {
        return state_ == State::Reading && !hasStarted_ ? std::optional{idleSince_} : std::nullopt;
    }

    [[nodiscard]] auto isActive() const -> bool
    {
        const auto reading = state_ == State::Reading && (hasStarted_ || !input_.empty());
        return reading || state_ == State::Answering || stream_.pendingBytes() > 0;
    }

private:
    using Parser = http::request_parser<http::string_body>;

    enum class State : std::uint8_t { Reading, Answering, Sending, Lingering };

    auto receive(const std::span<const char> bytes) -> void
    {
        if (state_ == State::Lingering) {
            return;
        }
        input_.append(bytes.data(), bytes.size());
        if (state_ == State::Answering || state_ == State::Sending) {
            if (!pipelined_.resize(input_.size()) || input_.size() > internal::maxPipelinedBytes) {
                stream_.pauseReading(true);
            }
            return;
        }
        parse();
    }

    auto resume() -> void
    {
        pipelined_.release();
        if (state_ == State::Reading && !input_.empty()) {
            parse();
        }
        // Each answered request must not admit more input than it has used up.
        if (state_ == State::Reading || input_.size() <= internal::maxPipelinedBytes) {
            stream_.pauseReading(false);
        }
    }

    /*! @brief Writes a response; its head is charged until the client has read it. */
    auto write(const mesh::Answer &answer, const bool headOnly, const bool closes) -> void
    {
        const auto head = internal::serializeHead(answer, headOnly, closes);
        static_cast<void>(responseHead_.resize(head.size()));
        stream_.write(head);
        if (internal::hasBody(answer, headOnly)) {
            stream_.write(answer.body.share());
        }
    }

    /*! @brief Ends the connection once the client has neither sent nor read anything for a time. */
    auto awaitProgress(const Duration limit) -> void
    {
        startTimer(limit, [this, limit, before = stream_.unacknowledgedBytes()] {
            const auto unread = stream_.unacknowledgedBytes();
            if (unread > 0 && unread < before) {
                awaitProgress(limit);
            } else {
                end();
            }
        });
    }

    /*! @brief Removes empty lines before a request; returns false if there are too many. */
    auto skipEmptyLines() -> bool
    {
        const auto start = std::min(input_.find_first_not_of("\r\n"), input_.size());
        skippedBytes_ += start;
        input_.erase(0, start);
        return skippedBytes_ <= internal::maxLeadingBytes;
    }

    auto parse() -> void
    {
        while (state_ == State::Reading && !input_.empty()) {
            if (!hasReadByte_) {
                if (!skipEmptyLines()) {
                    refuse(http::status::bad_request);
                    return;
                }
                hasReadByte_ = !input_.empty();
            }
            if (!hasStarted_) {
                hasStarted_ = true;
                startTimer(limits_.headerTimeout, [this] { refuse(http::status::request_timeout); });
            }
            if (input_.empty()) {
                return;
            }
            boost::system::error_code error;
            const auto hadHeader = parser_->is_header_done();
            const auto consumed = parser_->put(boost::asio::buffer(input_), error);
            input_.erase(0, consumed);
            if (error && error != http::error::need_more) {
                refuse(internal::statusFor(error));
                return;
            }
            if (!buffered_.resize(input_.size() + parser_->get().body().size())) {
                refuse(http::status::service_unavailable);
                return;
            }
            if (parser_->is_header_done()) {
                handleHeader(!hadHeader);
            }
            if (state_ == State::Reading && parser_->is_done()) {
                dispatchRequest();
                return;
            }
            if (error == http::error::need_more || consumed == 0) {
                // An unfinished chunk extension or trailer section; the parser limits the others itself.
                if (input_.size() > limits_.maxHeaderBytes) {
                    refuse(http::status::request_header_fields_too_large);
                }
                return;
            }
        }
    }

    auto handleHeader(const bool first) -> void
    {
        if (parser_->is_done()) {
            return;
        }
        // While the body is being received, each read restarts the timeout.
        startTimer(limits_.headerTimeout, [this] { refuse(http::status::request_timeout); });
        if (first && http::token_list{parser_->get()[http::field::expect]}.exists("100-continue")) {
            stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    auto dispatchRequest() -> void
    {
        server_->loop_->cancel(timer_);
        auto message = parser_->release();
        mesh::Request request{std::string{message.method_string()}, std::string{message.target()}, {}, {}};
        auto size = request.target.size() + message.body().size();
        for (const auto &field : message) {
            request.fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
            size += field.name_string().size() + field.value().size();
        }
        // From here on the body carries the reservation of the whole request.
        static_cast<void>(buffered_.resize(size));
        request.body = {std::move(message.body()),
                        std::exchange(buffered_, mesh::ByteReservation{server_->hooks_.budget})};
        static_cast<void>(pipelined_.resize(input_.size()));
        isHeadRequest_ = request.method == "HEAD";
        closesAfterResponse_ = !message.keep_alive();
        state_ = State::Answering;
        const auto sequence = ++sequence_;
        const auto requestId =
            server_->hooks_.request(std::move(request), [server = server_, id = id_, sequence](mesh::Answer answer) {
                if (const auto found = server->sessions_.find(id); found != server->sessions_.end()) {
                    found->second->respond(sequence, std::move(answer));
                }
            });
        if (state_ == State::Answering && sequence == sequence_) {
            requestId_ = requestId;
        }
    }

    auto refuse(const http::status status) -> void
    {
        mesh::Answer answer{static_cast<unsigned>(status), {}, {}, {}};
        if (status == http::status::service_unavailable) {
            answer.fields.push_back({"Retry-After", std::to_string(internal::memoryRetryAfter.count())});
        }
        parser_.reset();
        buffered_.release();
        write(answer, false, true);
        linger();
    }

    auto linger() -> void
    {
        state_ = State::Lingering;
        input_ = {};
        pipelined_.release();
        stream_.pauseReading(false);
        if (stream_.pendingBytes() > 0) {
            awaitProgress(internal::unreadResponseTimeout);
        } else {
            startTimer(internal::lingerTimeout, [this] { end(); });
        }
    }

    auto handleDrained() -> void
    {
        responseHead_.release();
        if (state_ == State::Lingering) {
            startTimer(internal::lingerTimeout, [this] {
                if (stream_.unacknowledgedBytes() > 0) {
                    awaitProgress(internal::unreadResponseTimeout);
                } else {
                    end();
                }
            });
        } else if (state_ == State::Sending) {
            state_ = State::Reading;
            idleSince_ = server_->loop_->now();
            resetParser();
            awaitProgress(limits_.idleTimeout);
            resume();
        }
    }

    auto handleDisconnect() -> void
    {
        const auto request = std::exchange(requestId_, 0);
        const auto *server = server_;
        if (state_ == State::Answering && request != 0) {
            server->hooks_.cancelled(request);
        }
        end();
    }

    /*! @brief Destroys this session. */
    auto end() -> void { server_->closeSession(id_); }

    auto startTimer(const Duration time, std::function<void()> task) -> void
    {
        server_->loop_->cancel(timer_);
        timer_ = server_->loop_->after(time, std::move(task));
    }

    auto resetParser() -> void
    {
        limits_ = server_->hooks_.limits();
        hasStarted_ = false;
        hasReadByte_ = false;
        skippedBytes_ = 0;
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
        parser_->body_limit(limits_.maxBodyBytes);
    }

    HttpServer *server_;
    event::Loop *loop_; /*!< Outlives the server, which a session that is destroyed later need not. */
    std::uint64_t id_;
    mesh::Limits limits_;
    State state_{State::Reading};
    std::optional<Parser> parser_;
    std::string input_;
    mesh::ByteReservation buffered_; /*!< Bytes of the request that is being received. */
    mesh::ByteReservation pipelined_; /*!< Bytes that arrived before the current request was answered. */
    mesh::ByteReservation responseHead_; /*!< Head of the response that is being sent. */
    TimePoint idleSince_; /*!< When the last response was sent, or the connection accepted. */
    std::size_t skippedBytes_{}; /*!< Bytes of empty lines before the request. */
    std::uint64_t sequence_{};
    std::uint64_t requestId_{};
    event::TimerId timer_{};
    bool hasStarted_{}; /*!< Whether any byte of the request has arrived, empty lines included. */
    bool hasReadByte_{}; /*!< Whether a byte other than those of empty lines has arrived. */
    bool isHeadRequest_{};
    bool closesAfterResponse_{};
    event::Stream stream_;
};

HttpServer::HttpServer(event::Loop &loop, Hooks hooks)
    : loop_{&loop}
    , hooks_{std::move(hooks)}
    , listener_{loop, [this](boost::asio::ip::tcp::socket socket) {
                    handleAccepted(std::move(socket));
                }}
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::synchronousHooks(std::function<mesh::Answer(const mesh::Request &request)> answer,
                                  mesh::ByteBudget *const budget,
                                  const std::size_t maxConnections) -> Hooks
{
    Hooks hooks;
    hooks.request = [answer = std::move(answer)](const mesh::Request &request, const Respond &respond) {
        respond(answer(request));
        return std::uint64_t{0};
    };
    hooks.cancelled = [](std::uint64_t) {
    };
    hooks.limits = smallLimits;
    hooks.budget = budget;
    hooks.maxConnections = maxConnections;
    return hooks;
}

auto HttpServer::smallLimits() -> mesh::Limits
{
    mesh::Limits limits;
    limits.maxBodyBytes = internal::maxSmallBodyBytes;
    return limits;
}

auto HttpServer::open(const event::Endpoint &on) -> std::optional<std::string>
{
    return listener_.open(on);
}

auto HttpServer::startDraining() -> void
{
    isDraining_ = true;
}

auto HttpServer::activeRequests() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(sessions_, [](const auto &entry) { return entry.second->isActive(); }));
}

auto HttpServer::handleAccepted(boost::asio::ip::tcp::socket socket) -> void
{
    if (sessions_.size() >= hooks_.maxConnections && !makeRoom()) {
        return;
    }
    const auto id = ++lastSession_;
    sessions_.emplace(id, std::make_unique<Session>(*this, id, std::move(socket)));
}

auto HttpServer::makeRoom() -> bool
{
    auto longest = sessions_.end();
    for (auto session = sessions_.begin(); session != sessions_.end(); ++session) {
        const auto since = session->second->idleSince();
        if (since && (longest == sessions_.end() || *since < *longest->second->idleSince())) {
            longest = session;
        }
    }
    if (longest == sessions_.end()) {
        return false;
    }
    closeSession(longest->first);
    return true;
}

auto HttpServer::closeSession(const std::uint64_t session) -> void
{
    if (const auto found = sessions_.find(session); found != sessions_.end()) {
        found->second->abandon();
        loop_->destroyLater(std::move(found->second));
        sessions_.erase(found);
    }
}

} // namespace jasminelatch::sidecar
