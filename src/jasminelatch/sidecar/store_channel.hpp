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
 * @brief Sends calls to the store sequentially over one connection, each with a timeout.
 *
 * The connection is dropped after a call that got no answer, since no later answer would arrive on it.
 */
class StoreChannel
{
public:
    /*! @brief Called once with the result of a call; `sent` tells whether the store may still execute it. */
    using Callback = std::function<void(HttpConnection::Result result)>;

    /**
     * @brief Creates a channel; it connects on the first call.
     * @param loop Event loop; must outlive the channel.
     * @param endpoint Address of the store.
     */
    StoreChannel(event::Loop &loop, event::Endpoint endpoint);

    StoreChannel(const StoreChannel &) = delete;
    auto operator=(const StoreChannel &) -> StoreChannel & = delete;
    ~StoreChannel();

    /**
     * @brief Queues a call; it is sent when the calls before it have finished.
     * @param request Request to send.
     * @param timeout Time to wait for the answer, counted from when the request is sent.
     * @param callback Receives the result.
     */
    auto call(mesh::Request request, Duration timeout, Callback callback) -> void;

    /*! @brief Drops the connection and discards unfinished calls without invoking their callbacks. */
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
