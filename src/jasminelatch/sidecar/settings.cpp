#include "settings.hpp"

#include <jasminelatch/core/duration_text.hpp>
#include <jasminelatch/record/reader.hpp>

namespace jasminelatch::sidecar {

namespace internal {

constexpr record::Range<double> ratioRange{0.0, 10.0};
constexpr record::Range<double> coldOverRange{1.0, 10.0};
constexpr record::Range<double> slackRange{0.0, 1e6};
constexpr record::Range<double> memoryRange{16.0, 1e6};

auto endpoint(record::Reader &reader, const std::string_view field) -> event::Endpoint
{
    const auto text = reader.requiredText(field);
    const auto parsed = event::parseEndpoint(text);
    if (!parsed) {
        reader.report(field, "expected an address of the form ip:port, got \"" + text + "\"");
        return {};
    }
    return *parsed;
}

auto duration(record::Reader &reader, const std::string_view field) -> Duration
{
    const auto text = reader.requiredText(field);
    const auto parsed = parseDuration(text);
    if (!parsed) {
        reader.report(field, "expected a duration with the unit ms or s, got \"" + text + "\"");
        return {};
    }
    return *parsed;
}

auto learnConcurrency(record::Reader &reader, const std::string_view field) -> mesh::LearnConcurrency
{
    const auto text = reader.text(field, "stated");
    if (text == "stated") {
        return mesh::LearnConcurrency::Stated;
    }
    if (text == "always") {
        return mesh::LearnConcurrency::Always;
    }
    if (text != "never") {
        reader.report(field, "expected stated, always or never, got \"" + text + "\"");
    }
    return mesh::LearnConcurrency::Never;
}

} // namespace internal

auto parseSettings(const std::string_view text, const std::string &file, Findings &findings) -> std::optional<Settings>
{
    const auto before = findings.size();
    const auto json = record::parseJson(text, file, findings);
    if (!json) {
        return std::nullopt;
    }
    Settings settings;
    record::Reader reader{*json, {file, ""}, findings};
    settings.name = reader.requiredText("name");
    settings.domain = reader.requiredText("failure_domain");
    settings.service = reader.requiredText("service");
    settings.instance = internal::endpoint(reader, "instance");
    settings.store = internal::endpoint(reader, "store");
    settings.learnConcurrency = internal::learnConcurrency(reader, "learn_concurrency");
    auto listen = reader.section("listen");
    settings.callers = internal::endpoint(listen, "callers");
    settings.ready = internal::endpoint(listen, "ready");
    settings.reports = internal::endpoint(listen, "reports");
    settings.peers = internal::endpoint(listen, "peers");
    settings.metrics = internal::endpoint(listen, "metrics");
    listen.finish();
    auto terms = reader.section("terms");
    settings.grace = internal::duration(terms, "grace");
    settings.revocation = internal::duration(terms, "revocation");
    settings.retryRatio = terms.requiredNumber("repeat_ratio", internal::ratioRange);
    settings.retrySlack = terms.requiredNumber("repeat_slack", internal::slackRange);
    settings.retryWindow = internal::duration(terms, "repeat_window");
    settings.capOverFraction = terms.requiredNumber("cap_over_part", internal::ratioRange);
    settings.capWindow = internal::duration(terms, "cap_window");
    settings.capExcessRequests = terms.requiredNumber("cap_excess", internal::slackRange);
    settings.coldOverFactor = terms.number("cold_over", internal::coldOverRange, settings.coldOverFactor);
    settings.coldSlackRequests = terms.number("cold_slack", internal::slackRange, settings.coldSlackRequests);
    terms.finish();
    auto limits = reader.section("limits");
    const auto megabytes = limits.requiredNumber("memory_mb", internal::memoryRange);
    settings.memoryBytes = static_cast<std::size_t>(megabytes) << 20;
    limits.finish();
    reader.finish();
    if (findings.size() > before) {
        return std::nullopt;
    }
    return settings;
}

} // namespace jasminelatch::sidecar
