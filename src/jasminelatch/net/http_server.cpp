#include "http_server.hpp"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace jasminelatch::net {

namespace internal {

constexpr auto longestStop = std::chrono::seconds{1};
constexpr auto stopPollInterval = std::chrono::milliseconds{1};

/*! @brief One request on its way through the server. */
struct Exchange {
    RequestNumber number{};
    HttpRequest request;
    bool complete{};
    bool answered{};
    bool gone{};
    bool suspended{};
    bool finished{};
    HttpResponse response;
    MHD_Connection *connection{};
    int socket{-1};
};

using SharedExchange = std::shared_ptr<Exchange>;

auto collectHeader(void *target, MHD_ValueKind, const char *key, const char *value) -> MHD_Result
{
    static_cast<Headers *>(target)->insert_or_assign(key, value == nullptr ? "" : value);
    return MHD_YES;
}

auto collectQuery(void *target, MHD_ValueKind, const char *key, const char *value) -> MHD_Result
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(target);
    query.insert_or_assign(key, value == nullptr ? "" : value);
    return MHD_YES;
}

auto queue(MHD_Connection *connection, const HttpResponse &response) -> MHD_Result
{
    auto *raw = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto &[name, value] : response.headers) {
        MHD_add_response_header(raw, name.c_str(), value.c_str());
    }
    const auto result = MHD_queue_response(connection, static_cast<unsigned>(response.status), raw);
    MHD_destroy_response(raw);
    return result;
}

auto unavailable() -> HttpResponse
{
    return {503, {{"Connection", "close"}}, {}};
}

} // namespace internal

class HttpServer::Impl
{
public:
    Impl(const Settings &settings, Hooks hooks)
        : maxBody_{settings.maxBody}
        , hooks_{std::move(hooks)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(settings.port);
        if (inet_pton(AF_INET, settings.host.c_str(), &address.sin_addr) != 1) {
            return;
        }
        daemon_ = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                                   settings.port,
                                   nullptr,
                                   nullptr,
                                   &Impl::handle,
                                   this,
                                   MHD_OPTION_SOCK_ADDR,
                                   &address,
                                   MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                   1U,
                                   MHD_OPTION_CONNECTION_LIMIT,
                                   settings.maxConnections,
                                   MHD_OPTION_CONNECTION_TIMEOUT,
                                   settings.idleTimeout,
                                   MHD_OPTION_NOTIFY_COMPLETED,
                                   &Impl::completed,
                                   this,
                                   MHD_OPTION_END);
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    ~Impl()
    {
        if (daemon_ == nullptr) {
            return;
        }
        stopListening();
        answerAllUnavailable();
        waitUntilSent();
        MHD_stop_daemon(daemon_);
    }

    [[nodiscard]] auto running() const -> bool { return daemon_ != nullptr; }

    /*! @brief Drops new handshakes, so that the queue of opened connections runs empty instead of being reset. */
    auto stopListening() -> void
    {
        const auto *info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD);
        if (stopped_ || info == nullptr) {
            return;
        }
        stopped_ = true;
        sock_filter dropAll{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &dropAll};
        ::setsockopt(info->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    }

    auto findGoneCallers() -> void
    {
        std::vector<RequestNumber> gone;
        {
            const std::lock_guard lock{mutex_};
            for (const auto &[number, exchange] : waiting_) {
                if (!exchange->gone && callerLeft(*exchange)) {
                    exchange->gone = true;
                    gone.push_back(number);
                }
            }
        }
        for (const auto number : gone) {
            hooks_.gone(number);
        }
    }

    [[nodiscard]] auto openCount() const -> std::size_t { return open_; }

private:
    static auto handle(void *self,
                       MHD_Connection *connection,
                       const char *url,
                       const char *method,
                       const char *,
                       const char *uploadData,
                       std::size_t *uploadSize,
                       void **state) -> MHD_Result
    {
        auto &server = *static_cast<Impl *>(self);
        if (*state == nullptr) {
            *state = new internal::SharedExchange{server.open(connection, url, method)};
            return MHD_YES;
        }
        const auto exchange = *static_cast<internal::SharedExchange *>(*state);
        if (*uploadSize > 0) {
            server.append(*exchange, {uploadData, *uploadSize});
            *uploadSize = 0;
            return MHD_YES;
        }
        return server.proceed(exchange);
    }

    static auto completed(void *self, MHD_Connection *, void **state, MHD_RequestTerminationCode) -> void
    {
        if (*state == nullptr) {
            return;
        }
        auto *exchange = static_cast<internal::SharedExchange *>(*state);
        static_cast<Impl *>(self)->finish(**exchange);
        delete exchange;
        *state = nullptr;
    }

    static auto callerLeft(const internal::Exchange &exchange) -> bool
    {
        char byte{};
        return exchange.socket >= 0 && ::recv(exchange.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    auto open(MHD_Connection *connection, const char *url, const char *method) -> internal::SharedExchange
    {
        auto exchange = std::make_shared<internal::Exchange>();
        ++open_;
        exchange->connection = connection;
        exchange->request.method = method;
        exchange->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &internal::collectHeader, &exchange->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &internal::collectQuery, &exchange->request.query);
        const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        exchange->socket = info == nullptr ? -1 : info->connect_fd;
        return exchange;
    }

    auto append(internal::Exchange &exchange, const std::string_view data) const -> void
    {
        auto &request = exchange.request;
        if (request.bodyTooLarge || request.body.size() + data.size() > maxBody_) {
            request.bodyTooLarge = true;
            request.body.clear();
            return;
        }
        request.body.append(data);
    }

    auto proceed(const internal::SharedExchange &exchange) -> MHD_Result
    {
        if (!exchange->complete) {
            exchange->complete = true;
            return hand(exchange) ? MHD_YES : internal::queue(exchange->connection, internal::unavailable());
        }
        return internal::queue(exchange->connection, exchange->response);
    }

    /*! @brief Suspends a request and hands it over; false when the server stops and must suspend nothing more. */
    auto hand(const internal::SharedExchange &exchange) -> bool
    {
        {
            const std::lock_guard lock{mutex_};
            if (stopping_) {
                return false;
            }
            exchange->number = ++lastNumber_;
            exchange->suspended = true;
            waiting_.emplace(exchange->number, exchange);
            MHD_suspend_connection(exchange->connection);
        }
        hooks_.request(exchange->number, std::move(exchange->request), [this, exchange](HttpResponse response) {
            respond(*exchange, std::move(response));
        });
        return true;
    }

    auto respond(internal::Exchange &exchange, HttpResponse response) -> void
    {
        const std::lock_guard lock{mutex_};
        if (exchange.answered || exchange.finished) {
            return;
        }
        exchange.answered = true;
        exchange.response = std::move(response);
        waiting_.erase(exchange.number);
        MHD_resume_connection(exchange.connection);
    }

    auto finish(internal::Exchange &exchange) -> void
    {
        const std::lock_guard lock{mutex_};
        --open_;
        exchange.finished = true;
        waiting_.erase(exchange.number);
    }

    auto waitUntilSent() const -> void
    {
        const auto until = std::chrono::steady_clock::now() + internal::longestStop;
        while (open_ > 0 && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(internal::stopPollInterval);
        }
    }

    auto answerAllUnavailable() -> void
    {
        std::vector<internal::SharedExchange> left;
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
            for (const auto &[number, exchange] : waiting_) {
                left.push_back(exchange);
            }
        }
        for (const auto &exchange : left) {
            respond(*exchange, internal::unavailable());
        }
    }

    std::size_t maxBody_;
    Hooks hooks_;
    std::mutex mutex_;
    std::map<RequestNumber, internal::SharedExchange> waiting_;
    RequestNumber lastNumber_{};
    std::atomic<std::size_t> open_{};
    MHD_Daemon *daemon_{};
    bool stopped_{};
    bool stopping_{};
};

auto HttpServer::start(const Settings &settings, Hooks hooks) -> boost::leaf::result<std::unique_ptr<HttpServer>>
{
    auto impl = std::make_unique<Impl>(settings, std::move(hooks));
    if (!impl->running()) {
        return boost::leaf::new_error(ListenError{settings.host + ":" + std::to_string(settings.port)});
    }
    return std::unique_ptr<HttpServer>{new HttpServer{std::move(impl)}};
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl_{std::move(impl)}
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::stopListening() -> void
{
    impl_->stopListening();
}

auto HttpServer::findGoneCallers() -> void
{
    impl_->findGoneCallers();
}

auto HttpServer::openCount() const -> std::size_t
{
    return impl_->openCount();
}

} // namespace jasminelatch::net
