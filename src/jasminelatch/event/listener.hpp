#ifndef JASMINELATCH_EVENT_LISTENER_HPP
#define JASMINELATCH_EVENT_LISTENER_HPP

#include "endpoint.hpp"
#include "loop.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace jasminelatch::event {

/**
 * @brief Accepts TCP connections on one address.
 */
class Listener
{
public:
    /*! @brief Called with each connection. */
    using AcceptHandler = std::function<void(boost::asio::ip::tcp::socket socket)>;

    /**
     * @brief Prepares a listener.
     * @param loop Loop to run on; it outlives the listener.
     * @param handler What to call.
     */
    Listener(Loop &loop, AcceptHandler handler);

    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;
    ~Listener() = default;

    /**
     * @brief Starts to listen.
     * @param on Address to listen on.
     * @return What went wrong, or nothing.
     */
    [[nodiscard]] auto open(const Endpoint &on) -> std::optional<std::string>;

private:
    auto accept() -> void;

    Loop *loop_;
    AcceptHandler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace jasminelatch::event

#endif
