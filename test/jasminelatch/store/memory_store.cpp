#include <jasminelatch/store/memory_store.hpp>

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace jasminelatch::store {

TEST(MemoryStore, SwapsOnlyAtTheExpectedRevision)
{
    MemoryStore store;
    const TimePoint now{};
    const auto created = store.apply({.operation = Operation::Put, .key = "a", .value = "1"}, now);
    ASSERT_EQ(created.status, Status::Ok);
    const auto again = store.apply({.operation = Operation::Put, .key = "a", .value = "2"}, now);
    EXPECT_EQ(again.status, Status::Conflict);
    ASSERT_EQ(again.entries.size(), 1U);
    EXPECT_EQ(again.entries[0].value, "1");
    const auto revision = created.entries[0].revision;
    const auto swapped =
        store.apply({.operation = Operation::Put, .key = "a", .value = "2", .expected = revision}, now);
    EXPECT_EQ(swapped.status, Status::Ok);
}

TEST(MemoryStore, WatchReportsChangesAndRemovalsAfterARevision)
{
    MemoryStore store;
    const TimePoint now{};
    const auto first = store.apply({.operation = Operation::Put, .key = "p/a", .value = "1"}, now);
    store.apply({.operation = Operation::Put, .key = "q/a", .value = "1"}, now);
    const Request watch{.operation = Operation::Watch, .key = "p/", .after = first.revision};
    EXPECT_FALSE(store.hasNews(watch));
    store.apply({.operation = Operation::Remove, .key = "p/a", .expected = first.revision}, now);
    EXPECT_TRUE(store.hasNews(watch));
    EXPECT_EQ(store.apply(watch, now).removed, std::vector<std::string>{"p/a"});
}

TEST(MemoryStore, RemovesEntriesAfterTheirTimeToLive)
{
    MemoryStore store;
    const TimePoint start{};
    store.apply({.operation = Operation::Put, .key = "a", .value = "1", .timeToLive = 5s}, start);
    EXPECT_EQ(store.apply({.key = "a"}, start + 4s).status, Status::Ok);
    EXPECT_EQ(store.apply({.key = "a"}, start + 5s).status, Status::NotFound);
}

} // namespace jasminelatch::store
