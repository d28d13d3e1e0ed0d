#include "member.hpp"

#include <nlohmann/json.hpp>

#include <tuple>

namespace jasminelatch::mesh {

auto isOlder(const Member &left, const Member &right) -> bool
{
    return std::tie(left.incarnation, left.version) < std::tie(right.incarnation, right.version);
}

auto encodeMember(const Member &member) -> std::string
{
    const nlohmann::json json{{"name", member.name},
                              {"incarnation", member.incarnation},
                              {"address", event::toText(member.address)},
                              {"domain", member.domain},
                              {"service", member.service},
                              {"instance", member.instanceId},
                              {"slots", member.slots},
                              {"accepting", member.accepting},
                              {"coldForMs", member.coldStartRemaining.count() / 1000},
                              {"version", member.version},
                              {"instanceStartMs", member.instanceStartMs}};
    return json.dump();
}

auto decodeMember(const std::string_view text) -> std::optional<Member>
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto address = event::parseEndpoint(json.at("address").get<std::string>());
        if (!address) {
            return std::nullopt;
        }
        return Member{json.at("name").get<std::string>(),
                      json.at("incarnation").get<std::uint64_t>(),
                      *address,
                      json.at("domain").get<std::string>(),
                      json.at("service").get<std::string>(),
                      json.at("instance").get<std::string>(),
                      json.at("slots").get<std::uint32_t>(),
                      json.at("accepting").get<bool>(),
                      std::chrono::milliseconds{json.at("coldForMs").get<std::int64_t>()},
                      json.value("version", std::uint64_t{0}),
                      json.value("instanceStartMs", std::uint64_t{0})};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::mesh
