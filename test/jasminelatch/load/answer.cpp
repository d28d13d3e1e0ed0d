#include <jasminelatch/load/answer.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace jasminelatch;
using namespace jasminelatch::load;

namespace {

auto answerTo(const std::string &path, const std::string &body) -> net::HttpResponse
{
    const auto content = "id-1shop" + path + body + "nested" + "xx";
    const nlohmann::json json{{"request_id", "id-1"},
                              {"service", "shop"},
                              {"path", path},
                              {"body", body},
                              {"nested", "nested"},
                              {"filling", "xx"},
                              {"checksum", std::hash<std::string>{}(content)}};
    return {200, {}, json.dump()};
}

} // namespace

TEST(Answer, IsWholeOnlyForItsOwnRequest)
{
    const auto response = answerTo("/orders/r1", "request 1");
    EXPECT_TRUE(isWhole(response, "/orders/r1", "request 1"));
    EXPECT_FALSE(isWhole(response, "/orders/r2", "request 1"));
    EXPECT_FALSE(isWhole(response, "/orders/r1", "request 2"));
}

TEST(Answer, IsNotWholeWhenCutOrChanged)
{
    auto response = answerTo("/orders/r1", "");
    auto cut = response;
    cut.body.pop_back();
    EXPECT_FALSE(isWhole(cut, "/orders/r1", ""));
    auto changed = response;
    changed.body.replace(changed.body.find("nested\":\"nested") + 9, 6, "other!");
    EXPECT_FALSE(isWhole(changed, "/orders/r1", ""));
    response.status = 503;
    EXPECT_FALSE(isWhole(response, "/orders/r1", ""));
}

TEST(Answer, RefusalsCarryReasonAndWait)
{
    const net::HttpResponse refusal{503, {{"X-Refusal", "shed"}}, R"({"retry_after_ms": 250})"};
    EXPECT_EQ(failureReason({net::HttpEnd::Answered, refusal}), "shed");
    EXPECT_EQ(retryAfter(refusal), std::chrono::milliseconds{250});
    EXPECT_EQ(failureReason({net::HttpEnd::TimedOut, {}}), "timed_out");
    EXPECT_EQ(retryAfter({503, {}, "not JSON"}), Duration::zero());
}
