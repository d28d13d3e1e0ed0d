#ifndef JASMINELATCH_STANDIN_BACKEND_SERVER_HPP
#define JASMINELATCH_STANDIN_BACKEND_SERVER_HPP

#include "backend_settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/net/http_client.hpp>
#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/node/event_queue.hpp>

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::standin {

/*! @brief Faults that tests switch on. */
struct BackendFaults {
    double slowFactor{1.0}; /*!< Factor on the time of all work. */
    bool fail{}; /*!< Every request is answered with status 500. */
    bool mute{}; /*!< Requests run, but get no answer. */
    bool misreport{}; /*!< Announces ten times its slots. */
    bool draining{}; /*!< Announces that it takes no new work. */
};

/**
 * @brief Stand-in for a backend server: slots, work, nested calls, cold start, drain, cancellation.
 *
 * `PUT /_control` sets faults, `GET /_runs` lists what ran and every header field it saw.
 */
class BackendServer
{
public:
    /**
     * @brief Prepares a server.
     * @param settings Settings.
     */
    explicit BackendServer(BackendSettings settings);

    BackendServer(const BackendServer &) = delete;
    auto operator=(const BackendServer &) -> BackendServer & = delete;
    ~BackendServer();

    /**
     * @brief Opens the port.
     * @return Nothing, or a `net::ListenError`.
     */
    [[nodiscard]] auto open() -> boost::leaf::result<void>;

    /**
     * @brief Runs until it is asked to stop and all work is done.
     * @param stopRequested Set by a signal; begins the drain.
     */
    auto run(const std::atomic<bool> &stopRequested) -> void;

private:
    struct Work {
        net::HttpRequest request;
        net::Responder responder;
        const Route *route{};
        std::size_t nextCall{};
        std::string nested;
        bool running{};
    };

    struct Timer {
        TimePoint due;
        net::RequestNumber work{};
    };

    auto handle(net::RequestNumber number, net::HttpRequest request, net::Responder responder) -> void;
    auto control(const net::HttpRequest &request) -> net::HttpResponse;
    auto admit(net::RequestNumber number, net::HttpRequest request, net::Responder responder) -> void;
    auto startWaiting() -> void;
    auto start(net::RequestNumber number) -> void;
    auto proceed(net::RequestNumber number) -> void;
    auto callNext(net::RequestNumber number) -> void;
    auto onNested(net::RequestNumber number, const net::HttpResult &result) -> void;
    auto complete(net::RequestNumber number, int status) -> void;
    auto cancel(net::RequestNumber number) -> void;
    auto release(net::RequestNumber number) -> void;
    auto tick() -> void;
    auto announce() -> void;
    [[nodiscard]] auto findRoute(const std::string &path) const -> const Route *;
    [[nodiscard]] auto workTime(const Route &route) const -> Duration;
    [[nodiscard]] auto isCold() const -> bool;
    [[nodiscard]] auto answerBody(const Work &work) const -> std::string;

    BackendSettings settings_;
    Clock clock_;
    TimePoint startedAt_;
    node::EventQueue events_;
    BackendFaults faults_;
    bool stopping_{};
    std::map<net::RequestNumber, Work> works_;
    std::deque<net::RequestNumber> waiting_;
    std::uint32_t running_{};
    std::vector<Timer> timers_;
    nlohmann::json runs_;
    TimePoint announcedAt_;
    std::unique_ptr<net::HttpClient> client_;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace jasminelatch::standin

#endif
