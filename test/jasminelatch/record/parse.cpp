#include <jasminelatch/record/parse.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::record {

namespace internal {

auto pointersOf(const Findings &findings) -> std::set<std::string>
{
    std::set<std::string> pointers;
    for (const auto &finding : findings) {
        pointers.insert(finding.pointer);
    }
    return pointers;
}

auto validKind() -> nlohmann::json
{
    return {{"schema", 1},
            {"record", "kind"},
            {"name", "stock"},
            {"service", "inventory"},
            {"method", "GET"},
            {"path", "/stock"},
            {"importance", 0}};
}

} // namespace internal

TEST(Parse, ReadsBothSchemaVersionsAlike)
{
    Findings findings;
    const auto records = parseFile(R"([
        // the same account and kind in both forms
        {"schema": 1, "record": "account", "name": "a", "rate": 2.5, "burst": 4},
        {"schema": 2, "record": "account", "name": "b", "limits": {"rate_per_second": 2.5, "burst": 4}},
        {"schema": 1, "record": "kind", "name": "k", "service": "s", "method": "GET", "path": "/p", "importance": 2,
         "open": true, "idempotent": false, "weight": 3, "timeout_ms": 1.5},
        {"schema": 2, "record": "kind", "name": "l", "route": {"service": "s", "method": "GET", "path": "/q",
         "open": true}, "policy": {"importance": 2, "idempotent": false, "weight": 3, "timeout_ms": 1.5}}
    ])",
                                   "f",
                                   findings);
    ASSERT_EQ(toText(findings), "");
    ASSERT_EQ(records.size(), 4U);
    const auto &first = std::get<Account>(records[0].body);
    const auto &second = std::get<Account>(records[1].body);
    EXPECT_EQ(std::tie(first.rate, first.burst), std::tie(second.rate, second.burst));
    const auto &kind = std::get<Kind>(records[2].body);
    const auto &newer = std::get<Kind>(records[3].body);
    EXPECT_EQ(std::tie(kind.service, kind.method, kind.importance, kind.open, kind.idempotent, kind.weight),
              std::tie(newer.service, newer.method, newer.importance, newer.open, newer.idempotent, newer.weight));
    EXPECT_EQ(kind.timeout, Duration{1500});
    EXPECT_EQ(newer.timeout, kind.timeout);
}

TEST(Parse, ReportsEveryFaultWithItsPlace)
{
    Findings findings;
    const auto records = parseFile(R"([
        {"schema": 1, "record": "account", "name": "a b", "rate": 0, "burst": "4", "extra": 1},
        {"schema": 3, "record": "kind", "name": "k"},
        {"schema": 1, "record": "song", "name": "k"},
        {"schema": 2, "record": "account", "name": "c", "limits": {"rate_per_second": 1}},
        17
    ])",
                                   "f",
                                   findings);
    EXPECT_TRUE(records.empty());
    const std::set<std::string> expected{
        "/0/name", "/0/rate", "/0/burst", "/0/extra", "/1/schema", "/2/record", "/3/limits/burst", "/4"};
    EXPECT_EQ(internal::pointersOf(findings), expected);
}

TEST(Parse, NamesTheLineOfASyntaxErrorAndFieldsThatStandTwice)
{
    Findings findings;
    EXPECT_TRUE(parseFile("{\n  \"schema\": 1,\n  oops\n}", "f", findings).empty());
    EXPECT_TRUE(parseFile(R"({"schema": 1, "schema": 2})", "g", findings).empty());
    ASSERT_EQ(findings.size(), 2U);
    EXPECT_EQ(findings[0].pointer, "line 3");
    EXPECT_EQ(findings[1].reason, "field 'schema' stands twice in one object");
}

TEST(Parse, ChecksRecordsAgainstEachOther)
{
    Findings findings;
    const std::string hash(64, 'a');
    const auto records = parseFile(R"([
        {"schema": 1, "record": "key", "name": "k", "hash": ")"
                                       + hash + R"(", "account": "nobody"},
        {"schema": 1, "record": "kind", "name": "a", "service": "s", "method": "GET", "path": "/", "importance": 0},
        {"schema": 1, "record": "kind", "name": "b", "service": "s", "method": "GET", "path": "/", "importance": 0},
        {"schema": 1, "record": "kind", "name": "b", "service": "s", "method": "PUT", "path": "/", "importance": 0}
    ])",
                                   "f",
                                   findings);
    ASSERT_EQ(toText(findings), "");
    checkUnique(records, findings);
    checkTogether(records, findings);
    EXPECT_EQ(internal::pointersOf(findings), (std::set<std::string>{"/0/account", "/2", "/3/name"}));
}

RC_GTEST_PROP(Parse, ReportsEachOfSeveralFaultsAtOnce, ())
{
    const std::vector<std::pair<std::string, nlohmann::json>> faults{{"name", 5},
                                                                     {"service", ""},
                                                                     {"method", "get"},
                                                                     {"path", "stock"},
                                                                     {"importance", 4},
                                                                     {"open", "yes"},
                                                                     {"idempotent", 1},
                                                                     {"weight", -1},
                                                                     {"timeout_ms", 0},
                                                                     {"colour", "blue"}};
    auto json = internal::validKind();
    std::set<std::string> expected;
    for (const auto &[field, value] : faults) {
        if (*rc::gen::arbitrary<bool>()) {
            json[field] = value;
            expected.insert("/" + field);
        }
    }
    Findings findings;
    const auto parsed = parseRecord(json, {"f", ""}, findings);
    RC_ASSERT(internal::pointersOf(findings) == expected);
    RC_ASSERT(parsed.has_value() == expected.empty());
}

} // namespace jasminelatch::record
