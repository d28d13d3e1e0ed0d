#include "record.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace jasminelatch::lease {

auto recordKey(const LeaseName &right) -> std::string
{
    return "lease/" + right.text();
}

auto parseRecord(const std::string_view value) -> std::optional<Record>
{
    try {
        return nlohmann::json::parse(value).get<Record>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

auto reclaim(const store::Entry &entry, std::string writeId) -> std::optional<store::Request>
{
    auto record = parseRecord(entry.value);
    if (!record) {
        return std::nullopt;
    }
    record->holder = NodeAddress{};
    record->successor = NodeAddress{};
    record->writeId = std::move(writeId);
    record->released = true;
    return store::Request{.operation = store::Operation::Put,
                          .key = entry.key,
                          .value = nlohmann::json(*record).dump(),
                          .expected = entry.revision};
}

} // namespace jasminelatch::lease
