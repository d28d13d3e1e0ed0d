#include <jasminelatch/mesh/byte_budget.hpp>
#include <jasminelatch/mesh/peer_message.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr std::size_t limit = 1'000'000;
constexpr std::size_t reserve = 100'000;

auto requestFrame(const std::size_t bodyBytes) -> std::string
{
    RequestMessage message;
    message.exchange = 7;
    message.request.request = {"POST", "/", {}, std::string(bodyBytes, 'x')};
    return encodeFrame(message, start);
}

auto replyFrame(const std::size_t bodyBytes) -> std::string
{
    ReplyMessage message;
    message.exchange = 9;
    message.reply.outcome = HopOutcome::Answered;
    message.reply.answer = {200, {}, {}, std::string(bodyBytes, 'x')};
    return encodeFrame(message, start);
}

struct BudgetedReader: testing::Test {
    auto feed(FrameReader &reader, const std::string &bytes) -> bool
    {
        return reader.feed(bytes, start, [this](PeerMessage message) {
            seen.push_back(std::move(message));
            return true;
        });
    }

    ByteBudget budget{limit, reserve};
    ByteReservation other{&budget};
    std::vector<PeerMessage> seen;
};

} // namespace

TEST(ByteBudget, KeepsAReserveForSmallMessages)
{
    // Replays large bodies that fill the budget while ordinary requests arrive.
    ByteBudget budget{limit, reserve};
    ByteReservation large{&budget};
    EXPECT_TRUE(large.tryGrow(limit - reserve));
    ByteReservation next{&budget};
    EXPECT_FALSE(next.tryGrow(ByteBudget::smallBytes + 1));
    EXPECT_TRUE(next.tryGrow(ByteBudget::smallBytes));
    large.release();
    EXPECT_EQ(budget.used(), ByteBudget::smallBytes);
}

TEST_F(BudgetedReader, SkipsTheBodyOfARequestThatDoesNotFit)
{
    ASSERT_TRUE(other.resize(limit - reserve));
    FrameReader reader{maxFrameBytes, &budget};
    ASSERT_TRUE(feed(reader, requestFrame(200'000) + requestFrame(10)));
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_TRUE(std::get<RequestMessage>(seen[0]).isBodyMissing);
    EXPECT_FALSE(std::get<RequestMessage>(seen[1]).isBodyMissing);
    EXPECT_EQ(std::get<RequestMessage>(seen[1]).request.request.body.size(), 10U);
}

TEST_F(BudgetedReader, WaitsForRoomForTheBodyOfAReply)
{
    // Guards against answers that are dropped because slow readers of others hold the memory.
    ASSERT_TRUE(other.resize(limit - reserve));
    FrameReader reader{maxFrameBytes, &budget, BodyPolicy::Wait};
    ASSERT_TRUE(feed(reader, replyFrame(200'000) + replyFrame(10)));
    EXPECT_TRUE(seen.empty());
    EXPECT_NE(reader.waitingMessage(), nullptr);
    other.release();
    ASSERT_TRUE(feed(reader, {}));
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(std::get<ReplyMessage>(seen[0]).reply.answer.body.size(), 200'000U);
    seen.clear();
    EXPECT_EQ(budget.used(), 0U);
}

TEST_F(BudgetedReader, GoesOnAfterAReplyThatNobodyWaitsForAnyMore)
{
    ASSERT_TRUE(other.resize(limit - reserve));
    FrameReader reader{maxFrameBytes, &budget, BodyPolicy::Wait};
    ASSERT_TRUE(feed(reader, replyFrame(200'000) + replyFrame(10)));
    reader.skipWaiting();
    ASSERT_TRUE(feed(reader, {}));
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(std::get<ReplyMessage>(seen[0]).reply.answer.body.size(), 10U);
}

TEST_F(BudgetedReader, RejectsAHeadOverTheLimit)
{
    FrameReader reader{maxFrameBytes};
    EXPECT_FALSE(feed(reader, std::string{"\x01\x00\x00\x00\x00\x00\x00\x00", 8}));
}

} // namespace jasminelatch::mesh
