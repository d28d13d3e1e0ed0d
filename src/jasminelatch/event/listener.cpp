#include "listener.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <chrono>
#include <utility>

namespace jasminelatch::event {

namespace internal {

/*! @brief Delay before accepting again after an error, such as when the process is out of file descriptors. */
constexpr Duration acceptRetryDelay = std::chrono::milliseconds{50};
/*! @brief Maximum number of connections that wait in the operating system to be accepted. */
constexpr int acceptBacklog = 1024;

} // namespace internal

Listener::Listener(Loop &loop, AcceptHandler handler)
    : loop_{&loop}
    , handler_{std::move(handler)}
    , acceptor_{loop.context()}
{
}

auto Listener::open(const Endpoint &on) -> std::optional<std::string>
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(on.ip, error);
    if (!error) {
        acceptor_.open(boost::asio::ip::tcp::v4(), error);
    }
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address{true}, error);
    }
    if (!error) {
        acceptor_.bind({address, on.port}, error);
    }
    if (!error) {
        acceptor_.listen(internal::acceptBacklog, error);
    }
    if (error) {
        return error.message();
    }
    accept();
    return std::nullopt;
}

auto Listener::accept() -> void
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            loop_->after(internal::acceptRetryDelay, [this] { accept(); });
            return;
        }
        handler_(std::move(socket));
        accept();
    });
}

} // namespace jasminelatch::event
