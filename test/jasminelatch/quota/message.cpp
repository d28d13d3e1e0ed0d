#include <jasminelatch/quota/message.hpp>

#include <gtest/gtest.h>

#include <cstdio>

using namespace std::chrono_literals;

namespace jasminelatch::quota {

TEST(Message, ReadsBackWhatItWrote)
{
    const LoanAsk ask{.incarnation = ~0ULL,
                      .number = 7,
                      .right = LeaseName{"quota/3/5"},
                      .wanted = {{AccountName{"club"}, 4}},
                      .settled = {{6, AccountName{"club"}, 3, 250ms, true}}};
    const nlohmann::json json = ask;
    EXPECT_EQ(nlohmann::json(json.get<LoanAsk>()), json);
    const LoanGrant grant{
        .incarnation = 1, .number = 7, .held = true, .lifetime = 1s, .lent = {{ask.wanted[0].account, 4, 0.5}}};
    const nlohmann::json answer = grant;
    EXPECT_EQ(nlohmann::json(answer.get<LoanGrant>()), answer);
    std::printf("ask %zu bytes, grant %zu bytes in CBOR\n",
                nlohmann::json::to_cbor(json).size(),
                nlohmann::json::to_cbor(answer).size());
}

} // namespace jasminelatch::quota
