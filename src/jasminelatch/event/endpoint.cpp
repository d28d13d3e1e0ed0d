#include "endpoint.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace jasminelatch::event {

auto parseEndpoint(const std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = text.substr(colon + 1);
    Endpoint endpoint{std::string{text.substr(0, colon)}, 0};
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    boost::system::error_code addressError;
    boost::asio::ip::make_address_v4(endpoint.ip, addressError);
    if (error != std::errc{} || endpoint.port == 0 || end != port.data() + port.size() || addressError) {
        return std::nullopt;
    }
    return endpoint;
}

auto toText(const Endpoint &endpoint) -> std::string
{
    return endpoint.ip + ':' + std::to_string(endpoint.port);
}

} // namespace jasminelatch::event
