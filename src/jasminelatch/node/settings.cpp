#include "settings.hpp"

#include <jasminelatch/record/reader.hpp>

#include <array>
#include <span>
#include <utility>

namespace jasminelatch::node {

namespace internal {

constexpr record::Range<std::int64_t> portRange{1, 65535};
constexpr record::Range<std::int64_t> bodyRange{1024, std::int64_t{64} << 20U};
constexpr record::Range<std::int64_t> connectionRange{1, 100'000};
constexpr record::Range<std::int64_t> nodeRange{1, 100'000};

template<typename Value>
struct Choice {
    std::string_view name;
    Value value;
};

constexpr std::array admissionChoices{Choice<admission::Mode>{"adaptive", admission::Mode::Adaptive},
                                      Choice<admission::Mode>{"first_come", admission::Mode::FirstCome},
                                      Choice<admission::Mode>{"off", admission::Mode::Off}};
constexpr std::array quotaChoices{Choice<quota::Mode>{"escrow", quota::Mode::Escrow},
                                  Choice<quota::Mode>{"static_split", quota::Mode::StaticSplit},
                                  Choice<quota::Mode>{"off", quota::Mode::Off}};
constexpr std::array retryChoices{Choice<retry::Mode>{"ledger", retry::Mode::Ledger},
                                  Choice<retry::Mode>{"copied_budget", retry::Mode::CopiedBudget}};

template<typename Value, std::size_t Size>
auto choose(record::Reader &reader, const std::string_view field, const std::array<Choice<Value>, Size> &choices)
    -> Value
{
    const auto name = reader.text(field, std::string{choices.front().name});
    for (const auto &choice : choices) {
        if (choice.name == name) {
            return choice.value;
        }
    }
    reader.report(field, "unknown mode \"" + name + "\"");
    return choices.front().value;
}

auto port(record::Reader &reader, const std::string_view field) -> std::uint16_t
{
    return static_cast<std::uint16_t>(reader.requiredInteger(field, portRange));
}

auto readModes(record::Reader reader, Settings &settings) -> void
{
    settings.admission = choose(reader, "admission", admissionChoices);
    settings.quota = choose(reader, "quota", quotaChoices);
    settings.retry = choose(reader, "retry", retryChoices);
    settings.staticNodes = static_cast<std::uint32_t>(reader.integer("static_nodes", nodeRange, 1));
    reader.finish();
}

auto readPorts(record::Reader reader, Settings &settings) -> void
{
    settings.host = reader.text("host", settings.host);
    settings.callerPort = port(reader, "callers");
    settings.localPort = port(reader, "local");
    settings.operatorPort = port(reader, "operators");
    reader.finish();
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
    settings.address = NodeAddress{reader.requiredText("address")};
    settings.listen = reader.text("listen", "");
    settings.domain = FailureDomain{reader.requiredText("failure_domain")};
    settings.service = ServiceName{reader.requiredText("service")};
    settings.store = reader.requiredText("store");
    settings.fleetSecret = reader.requiredText("fleet_secret");
    settings.maxBody = static_cast<std::size_t>(
        reader.integer("max_body_bytes", internal::bodyRange, static_cast<std::int64_t>(settings.maxBody)));
    settings.maxConnections = static_cast<std::uint32_t>(
        reader.integer("max_connections", internal::connectionRange, settings.maxConnections));
    internal::readPorts(reader.section("ports"), settings);
    internal::readModes(reader.section("modes"), settings);
    reader.finish();
    if (findings.size() > before) {
        return std::nullopt;
    }
    return settings;
}

} // namespace jasminelatch::node
