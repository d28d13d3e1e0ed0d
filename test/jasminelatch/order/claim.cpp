#include <jasminelatch/order/claim.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::order {

TEST(ClaimKey, KeepsAccountAndKeyApart)
{
    EXPECT_NE(claimKey(AccountName{"ab"}, "c"), claimKey(AccountName{"a"}, "bc"));
    EXPECT_EQ(claimKey(AccountName{"ab"}, "c").size(), 32U);
}

RC_GTEST_PROP(ShardValue, SurvivesTheStore, (const std::uint64_t term, const std::string &text))
{
    ShardValue value;
    value.term = term;
    value.replica = {NodeAddress{"node1"}, 7};
    value.claims.push_back(
        {claimKey(AccountName{"club"}, text), shortHash(text), "o", ClaimState::Done, Duration{3}, 9});
    const auto read = parseShardValue(nlohmann::json(value).dump());
    RC_ASSERT(read.has_value());
    RC_ASSERT(nlohmann::json(*read) == nlohmann::json(value));
    RC_ASSERT(!parseShardValue(nlohmann::json(value).dump().substr(1)).has_value());
}

} // namespace jasminelatch::order
