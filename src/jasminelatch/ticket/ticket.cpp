#include "ticket.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <vector>

namespace jasminelatch::ticket {

namespace internal {

// The url-safe alphabet can spell the prefix of a key by chance, and authentication takes such fields out.
constexpr auto variant = sodium_base64_VARIANT_ORIGINAL_NO_PADDING;
constexpr std::size_t longestText = 4096;

auto encode(const std::vector<std::uint8_t> &bytes) -> std::string
{
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), variant);
    text.pop_back();
    return text;
}

auto decode(const std::string_view text) -> std::optional<std::vector<std::uint8_t>>
{
    std::vector<std::uint8_t> bytes(text.size());
    std::size_t length{};
    const auto result =
        sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, nullptr, variant);
    if (result != 0) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

auto toJson(const Ticket &ticket) -> nlohmann::json
{
    return {{"issuer", ticket.issuer},
            {"parent", ticket.parent},
            {"root", ticket.root},
            {"ledger", ticket.ledger},
            {"account", ticket.account},
            {"importance", ticket.importance},
            {"depth", ticket.depth},
            {"deadline", ticket.deadline.time_since_epoch().count()}};
}

auto fromJson(const nlohmann::json &json) -> Ticket
{
    Ticket ticket;
    json.at("issuer").get_to(ticket.issuer);
    json.at("parent").get_to(ticket.parent);
    json.at("root").get_to(ticket.root);
    json.at("ledger").get_to(ticket.ledger);
    json.at("account").get_to(ticket.account);
    json.at("importance").get_to(ticket.importance);
    json.at("depth").get_to(ticket.depth);
    ticket.deadline = TimePoint{Duration{json.at("deadline").get<Duration::rep>()}};
    return ticket;
}

} // namespace internal

auto seal(const Ticket &ticket, const secret::FleetSecret &secret) -> std::string
{
    const auto text = internal::encode(nlohmann::json::to_cbor(internal::toJson(ticket)));
    return text + "." + secret.authenticate(text);
}

auto open(const std::string_view text, const secret::FleetSecret &secret) -> std::optional<Ticket>
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || text.size() > internal::longestText) {
        return std::nullopt;
    }
    const auto content = text.substr(0, dot);
    if (!secret.verify(content, text.substr(dot + 1))) {
        return std::nullopt;
    }
    const auto bytes = internal::decode(content);
    if (!bytes) {
        return std::nullopt;
    }
    try {
        return internal::fromJson(nlohmann::json::from_cbor(*bytes));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::ticket
