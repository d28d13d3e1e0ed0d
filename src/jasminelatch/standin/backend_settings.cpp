#include "backend_settings.hpp"

#include <jasminelatch/record/reader.hpp>

#include <utility>

namespace jasminelatch::standin {

namespace internal {

constexpr record::Range<std::int64_t> portRange{1, 65535};
constexpr record::Range<std::int64_t> countRange{0, 1'000'000};
constexpr record::Range<Duration> workRange{Duration::zero(), std::chrono::minutes{10}};

auto readCall(record::Reader reader) -> NestedCall
{
    NestedCall call;
    call.method = reader.text("method", call.method);
    call.path = reader.requiredText("path");
    reader.finish();
    return call;
}

auto readRoute(record::Reader reader) -> Route
{
    Route route;
    route.path = reader.requiredText("path");
    route.work = reader.milliseconds("work_ms", workRange, route.work);
    for (auto &call : reader.sections("calls")) {
        route.calls.push_back(readCall(std::move(call)));
    }
    reader.finish();
    return route;
}

auto count(record::Reader &reader, const std::string_view field, const std::uint32_t fallback) -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.integer(field, countRange, fallback));
}

} // namespace internal

auto parseBackendSettings(const std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<BackendSettings>
{
    const auto before = findings.size();
    const auto json = record::parseJson(text, file, findings);
    if (!json) {
        return std::nullopt;
    }
    record::Reader reader{*json, {file, ""}, findings};
    BackendSettings settings;
    settings.port = static_cast<std::uint16_t>(reader.requiredInteger("port", internal::portRange));
    settings.service = reader.requiredText("service");
    settings.node = reader.requiredText("node");
    settings.slots = internal::count(reader, "slots", settings.slots);
    settings.connections = internal::count(reader, "connections", settings.connections);
    settings.queue = internal::count(reader, "queue", settings.queue);
    settings.answerBytes = internal::count(reader, "answer_bytes", 0);
    settings.coldStart = reader.milliseconds("cold_start_ms", internal::workRange, settings.coldStart);
    for (auto &route : reader.sections("routes")) {
        settings.routes.push_back(internal::readRoute(std::move(route)));
    }
    reader.finish();
    if (findings.size() > before) {
        return std::nullopt;
    }
    return settings;
}

} // namespace jasminelatch::standin
