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
 * @brief Accepts TCP connections on one local address.
 */
class Listener
{
public:
    /*! @brief Called with the socket of each accepted connection. */
    using AcceptHandler = std::function<void(boost::asio::ip::tcp::socket socket)>;

    /**
     * @brief Creates a listener that is not listening yet.
     * @param loop Loop to run on; must outlive the listener.
     * @param handler Receives accepted connections.
     */
    Listener(Loop &loop, AcceptHandler handler);

    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;
    ~Listener() = default;

    /**
     * @brief Binds the address and starts accepting connections.
     * @param on Address to listen on.
     * @return Error message, or nothing on success.
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
