#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <platform/configuration.hpp>
#include <platform/dialect.hpp>
#include <platform/instance_report.hpp>
#include <platform/names.hpp>
#include <platform/store_protocol.hpp>
#include <rapidcheck/gtest.h>

namespace jasminelatch::platform {

namespace {

using namespace std::chrono_literals;

const std::string configurationText = R"({"version":"0000001c","later":1,"resources":[
 {"resource-kind":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","path-prefix":"/a/",
  "route-type":"idempotent","timeout":"800ms","target-latency":"1.5s","priority":2,
  "traffic-split":[{"service":"one","weight":90},{"service":"two","weight":10}],"max-attempts":2}},
 {"resource-kind":"routes","metadata":{"name":"r-2"},"spec":{"host":"a.example","path-prefix":"/b/",
  "route-type":"non_idempotent","timeout":"1s","target-latency":"1500ms","priority":0,"service":"one",
  "max-attempts":2,"allow-anonymous":true}},
 {"resource-kind":"services","metadata":{"name":"one"},"spec":{"max-connections":820}},
 {"resource-kind":"tenants","metadata":{"name":"club"},"spec":{"api-keys":["k1","k2"],"priority":1,
  "rate-per-s":139,"burst":20}},
 {"resource-kind":"novelty","metadata":{"name":"x"},"spec":{}},
 {"resource-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":1000,
  "header-timeout":"3000ms","idle-timeout":"15000ms"}}]})";

auto heartbeat(const nlohmann::json &body) -> mesh::Request
{
    return {"POST", "/v1/Instances.Heartbeat/i-1", {}, body.dump()};
}

auto goodHeartbeat() -> nlohmann::json
{
    return {{"service", "one"},
            {"slots", 12},
            {"state", "ready"},
            {"cold-left", "1500ms"},
            {"sequence", 4},
            {"born", 1700}};
}

} // namespace

TEST(DecodeConfiguration, DecodesAllResourceKinds)
{
    std::string error;
    const auto configuration = decodeConfiguration(configurationText, error);
    ASSERT_TRUE(configuration) << error;
    EXPECT_EQ(configuration->version, 0x1cU);
    ASSERT_EQ(configuration->routes.size(), 2U);
    EXPECT_TRUE(configuration->routes[0].idempotent);
    EXPECT_EQ(configuration->routes[0].services[1].weight, 10U);
    EXPECT_EQ(configuration->routes[0].latencyTarget, Duration{1500ms});
    EXPECT_FALSE(configuration->routes[1].idempotent);
    EXPECT_TRUE(configuration->routes[1].open);
    EXPECT_EQ(configuration->accounts.front().keys.size(), 2U);
    EXPECT_EQ(configuration->limits.maxBodyBytes, 1000U);
}

// An unknown route type refused the whole configuration, and an upload taken for idempotent would be repeated.
TEST(DecodeConfiguration, AnUploadRunsAtMostOnce)
{
    auto text = configurationText;
    text.replace(text.find("non_idempotent"), 14, "upload");
    std::string error;
    const auto configuration = decodeConfiguration(text, error);
    ASSERT_TRUE(configuration) << error;
    EXPECT_FALSE(configuration->routes[1].idempotent);
    EXPECT_FALSE(configuration->routes[1].download);
}

TEST(DecodeConfiguration, DecodesTheColdStartOfAService)
{
    auto text = configurationText;
    const std::string spec = R"("max-connections":820)";
    text.insert(text.find(spec) + spec.size(), R"(,"cold-start":"3s","cold-per-s":13.5)");
    std::string error;
    const auto configuration = decodeConfiguration(text, error);
    ASSERT_TRUE(configuration) << error;
    EXPECT_EQ(configuration->services.front().coldStart, Duration{3s});
    EXPECT_EQ(configuration->services.front().coldRatePerSecond, 13.5);
}

TEST(DecodeConfiguration, RejectsUnknownRouteType)
{
    auto text = configurationText;
    text.replace(text.find("non_idempotent"), 14, "whatever");
    std::string error;
    EXPECT_FALSE(decodeConfiguration(text, error));
    EXPECT_NE(error.find("whatever"), std::string::npos);
}

RC_GTEST_PROP(DecodeConfiguration, TruncatedOrCorruptedTextYieldsAnError, ())
{
    auto text = configurationText;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    std::string error;
    RC_ASSERT(decodeConfiguration(text, error).has_value() || !error.empty());
}

TEST(DecodeReport, DecodesHeartbeat)
{
    std::string error;
    const auto report = decodeReport(heartbeat(goodHeartbeat()), error);
    ASSERT_TRUE(report) << error;
    EXPECT_EQ(report->id, "i-1");
    EXPECT_EQ(report->slots, 12U);
    EXPECT_EQ(report->startTimeMs, 1700U);
    EXPECT_EQ(report->coldStartRemaining, Duration{1500ms});
}

TEST(DecodeReport, RejectsHeartbeatWithInvalidField)
{
    const std::vector<std::pair<std::string, nlohmann::json>> bad{{"state", "sleeping"},
                                                                  {"state", 3},
                                                                  {"slots", "12"},
                                                                  {"slots", 0},
                                                                  {"slots", -1},
                                                                  {"sequence", 1.5},
                                                                  {"born", "1700"},
                                                                  {"service", nullptr},
                                                                  {"cold-left", "soon"}};
    for (const auto &[field, value] : bad) {
        auto body = goodHeartbeat();
        body[field] = value;
        std::string error;
        EXPECT_FALSE(decodeReport(heartbeat(body), error)) << field;
        EXPECT_FALSE(error.empty());
    }
}

TEST(DecodeReport, DeregistrationNeedsNoBody)
{
    std::string error;
    const auto report = decodeReport({"POST", "/v1/Instances.Deregister/i-1", {}, {}}, error);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, mesh::InstanceState::Gone);
}

TEST(Dialect, RemovesApiKeyAndOverwritesForgedFields)
{
    const auto dialect = makeDialect();
    mesh::Request request{"GET",
                          "/a/",
                          {{"Host", "a.example"},
                           {"authorization", "bearer k1"},
                           {"tenant", "forged"},
                           {"Caller-Service", "forged"},
                           {"Deadline-Ms", "1500"},
                           {"Attempt-Id", "id-1"}},
                          {}};
    const auto call = dialect.readCall(request);
    EXPECT_EQ(call.key, "k1");
    EXPECT_EQ(call.attemptId, "id-1");
    EXPECT_EQ(call.timeLeft, Duration{1500ms});
    for (const auto &field : dialect.reservedFields) {
        mesh::removeField(request.fields, field);
    }
    mesh::HopRequest hop;
    hop.account = "club";
    hop.caller = "catalogue";
    hop.instanceId = "i-1";
    dialect.addForwardingFields(request, hop, 700ms);
    EXPECT_EQ(mesh::findField(request.fields, "Authorization"), nullptr);
    EXPECT_EQ(*mesh::findField(request.fields, "Tenant"), "club");
    EXPECT_EQ(*mesh::findField(request.fields, "Caller-Service"), "catalogue");
    EXPECT_EQ(*mesh::findField(request.fields, "Deadline-Ms"), "700");
    EXPECT_EQ(*mesh::findField(request.fields, "Target-Instance"), "i-1");
    EXPECT_EQ(*mesh::findField(request.fields, "Attempt-Id"), "id-1");
}

TEST(Dialect, ReadsTheConditionOfAnInstance)
{
    const auto dialect = makeDialect();
    std::string error;
    const auto limited =
        dialect.readCondition({503, {}, {{"server-limit", "12.5"}, {"Server-Leaving", "1"}}, {}}, error);
    ASSERT_TRUE(limited);
    EXPECT_EQ(limited->rateLimit, 12.5);
    EXPECT_TRUE(limited->isLeaving);
    const auto plain = dialect.readCondition({200, {}, {{"Server-Leaving", "0"}}, {}}, error);
    ASSERT_TRUE(plain);
    EXPECT_FALSE(plain->rateLimit);
    EXPECT_FALSE(plain->isLeaving);
    EXPECT_TRUE(error.empty());
}

TEST(Dialect, ReportsAMalformedRateLimit)
{
    const auto dialect = makeDialect();
    for (const std::string text : {"", "-1", "nan", "inf", "12 a second", "1e999"}) {
        std::string error;
        EXPECT_FALSE(dialect.readCondition({200, {}, {{"Server-Limit", text}}, {}}, error)) << text;
        EXPECT_FALSE(error.empty()) << text;
    }
}

// The last figure was taken for the slots, so that an instance of 52 slots got 250 requests at once.
TEST(DecodeHealth, SlotsAreTheThirdFigureOfTheLoad)
{
    const auto health = [](const std::string &load) {
        return decodeHealth({200, {}, {{"Instance-Id", "i-1"}, {"Instance-Load", load}}, {}});
    };
    ASSERT_TRUE(health("3,0,52"));
    EXPECT_EQ(health("3,0,52")->slots, 52U);
    EXPECT_EQ(health("3,0,52,250")->slots, 52U);
    for (const std::string text : {"", "52", "3,0", "3,0,0", "3,,52", "3,0,52,", "3,0,x", "3,0,52 ", "-3,0,52"}) {
        EXPECT_FALSE(health(text)) << text;
    }
}

TEST(Dialect, ReadsHowSlowAnInstanceIs)
{
    const auto dialect = makeDialect();
    std::string error;
    const auto slowness = [&](const std::string &load) {
        return dialect.readCondition({200, {}, {{"Instance-Load", load}}, {}}, error)->slowness;
    };
    EXPECT_EQ(slowness("3,0,52,250"), 2.5);
    EXPECT_FALSE(slowness("3,0,52"));
    EXPECT_FALSE(slowness("3,0,52,0"));
    EXPECT_FALSE(slowness("3,0,52,slow"));
}

TEST(StoreProtocol, DecodesItemsAndChanges)
{
    const auto protocol = makeStoreProtocol();
    const auto items = protocol.readPage(
        {200, "", {}, R"({"items":[{"key":"a","value":"bm9kZS0x","revision":3}],"has-more":true,"current-rev":9})"});
    ASSERT_TRUE(items);
    EXPECT_EQ(items->items.front().value, "node-1");
    EXPECT_TRUE(items->hasMore);
    const auto changes =
        protocol.readPage({200, "", {}, R"({"events":[{"key":"a","revision":4,"removed":true}],"current-rev":4})"});
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes->items.front().removed);
    EXPECT_FALSE(protocol.readPage({200, "", {}, R"({"items":[{"key":"a"}]})"}));
    EXPECT_FALSE(protocol.readPage({200, "", {}, "<html>"}));
}

TEST(StoreProtocol, ReadsTheEraOfTheStore)
{
    const auto protocol = makeStoreProtocol();
    EXPECT_EQ(protocol.readEra({410, "", {{"store-era", "3"}}, {}}), 3U);
    EXPECT_FALSE(protocol.readEra({200, "", {}, {}}));
    for (const std::string text : {"", "-1", "3x", "99999999999999999999"}) {
        EXPECT_FALSE(protocol.readEra({200, "", {{"Store-Era", text}}, {}})) << text;
    }
}

TEST(StoreProtocol, EncodesValuesAsBase64)
{
    const auto request = makeStoreProtocol().put("a/b", "node-1", 77);
    const auto body = nlohmann::json::parse(request.body);
    EXPECT_EQ(body.at("puts").at(0).at("value"), "bm9kZS0x");
    EXPECT_EQ(body.at("puts").at(0).at("lease"), 77);
}

TEST(StoreProtocol, AnOddItemDoesNotHideTheRestOfItsPage)
{
    const std::string nested(20000, '[');
    const auto closing = std::string(nested.size(), ']');
    const auto protocol = makeStoreProtocol();
    for (const auto &odd : {std::string{R"({"key":"b","revision":5,"value":"?"})"},
                            std::string{R"({"key":"b","revision":5})"},
                            std::string{R"({"key":7,"revision":5,"value":"Zg=="})"},
                            std::string{R"({"key":"b","revision":1e300,"value":"Zg=="})"},
                            std::string{R"({"key":"b","revision":-1,"value":"Zg=="})"},
                            std::string{R"({"key":"b","revision":5,"removed":"no","value":"Zg=="})"},
                            R"({"key":"b","revision":5,"value":)" + nested + closing + "}",
                            nested + closing}) {
        for (const std::string list : {"items", "events"}) {
            const auto page =
                protocol.readPage({200,
                                   "",
                                   {},
                                   "{\"" + list + R"(":[{"key":"a","revision":4,"value":"Zg=="},)" + odd
                                       + R"(,{"key":"c","revision":6,"value":"Zg=="}],"current-rev":9})"});
            ASSERT_TRUE(page) << odd.substr(0, 60);
            ASSERT_EQ(page->items.size(), 2U) << odd.substr(0, 60);
            EXPECT_EQ(page->items.back().key, "c");
            EXPECT_EQ(page->unreadable, 1U);
        }
    }
}

TEST(DecodeReport, RejectsValuesThatNoInstanceSends)
{
    std::string error;
    ASSERT_TRUE(decodeReport(heartbeat(goodHeartbeat()), error)) << error;
    const auto tooLarge = std::uint64_t{1} << 60;
    for (const auto &[field, value] : std::vector<std::pair<std::string, nlohmann::json>>{
             {"sequence", tooLarge},
             {"sequence", 1e30},
             {"born", tooLarge},
             {"slots", tooLarge},
             {"slots", -1},
             {"cold-left", "1e300s"},
             {"address", "10.0.0.1:70000"},
             {"address", "10.0.0.1:0"},
             {"address", 7},
             {"state", nlohmann::json::array({nlohmann::json::array()})}}) {
        auto body = goodHeartbeat();
        body[field] = value;
        EXPECT_FALSE(decodeReport(heartbeat(body), error)) << body;
    }
    const std::string nested(20000, '[');
    for (const auto &body : {nested,
                             nested + std::string(nested.size(), ']'),
                             R"({"service":)" + nested,
                             R"({"sequence":)" + std::string(500, '9') + "}"}) {
        EXPECT_FALSE(decodeReport({"POST", "/v1/Instances.Heartbeat/i-1", {}, body}, error));
        EXPECT_FALSE(decodeReport({"POST", "/v1/Instances.Deregister/i-1", {}, body}, error));
    }
    EXPECT_FALSE(decodeReport(
        {"POST", "/v1/Instances.Deregister/i-1", {}, R"({"born":)" + std::to_string(tooLarge) + "}"}, error));
}

} // namespace jasminelatch::platform
