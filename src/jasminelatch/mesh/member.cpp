#include "member.hpp"

#include <jasminelatch/core/json_fields.hpp>

#include <nlohmann/json.hpp>

#include <tuple>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Largest record in bytes, far above what a node writes. */
constexpr std::size_t maxRecordBytes = 16384;
constexpr std::uint64_t maxSlots = 1'000'000;
constexpr std::uint64_t maxColdStartMilliseconds = 3'600'000;

} // namespace internal

auto isOlder(const Member &left, const Member &right) -> bool
{
    return std::tie(left.incarnation, left.version) < std::tie(right.incarnation, right.version);
}

auto isEndedButLater(const Member &own, const Member &other) -> bool
{
    const auto isLater =
        other.name == own.name ? other.incarnation > own.incarnation : other.incarnation >= own.incarnation;
    return isLater && other.address == own.address;
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
    if (text.size() > internal::maxRecordBytes) {
        return std::nullopt;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        const auto address = event::parseEndpoint(json.at("address").get<std::string>());
        if (!address) {
            return std::nullopt;
        }
        return Member{json.at("name").get<std::string>(),
                      readUnsigned(json, "incarnation", maxUnixMilliseconds),
                      *address,
                      json.at("domain").get<std::string>(),
                      json.at("service").get<std::string>(),
                      json.at("instance").get<std::string>(),
                      static_cast<std::uint32_t>(readUnsigned(json, "slots", internal::maxSlots)),
                      json.at("accepting").get<bool>(),
                      std::chrono::milliseconds{readUnsigned(json, "coldForMs", internal::maxColdStartMilliseconds)},
                      readOptionalUnsigned(json, "version", maxJsonInteger),
                      readOptionalUnsigned(json, "instanceStartMs", maxUnixMilliseconds)};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::mesh
