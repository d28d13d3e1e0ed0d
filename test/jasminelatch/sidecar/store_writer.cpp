#include "loopback.hpp"

#include <jasminelatch/sidecar/store_writer.hpp>

#include <gtest/gtest.h>
#include <platform/dialect.hpp>
#include <support/platform_store.hpp>

#include <functional>
#include <optional>
#include <string>

namespace jasminelatch::sidecar {

namespace {

using namespace std::chrono_literals;

struct StoreWriterTest: testing::Test {
    auto isStored(const std::string &key, const Duration longest = 900ms) -> bool
    {
        std::optional<bool> stored;
        writer.whenStored(key, longest, [&](const bool isStored) { stored = isStored; });
        EXPECT_TRUE(loopback.runUntil([&] { return stored.has_value(); }, longest + 500ms));
        return stored.value_or(false);
    }

    /*! @brief Value `b` in base64. */
    static constexpr auto *valueB = "Yg==";

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    Dialect dialect{platform::makeDialect()};
    Counters counters;
    DecisionLog log{{}, loopback.clock, "node"};
    StoreWriter writer{{loopback.loop, dialect, log, counters}, storeAt, {}, {[this](const StoreItem &item) {
                           if (conflictFound) {
                               conflictFound(item);
                           }
                       }}};
    std::function<void(const StoreItem &item)> conflictFound;
};

} // namespace

TEST_F(StoreWriterTest, WritesTheLastValueAndTellsWhenTheStoreHasIt)
{
    writer.put("k", "a");
    writer.put("k", "b");
    EXPECT_TRUE(isStored("k"));
    EXPECT_EQ(store.find("k"), valueB);
    const auto calls = store.calls;
    writer.put("k", "b");
    EXPECT_TRUE(isStored("k"));
    EXPECT_EQ(store.calls, calls) << "the store has it already";
}

TEST_F(StoreWriterTest, ReplacesWhatAnEarlierProcessHasWritten)
{
    store.put("k", "YQ==");
    writer.put("k", "b");
    EXPECT_TRUE(isStored("k"));
    EXPECT_EQ(store.find("k"), valueB);
    writer.remove("k");
    EXPECT_TRUE(loopback.runUntil([&] { return !store.find("k"); }, 500ms));
}

TEST_F(StoreWriterTest, TheOwnerMayAddWhatAnEarlierProcessHasWritten)
{
    store.put("k", "YQ==");
    conflictFound = [this](const StoreItem &item) {
        EXPECT_EQ(item.key, "k");
        writer.put("k", item.value + "b");
    };
    writer.put("k", "b");
    EXPECT_TRUE(isStored("k"));
    EXPECT_EQ(store.find("k"), "YWI=") << "a and b";
}

TEST_F(StoreWriterTest, RetriesWhileTheStoreIsAwayAndEndsTheWaitInTime)
{
    store.down = true;
    writer.put("k", "b");
    const auto start = loopback.clock.now();
    EXPECT_FALSE(isStored("k"));
    EXPECT_LT(loopback.clock.now() - start, 1s);
    store.down = false;
    EXPECT_TRUE(isStored("k", 2s));
}

TEST_F(StoreWriterTest, WritesAllItemsAgainAfterTheStoreHasBeenReplaced)
{
    store.keepCopy();
    writer.put("j", "b");
    writer.put("k", "b");
    EXPECT_TRUE(isStored("j"));
    EXPECT_TRUE(isStored("k"));
    store.restore();
    writer.rewriteAll();
    EXPECT_TRUE(isStored("j"));
    EXPECT_TRUE(isStored("k"));
    EXPECT_EQ(store.find("j"), valueB);
    EXPECT_EQ(store.find("k"), valueB);
}

TEST_F(StoreWriterTest, AWriteThatTheStoreExecutesLateDoesNotReplaceANewerValue)
{
    // The store executes a call without an answer if its condition still holds, here after the second write.
    const auto late = dialect.store.replace("k", "a", 0);
    writer.put("k", "b");
    ASSERT_TRUE(isStored("k"));
    std::optional<HttpConnection::Result> result;
    StoreChannel channel{loopback.loop, storeAt};
    channel.call(late, 1s, [&](HttpConnection::Result ended) { result = std::move(ended); });
    ASSERT_TRUE(loopback.runUntil([&] { return result.has_value(); }));
    EXPECT_EQ(store.find("k"), valueB);
}

} // namespace jasminelatch::sidecar
