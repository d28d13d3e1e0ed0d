#ifndef JASMINELATCH_STANDIN_STORE_SERVER_HPP
#define JASMINELATCH_STANDIN_STORE_SERVER_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/store/memory_store.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace jasminelatch::standin {

/*! @brief What the stand-in does to its callers. */
struct StoreFaults {
    bool down{}; /*!< Calls have no effect and get no answer. */
    bool loseAnswers{}; /*!< Calls take effect and get no answer. */
    Duration delay{}; /*!< Answers wait this long. */
};

/*! @brief Calls so far. */
struct StoreCalls {
    std::uint64_t reads{}; /*!< Gets and watches. */
    std::uint64_t writes{}; /*!< Puts and removals. */
};

/**
 * @brief Stand-in for the platform's key-value store, over HTTP.
 *
 * `GET`, `PUT` and `DELETE /v1/kv/<key>`, `GET /v1/watch`; `PUT /v1/faults` and `GET /v1/calls` are for tests.
 */
class StoreServer
{
public:
    /**
     * @brief Opens the port.
     * @param port TCP port on the loopback address.
     * @return Nothing, or a `net::ListenError`.
     */
    [[nodiscard]] auto open(std::uint16_t port) -> boost::leaf::result<void>;

    /*! @brief Answers waiting watches and delayed calls that are due; to be called every 10 ms. */
    auto tick() -> void;

private:
    struct Pending {
        store::Request request;
        net::Responder responder;
        TimePoint due;
        TimePoint waitUntil;
        std::uint64_t number{};
    };

    auto handle(std::uint64_t number, const net::HttpRequest &request, const net::Responder &responder) -> void;
    auto control(const net::HttpRequest &request, const net::Responder &responder) -> void;
    auto begin(std::uint64_t number, store::Request request, net::Responder responder) -> void;
    auto forget(std::uint64_t number) -> void;
    [[nodiscard]] auto isReady(const Pending &call) const -> bool;
    auto answer(Pending &call) -> void;

    Clock clock_;
    std::mutex mutex_;
    store::MemoryStore memory_;
    StoreFaults faults_;
    StoreCalls calls_;
    std::list<Pending> pending_;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace jasminelatch::standin

#endif
