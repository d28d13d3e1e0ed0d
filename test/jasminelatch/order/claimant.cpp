#include <jasminelatch/order/claimant.hpp>

#include <gtest/gtest.h>

#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::order {

class ClaimantTest: public testing::Test
{
public:
    ClaimantTest()
        : claimant{{}, 1, clock, counters, hooks()}
    {
        clock.pause();
        claimant.claim({AccountName{"club"}, "key", RequestId{"r1"}, "body"},
                       [this](const Verdict &verdict) { verdicts.push_back(verdict); });
        claimant.tick();
    }

    [[nodiscard]] auto hooks() -> Claimant::Hooks
    {
        return {[this](const NodeAddress &, const Message &message) { sent.push_back(message); },
                [](Shard) {
                    return NodeAddress{"holder"};
                }};
    }

    auto answer(const Decision decision) -> void
    {
        claimant.receive(NodeAddress{"holder"}, ClaimAnswer{RequestId{"r1"}, decision, 1, 5s});
    }

    [[nodiscard]] auto lastResult() const -> const Result * { return std::get_if<Result>(&sent.back()); }

    Clock clock;
    Counters counters;
    std::vector<Message> sent;
    std::vector<Verdict> verdicts;
    Claimant claimant;
};

TEST_F(ClaimantTest, RefusesAGrantThatCameTooLateAndGivesTheClaimBack)
{
    clock.advance(5s);
    answer(Decision::Granted);
    ASSERT_EQ(verdicts.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<Refusal>(verdicts[0]));
    EXPECT_EQ(std::get<Refusal>(verdicts[0]).outcome, Outcome::NotRun);
    claimant.tick();
    ASSERT_NE(lastResult(), nullptr);
    EXPECT_EQ(lastResult()->kind, ResultKind::NotRun);
}

TEST_F(ClaimantTest, GivesUpWithoutAnAnswerAndIgnoresALaterGrant)
{
    clock.advance(2s);
    claimant.tick();
    answer(Decision::Granted);
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<Refusal>(verdicts[0]));
    ASSERT_NE(lastResult(), nullptr);
    EXPECT_EQ(lastResult()->kind, ResultKind::NotRun);
}

TEST_F(ClaimantTest, RepeatsAReportUntilItIsAcknowledged)
{
    answer(Decision::Granted);
    ASSERT_TRUE(std::holds_alternative<Grant>(verdicts.at(0)));
    claimant.report(RequestId{"r1"}, ResultKind::Answered, {200, "text/plain", "done"});
    const auto before = sent.size();
    claimant.tick();
    clock.advance(250ms);
    claimant.tick();
    EXPECT_EQ(sent.size(), before + 2);
    claimant.receive(NodeAddress{"holder"}, ResultAck{RequestId{"r1"}});
    clock.advance(250ms);
    claimant.tick();
    EXPECT_EQ(sent.size(), before + 2);
}

} // namespace jasminelatch::order
