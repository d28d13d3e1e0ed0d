#ifndef JASMINELATCH_SIDECAR_STORE_CHANNEL_HPP
#define JASMINELATCH_SIDECAR_STORE_CHANNEL_HPP

#include "http_connection.hpp"

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/http.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace jasminelatch::sidecar {

/**
 * @brief Sends calls to the store one after the other over one connection, each with a time-out.
 *
 * After a call that was not answered the connection is dropped: nothing further would come over it.
 */
class StoreChannel
{
public:
    /*! @brief Called once with the result of a call; `sent` tells whether the store may still carry it out. */
    using Callback = std::function<void(HttpConnection::Result result)>;

    /**
     * @brief Makes a channel without a connection.
     * @param loop Loop to run on; it outlives the channel.
     * @param to Address of the store.
     */
    StoreChannel(event::Loop &loop, event::Endpoint endpoint);

    StoreChannel(const StoreChannel &) = delete;
    auto operator=(const StoreChannel &) -> StoreChannel & = delete;
    ~StoreChannel();

    /**
     * @brief Sends a call when the ones before it have ended.
     * @param request The call.
     * @param timeout Time to wait for its answer from when it is sent.
     * @param finished What to call.
     */
    auto call(mesh::Request request, Duration timeout, Callback callback) -> void;

    /*! @brief Drops the connection and forgets the calls that have not ended; nobody is told. */
    auto reset() -> void;

private:
    struct Pending {
        mesh::Request request;
        Duration timeout{};
        Callback callback;
    };

    auto sendNext() -> void;
    auto handleResult(HttpConnection::Result result) -> void;
    auto dropConnection() -> void;

    event::Loop *loop_;
    event::Endpoint endpoint_;
    std::unique_ptr<HttpConnection> connection_;
    std::deque<Pending> pending_;
    event::TimerId timer_{};
    bool isBusy_{};
};

} // namespace jasminelatch::sidecar

#endif
