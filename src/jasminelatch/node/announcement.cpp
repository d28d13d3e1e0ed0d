#include "announcement.hpp"

#include <jasminelatch/record/reader.hpp>

#include <utility>

namespace jasminelatch::node {

namespace internal {

constexpr record::Range<std::int64_t> countRange{1, 1'000'000};

auto readState(record::Reader &reader) -> membership::EndpointState
{
    const auto name = reader.text("state", "ready");
    if (name == "starting") {
        return membership::EndpointState::Starting;
    }
    if (name == "draining") {
        return membership::EndpointState::Draining;
    }
    if (name != "ready") {
        reader.report("state", "must be \"starting\", \"ready\" or \"draining\"");
    }
    return membership::EndpointState::Ready;
}

} // namespace internal

auto parseAnnouncement(const std::string_view text, Findings &findings) -> std::optional<call::Announcement>
{
    const auto before = findings.size();
    const auto json = record::parseJson(text, "", findings);
    if (!json) {
        return std::nullopt;
    }
    record::Reader reader{*json, {}, findings};
    call::Announcement announcement;
    announcement.url = reader.requiredText("url");
    announcement.slots = static_cast<std::uint32_t>(reader.requiredInteger("slots", internal::countRange));
    announcement.connections = static_cast<std::uint32_t>(reader.requiredInteger("connections", internal::countRange));
    announcement.state = internal::readState(reader);
    reader.finish();
    if (findings.size() > before) {
        return std::nullopt;
    }
    return announcement;
}

} // namespace jasminelatch::node
