#include "instance_departure.hpp"

#include <jasminelatch/core/json_fields.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Largest serialized departures in bytes, far above what a node writes. */
constexpr std::size_t maxDepartureBytes = 16384;

/*! @brief Field with the departures before the latest one. */
constexpr auto *earlierField = "earlier";

auto encodeDeparture(const InstanceDeparture &departure) -> nlohmann::json
{
    return {{"instance", departure.instanceId},
            {"instanceStartMs", departure.startTimeMs},
            {"recordedMs", departure.recordedMs}};
}

auto decodeDeparture(const nlohmann::json &json) -> InstanceDeparture
{
    InstanceDeparture departure{json.at("instance").get<std::string>(),
                                readUnsigned(json, "instanceStartMs", maxUnixMilliseconds),
                                readUnsigned(json, "recordedMs", maxUnixMilliseconds)};
    if (departure.instanceId.empty()) {
        throw std::invalid_argument{"departure names no instance"};
    }
    return departure;
}

} // namespace internal

InstanceDepartures::InstanceDepartures(const Settings settings)
    : settings_{settings}
{
}

auto InstanceDepartures::add(InstanceDeparture departure) -> void
{
    const auto isKnown = std::ranges::any_of(entries_, [&](const auto &entry) {
        return entry.instanceId == departure.instanceId
            && (departure.startTimeMs == 0 || entry.startTimeMs == departure.startTimeMs);
    });
    if (isKnown) {
        return;
    }
    std::erase_if(entries_, [&](const auto &entry) {
        return entry.instanceId == departure.instanceId && entry.startTimeMs == 0;
    });
    const auto after =
        std::ranges::upper_bound(entries_, departure.recordedMs, std::less{}, &InstanceDeparture::recordedMs);
    entries_.insert(after, std::move(departure));
    const auto latestMs = entries_.back().recordedMs;
    std::erase_if(entries_, [&](const auto &entry) { return entry.recordedMs + settings_.memoryMs < latestMs; });
    if (entries_.size() > settings_.maxCount) {
        entries_.erase(entries_.begin());
    }
}

auto InstanceDepartures::contains(const InstanceReport &report) const -> bool
{
    return std::ranges::any_of(entries_, [&](const auto &entry) {
        return entry.instanceId == report.id && (report.startTimeMs == 0 || report.startTimeMs == entry.startTimeMs);
    });
}

auto InstanceDepartures::mayPrecede(const InstanceReport &report) const -> bool
{
    return report.startTimeMs != 0 && std::ranges::any_of(entries_, [&](const auto &entry) {
               const auto isWithoutStart = entry.instanceId == report.id && entry.startTimeMs == 0;
               return isWithoutStart || report.startTimeMs < entry.startTimeMs;
           });
}

auto InstanceDepartures::entries() const noexcept -> std::span<const InstanceDeparture>
{
    return entries_;
}

auto encodeDepartures(const std::span<const InstanceDeparture> departures) -> std::string
{
    auto json = internal::encodeDeparture(departures.back());
    if (departures.size() > 1) {
        auto &earlier = json[internal::earlierField] = nlohmann::json::array();
        for (const auto &departure : departures.first(departures.size() - 1)) {
            earlier.push_back(internal::encodeDeparture(departure));
        }
    }
    return json.dump();
}

auto decodeDepartures(const std::string_view text) -> std::optional<std::vector<InstanceDeparture>>
{
    if (text.size() > internal::maxDepartureBytes) {
        return std::nullopt;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        std::vector<InstanceDeparture> departures;
        if (const auto earlier = json.find(internal::earlierField); earlier != json.end()) {
            std::ranges::transform(*earlier, std::back_inserter(departures), internal::decodeDeparture);
        }
        departures.push_back(internal::decodeDeparture(json));
        return departures;
    } catch (const std::exception &) {
        // The caller logs the item as unreadable.
        return std::nullopt;
    }
}

} // namespace jasminelatch::mesh
