#include "parse.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace jasminelatch::record {

namespace internal {

constexpr std::int64_t latestSchema = 2;
constexpr Range<double> rateRange{0.001, 1e7};
constexpr Range<double> burstRange{1.0, 1e7};
constexpr Range<double> weightRange{0.0, 1e6};
constexpr Range<Duration> timeoutRange{std::chrono::milliseconds{1}, std::chrono::minutes{10}};
constexpr Range<Duration> retentionRange{std::chrono::seconds{1}, std::chrono::hours{24}};
constexpr Range<std::int64_t> countRange{1, 4096};
constexpr std::size_t longestName = 128;
constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

auto isNameCharacter(const char character) -> bool
{
    constexpr std::string_view marks = "-_.";
    const bool isDigit = character >= '0' && character <= '9';
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter || marks.find(character) != std::string_view::npos;
}

auto isHexadecimal(const std::string_view text) -> bool
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto readName(Reader &reader, const std::string_view field) -> std::string
{
    auto name = reader.requiredText(field);
    if (name.size() > longestName || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        reader.report(field, "must be at most 128 letters, digits, '-', '_' or '.'");
    }
    return name;
}

auto readAccount(Reader &reader, const std::int64_t schema, const std::string &name) -> Account
{
    if (schema == 1) {
        const auto rate = reader.requiredNumber("rate", rateRange);
        return {AccountName{name}, rate, reader.requiredNumber("burst", burstRange)};
    }
    auto limits = reader.section("limits");
    const auto rate = limits.requiredNumber("rate_per_second", rateRange);
    const auto burst = limits.requiredNumber("burst", burstRange);
    limits.finish();
    return {AccountName{name}, rate, burst};
}

auto readKey(Reader &reader, const std::string &name) -> Key
{
    constexpr std::size_t hashDigits = 64;
    auto hash = reader.requiredText("hash");
    if (!hash.empty() && (hash.size() != hashDigits || !isHexadecimal(hash))) {
        reader.report("hash", "must be 64 hexadecimal digits in lower case");
    }
    return {name, std::move(hash), AccountName{readName(reader, "account")}};
}

auto readRoute(Reader &reader, Kind &kind) -> void
{
    kind.service = ServiceName{readName(reader, "service")};
    kind.method = reader.requiredText("method");
    if (!kind.method.empty() && std::find(methods.begin(), methods.end(), kind.method) == methods.end()) {
        reader.report("method", "must be an HTTP method in upper case");
    }
    kind.path = reader.requiredText("path");
    if (!kind.path.empty() && (kind.path.front() != '/' || kind.path.find_first_of("?# ") != std::string::npos)) {
        reader.report("path", "must start with a slash and have no query, fragment or space");
    }
}

auto readImportance(Reader &reader, const std::string_view field) -> Importance
{
    return static_cast<Importance>(reader.requiredInteger(field, {0, leastImportant}));
}

auto readKind(Reader &reader, const std::int64_t schema, const std::string &name) -> Kind
{
    Kind kind;
    kind.name = KindName{name};
    if (schema == 1) {
        readRoute(reader, kind);
        kind.importance = readImportance(reader, "importance");
        kind.open = reader.boolean("open", kind.open);
        kind.idempotent = reader.boolean("idempotent", kind.idempotent);
        kind.weight = reader.number("weight", weightRange, kind.weight);
        kind.timeout = reader.milliseconds("timeout_ms", timeoutRange, kind.timeout);
        return kind;
    }
    auto route = reader.section("route");
    readRoute(route, kind);
    kind.open = route.boolean("open", kind.open);
    route.finish();
    auto policy = reader.section("policy");
    kind.importance = readImportance(policy, "importance");
    kind.idempotent = policy.boolean("idempotent", kind.idempotent);
    kind.weight = policy.number("weight", weightRange, kind.weight);
    kind.timeout = policy.milliseconds("timeout_ms", timeoutRange, kind.timeout);
    policy.finish();
    return kind;
}

auto readCount(Reader &reader, const std::string_view field, const std::uint32_t fallback) -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.integer(field, countRange, fallback));
}

auto readFleet(Reader &reader, const std::string &name) -> Fleet
{
    constexpr Range<std::int64_t> retryRange{0, 100};
    constexpr Range<std::int64_t> depthRange{1, 64};
    if (name != fleetName) {
        reader.report("name", "must be 'fleet'");
    }
    Fleet fleet;
    fleet.retryLimit = static_cast<std::uint32_t>(reader.integer("retry_limit", retryRange, fleet.retryLimit));
    fleet.maxDepth = static_cast<std::uint32_t>(reader.integer("max_depth", depthRange, fleet.maxDepth));
    fleet.quotaGroups = readCount(reader, "quota_groups", fleet.quotaGroups);
    fleet.quotaShares = readCount(reader, "quota_shares", fleet.quotaShares);
    fleet.orderShards = readCount(reader, "order_shards", fleet.orderShards);
    fleet.orderRetention = reader.milliseconds("order_retention_ms", retentionRange, fleet.orderRetention);
    return fleet;
}

auto latestSchemaOf(const std::string_view type) -> std::int64_t
{
    return type == accountType || type == kindType ? latestSchema : 1;
}

auto isKnownType(const std::string_view type) -> bool
{
    return type == accountType || type == keyType || type == kindType || type == fleetType;
}

auto readBody(Reader &reader, const Id &id, const std::int64_t schema) -> Body
{
    if (id.type == accountType) {
        return readAccount(reader, schema, id.name);
    }
    if (id.type == keyType) {
        return readKey(reader, id.name);
    }
    if (id.type == kindType) {
        return readKind(reader, schema, id.name);
    }
    return readFleet(reader, id.name);
}

auto readSchema(Reader &reader, const std::string_view type) -> std::optional<std::int64_t>
{
    const auto schema = reader.requiredInteger("schema", {1, std::numeric_limits<std::int32_t>::max()});
    if (schema <= latestSchemaOf(type)) {
        return schema;
    }
    reader.report("schema", "unknown schema version " + std::to_string(schema) + " of this record");
    return std::nullopt;
}

auto report(const Record &record, std::string field, std::string reason, Findings &findings) -> void
{
    findings.push_back({record.place.file, record.place.pointer + std::move(field), std::move(reason)});
}

auto where(const Record &record) -> std::string
{
    return record.place.file + (record.place.pointer.empty() ? "" : ": ") + record.place.pointer;
}

auto checkAccounts(const std::span<const Record> records, Findings &findings) -> void
{
    std::set<AccountName> accounts;
    for (const auto &record : records) {
        if (const auto *account = std::get_if<Account>(&record.body)) {
            accounts.insert(account->name);
        }
    }
    for (const auto &record : records) {
        const auto *key = std::get_if<Key>(&record.body);
        if (key != nullptr && !accounts.contains(key->account)) {
            report(record, "/account", "there is no account '" + key->account.text() + "'", findings);
        }
    }
}

auto checkRoutes(const std::span<const Record> records, Findings &findings) -> void
{
    std::map<std::tuple<ServiceName, std::string, std::string>, const Record *> routes;
    for (const auto &record : records) {
        const auto *kind = std::get_if<Kind>(&record.body);
        if (kind == nullptr) {
            continue;
        }
        const auto [position, isNew] = routes.emplace(std::tuple{kind->service, kind->method, kind->path}, &record);
        if (!isNew && position->second->id != record.id) {
            report(record, "", "kind '" + position->second->id.name + "' has the same route", findings);
        }
    }
}

} // namespace internal

auto to_json(nlohmann::json &out, const Id &id) -> void
{
    out = {{"record", id.type}, {"name", id.name}};
}

auto from_json(const nlohmann::json &in, Id &id) -> void
{
    in.at("record").get_to(id.type);
    in.at("name").get_to(id.name);
}

auto to_json(nlohmann::json &out, const Document &document) -> void
{
    out = nlohmann::json::parse(document.text);
}

auto from_json(const nlohmann::json &in, Document &document) -> void
{
    in.get_to(document.id);
    document.text = in.dump();
}

auto parseRecord(const nlohmann::json &value, const Place &place, Findings &findings) -> std::optional<Record>
{
    const auto before = findings.size();
    Reader reader{value, place, findings};
    if (!value.is_object()) {
        return std::nullopt;
    }
    const Id id{reader.requiredText("record"), internal::readName(reader, "name")};
    if (!id.type.empty() && !internal::isKnownType(id.type)) {
        reader.report("record", "must be 'account', 'key', 'kind' or 'fleet'");
    }
    const auto schema = internal::readSchema(reader, id.type);
    if (!schema || !internal::isKnownType(id.type)) {
        return std::nullopt;
    }
    auto body = internal::readBody(reader, id, *schema);
    reader.finish();
    if (findings.size() != before) {
        return std::nullopt;
    }
    return Record{id, std::move(body), {id, value.dump()}, place};
}

auto parseFile(const std::string_view text, const std::string &file, Findings &findings) -> std::vector<Record>
{
    std::vector<Record> records;
    const auto parsed = parseJson(text, file, findings);
    if (!parsed) {
        return records;
    }
    const auto add = [&](const nlohmann::json &value, const std::string &pointer) {
        if (auto record = parseRecord(value, {file, pointer}, findings)) {
            records.push_back(std::move(*record));
        }
    };
    if (!parsed->is_array()) {
        add(*parsed, "");
        return records;
    }
    for (std::size_t index = 0; index < parsed->size(); ++index) {
        add((*parsed)[index], "/" + std::to_string(index));
    }
    return records;
}

auto checkUnique(const std::span<const Record> records, Findings &findings) -> void
{
    std::map<Id, const Record *> seen;
    for (const auto &record : records) {
        const auto [position, isNew] = seen.emplace(record.id, &record);
        if (!isNew) {
            internal::report(
                record, "/name", "the same record stands in " + internal::where(*position->second), findings);
        }
    }
}

auto checkTogether(const std::span<const Record> records, Findings &findings) -> void
{
    internal::checkAccounts(records, findings);
    internal::checkRoutes(records, findings);
}

} // namespace jasminelatch::record
