#include "plans.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminelatch::test {

namespace {

constexpr auto withdrawalLimit = std::chrono::seconds{7};

auto keyId(const std::string &key) -> std::string
{
    const auto begin = key.find('_') + 1;
    // The secret may hold the separator too.
    return key.substr(begin, key.find('_', begin) - begin);
}

/*! @brief Withdraws a key under traffic and returns the time from the write to the last success. */
auto lastSuccessAfterWithdrawal(ProcessFleet &fleet, const bool storeFails) -> std::chrono::milliseconds
{
    const auto key = fleet.key("club");
    Traffic traffic{12, std::chrono::milliseconds{5}, [&](const unsigned caller, const unsigned number) {
                        return preview(fleet.vm(caller % fleet.size()), key, std::to_string(number));
                    }};
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 100; }));
    const auto result = fleet.command({"keys", "withdraw", keyId(key)});
    const auto withdrawn = std::chrono::steady_clock::now();
    EXPECT_EQ(result.exit, 0) << result.output;
    if (storeFails) {
        fleet.setStoreFaults({{"down", true}});
    }
    // Twice the bound, so that a success after the bound would be seen.
    EXPECT_TRUE(waitUntil([&] { return std::chrono::steady_clock::now() - withdrawn > 2 * withdrawalLimit; }));
    auto last = withdrawn;
    std::size_t refused = 0;
    for (const auto &sent : traffic.stop()) {
        last = sent.reply.ok() ? std::max(last, sent.end) : last;
        refused += sent.reply.reason == "withdrawn_key" || sent.reply.reason == "configuration_stale" ? 1 : 0;
    }
    EXPECT_GT(refused, 0U);
    return std::chrono::duration_cast<std::chrono::milliseconds>(last - withdrawn);
}

} // namespace

TEST(Keys, WithdrawnKeyStopsOnOpenConnections)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    const auto last = lastSuccessAfterWithdrawal(fleet, false);
    RecordProperty("last_success_ms", std::to_string(last.count()));
    EXPECT_LE(last, withdrawalLimit);
    // Other keys still work.
    Caller caller;
    const auto request = preview(fleet.vm(0), fleet.key("school"), "other");
    EXPECT_TRUE(waitUntil([&] { return isCompleteAnswer(caller.call(request), request.body); }));
}

TEST(Keys, WithdrawnKeyStopsAlthoughTheStoreFailsRightAfterTheWrite)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    const auto last = lastSuccessAfterWithdrawal(fleet, true);
    RecordProperty("last_success_ms", std::to_string(last.count()));
    EXPECT_LE(last, withdrawalLimit);
}

} // namespace jasminelatch::test
