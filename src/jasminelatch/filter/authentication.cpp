#include "authentication.hpp"

#include "fields.hpp"

#include <jasminelatch/configuration/view.hpp>
#include <jasminelatch/ticket/ticket.hpp>

#include <string>
#include <utility>

namespace jasminelatch::filter {

namespace internal {

constexpr Duration staleRetryAfter = std::chrono::seconds{2};
constexpr std::string_view bearerPrefix = "Bearer ";

auto presentedKey(const net::HttpRequest &request) -> std::string
{
    auto key = net::header(request.headers, authorizationField);
    if (key.starts_with(bearerPrefix)) {
        return std::string{key.substr(bearerPrefix.size())};
    }
    key = net::header(request.headers, apiKeyField);
    if (!key.empty()) {
        return std::string{key};
    }
    const auto argument = request.query.find(std::string{apiKeyArgument});
    return argument == request.query.end() ? std::string{} : argument->second;
}

/*! @brief Tells whether a letter stands for itself in a path or a query. */
auto isUnreserved(const char letter) -> bool
{
    return (letter >= '0' && letter <= '9') || (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z')
        || letter == '-' || letter == '.' || letter == '_' || letter == '~';
}

auto percentEncode(const std::string_view text, const std::string_view allowed = {}) -> std::string
{
    constexpr std::string_view digits{"0123456789ABCDEF"};
    std::string encoded;
    for (const auto letter : text) {
        if (isUnreserved(letter) || allowed.find(letter) != std::string_view::npos) {
            encoded += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xFU];
    }
    return encoded;
}

/*! @brief Tells whether a text carries a key; backend servers must never see one. */
auto carriesKey(const std::string_view text, const std::string_view key) -> bool
{
    return text.find("jl_") != std::string_view::npos || (!key.empty() && text.find(key) != std::string_view::npos);
}

auto removeKey(call::Exchange &exchange, const std::string_view key) -> void
{
    auto &request = exchange.request;
    request.headers.erase(std::string{authorizationField});
    request.headers.erase(std::string{apiKeyField});
    std::erase_if(request.headers,
                  [&](const auto &field) { return carriesKey(field.first, key) || carriesKey(field.second, key); });
    request.query.erase(std::string{apiKeyArgument});
    std::erase_if(request.query, [&](const auto &argument) {
        return carriesKey(argument.first, key) || carriesKey(argument.second, key);
    });
    constexpr std::string_view allowedInPath{"/:@!$&'()*+,;="};
    exchange.path = percentEncode(exchange.path, allowedInPath);
    char separator = '?';
    for (const auto &[name, value] : request.query) {
        exchange.path += separator + percentEncode(name) + "=" + percentEncode(value);
        separator = '&';
    }
}

/*! @brief Tells whether the key stands where it can't be taken out. */
auto isKeyEmbedded(const call::Exchange &exchange, const std::string_view key) -> bool
{
    if (key.empty()) {
        return false;
    }
    return exchange.path.find(key) != std::string::npos || exchange.request.body.find(key) != std::string::npos;
}

auto checkKey(call::Exchange &exchange, const std::string_view key, const bool fresh) -> Verdict
{
    if (key.empty()) {
        return refuse(RefusalReason::MissingKey);
    }
    if (!fresh) {
        return refuse(RefusalReason::ConfigurationStale, staleRetryAfter);
    }
    const auto check = exchange.view->authenticate(key);
    if (check.state == configuration::KeyState::Withdrawn) {
        return refuse(RefusalReason::WithdrawnKey);
    }
    if (check.state != configuration::KeyState::Ok) {
        return refuse(RefusalReason::UnknownKey);
    }
    exchange.account = check.account;
    return pass();
}

auto applyTicket(call::Exchange &exchange, const ticket::Ticket &ticket) -> void
{
    exchange.parent = ticket.parent;
    exchange.root = ticket.root;
    exchange.ledger = ticket.ledger;
    exchange.account = ticket.account;
    exchange.importance = ticket.importance;
    exchange.depth = ticket.depth + 1;
    exchange.deadline = ticket.deadline;
}

auto checkTicket(call::Exchange &exchange, const AuthenticationSettings &settings) -> Verdict
{
    const auto text = net::header(exchange.request.headers, ticketField);
    if (text.empty()) {
        return refuse(RefusalReason::MissingKey);
    }
    const auto ticket = ticket::open(text, *settings.secret);
    if (!ticket || ticket->issuer != settings.self) {
        return refuse(RefusalReason::InvalidTicket);
    }
    if (ticket->deadline <= settings.clock->now()) {
        return refuse(RefusalReason::DeadlineExpired);
    }
    if (!settings.isRunning(ticket->parent)) {
        return refuse(RefusalReason::Cancelled);
    }
    applyTicket(exchange, *ticket);
    if (exchange.depth >= exchange.view->fleet().maxDepth) {
        return refuse(RefusalReason::DepthExceeded);
    }
    return pass();
}

} // namespace internal

auto authenticationFilter(AuthenticationSettings settings) -> Filter
{
    return {"authentication", [settings = std::move(settings)](call::Exchange &exchange, const Resume &) {
                const auto key = internal::presentedKey(exchange.request);
                if (internal::isKeyEmbedded(exchange, key)) {
                    return refuse(RefusalReason::MalformedRequest);
                }
                internal::removeKey(exchange, key);
                const auto hasTicket = !net::header(exchange.request.headers, ticketField).empty();
                if (exchange.origin == call::Origin::BackendServer && (hasTicket || !exchange.kind->open)) {
                    return internal::checkTicket(exchange, settings);
                }
                if (exchange.kind->open && key.empty()) {
                    return pass();
                }
                return internal::checkKey(exchange, key, settings.fresh());
            }};
}

} // namespace jasminelatch::filter
