#include "instance_departure.hpp"

#include <jasminelatch/core/json_fields.hpp>

#include <nlohmann/json.hpp>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Largest departure in bytes, far above what a node writes. */
constexpr std::size_t maxDepartureBytes = 4096;

} // namespace internal

auto covers(const InstanceDeparture &departure, const InstanceReport &report) -> bool
{
    const auto isSame =
        report.id == departure.instanceId && (report.startTimeMs == 0 || report.startTimeMs == departure.startTimeMs);
    return isSame || isOfEarlierStart(departure, report);
}

auto isOfEarlierStart(const InstanceDeparture &departure, const InstanceReport &report) -> bool
{
    return report.startTimeMs != 0 && report.startTimeMs < departure.startTimeMs;
}

auto encodeDeparture(const InstanceDeparture &departure) -> std::string
{
    const nlohmann::json json{{"instance", departure.instanceId},
                              {"instanceStartMs", departure.startTimeMs},
                              {"recordedMs", departure.recordedMs}};
    return json.dump();
}

auto decodeDeparture(const std::string_view text) -> std::optional<InstanceDeparture>
{
    if (text.size() > internal::maxDepartureBytes) {
        return std::nullopt;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        InstanceDeparture departure{json.at("instance").get<std::string>(),
                                    readUnsigned(json, "instanceStartMs", maxUnixMilliseconds),
                                    readUnsigned(json, "recordedMs", maxUnixMilliseconds)};
        return departure.instanceId.empty() ? std::nullopt : std::optional{std::move(departure)};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace jasminelatch::mesh
