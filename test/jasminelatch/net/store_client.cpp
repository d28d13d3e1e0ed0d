#include <jasminelatch/net/store_client.hpp>

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace jasminelatch::net {

TEST(StoreClient, WritesRequestsAsHttp)
{
    const store::Request put{
        .operation = store::Operation::Put, .key = "a/b", .value = "v", .expected = 7, .timeToLive = 5s};
    const auto call = toHttpCall("http://s", put, 1s);
    EXPECT_EQ(call.method, "PUT");
    EXPECT_EQ(call.url, "http://s/v1/kv/a/b?expected=7&ttl_us=5000000");
    EXPECT_EQ(call.body, "v");
    const store::Request watch{.operation = store::Operation::Watch, .key = "a/", .after = 3, .wait = 2s};
    const auto waiting = toHttpCall("http://s", watch, 1s);
    EXPECT_EQ(waiting.url, "http://s/v1/watch?prefix=a/&after=3&wait_us=2000000");
    EXPECT_EQ(waiting.timeout, 3s);
}

TEST(StoreClient, TakesAnythingUnexpectedForUnknown)
{
    const store::Request get{.operation = store::Operation::Get, .key = "a"};
    EXPECT_EQ(toAnswer(get, {HttpEnd::Lost, {}}).status, store::Status::Unknown);
    EXPECT_EQ(toAnswer(get, {HttpEnd::Answered, {500, {}, "{}"}}).status, store::Status::Unknown);
    EXPECT_EQ(toAnswer(get, {HttpEnd::Answered, {200, {}, "rubbish"}}).status, store::Status::Unknown);
    EXPECT_EQ(toAnswer(get, {HttpEnd::Answered, {200, {}, R"({"key":1})"}}).status, store::Status::Unknown);
    EXPECT_EQ(toAnswer(get, {HttpEnd::Answered, {404, {}, ""}}).status, store::Status::NotFound);
}

TEST(StoreClient, ReturnsThePresentEntryOnConflict)
{
    const store::Request put{.operation = store::Operation::Put, .key = "a"};
    const auto answer = toAnswer(put, {HttpEnd::Answered, {409, {}, R"({"key":"a","value":"v","revision":9})"}});
    EXPECT_EQ(answer.status, store::Status::Conflict);
    ASSERT_EQ(answer.entries.size(), 1U);
    EXPECT_EQ(answer.entries[0].revision, 9U);
}

} // namespace jasminelatch::net
