#include <jasminelatch/mesh/peer_message.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr std::size_t maxFrame = 1 << 20;

auto requestMessage(const std::string &body) -> RequestMessage
{
    RequestMessage message;
    message.exchange = 7;
    message.request.attemptId = "id";
    message.request.service = "orders";
    message.request.rank = 3;
    message.request.deadline = start + 700ms;
    message.request.waitLimit = 90ms;
    message.request.request = {"POST", "/a/?b=%20c", {{"X", "1"}, {"X", "2"}}, body};
    return message;
}

} // namespace

RC_GTEST_PROP(FrameReader, DecodesFramesSplitAtAnyByte, (const std::string &body))
{
    ReplyMessage reply;
    reply.exchange = 9;
    reply.reply.outcome = HopOutcome::Answered;
    reply.reply.answer = {200, "OK", {{"A", "b"}}, body};
    const auto bytes = encodeFrame(requestMessage(body), start) + encodeFrame(reply, start)
                     + encodeFrame(CancelMessage{7}, start) + encodeFrame(WithdrawMessage{8}, start);
    FrameReader reader{maxFrame};
    std::vector<PeerMessage> seen;
    for (std::size_t at = 0; at < bytes.size();) {
        const auto size = std::min<std::size_t>(*rc::gen::inRange(1, 200), bytes.size() - at);
        const auto isValid = reader.feed({bytes.data() + at, size}, start + 10ms, [&](PeerMessage message) {
            seen.push_back(std::move(message));
            return true;
        });
        RC_ASSERT(isValid);
        at += size;
    }
    RC_ASSERT(seen.size() == 4U);
    const auto &request = std::get<RequestMessage>(seen[0]).request;
    RC_ASSERT(request.request.body == body);
    RC_ASSERT(request.request.target == "/a/?b=%20c");
    RC_ASSERT(request.request.fields.size() == 2U);
    RC_ASSERT(request.deadline == start + 710ms);
    RC_ASSERT(request.waitLimit == Duration{90ms});
    RC_ASSERT(std::get<ReplyMessage>(seen[1]).reply.answer.body == body);
    RC_ASSERT(std::get<CancelMessage>(seen[2]).exchange == 7U);
    RC_ASSERT(std::get<WithdrawMessage>(seen[3]).exchange == 8U);
}

RC_GTEST_PROP(FrameReader, DoesNotCrashOnArbitraryInput, (const std::string &bytes))
{
    FrameReader reader{maxFrame};
    reader.feed({bytes.data(), bytes.size()}, start, [](const PeerMessage &) { return true; });
}

TEST(ReplyMessage, AnAnswerWithoutAValidFinalStatusIsUnreadable)
{
    // Guards against a peer of an earlier build, which passes on whatever status an instance sends.
    for (const auto status : {0U, 99U, 100U, 101U, 199U, 600U, 999U, 70000U}) {
        ReplyMessage message{9, {}};
        message.reply.outcome = HopOutcome::Answered;
        message.reply.load.limit = 20;
        message.reply.answer = {status, "Bad", {{"A", "b"}}, "body"};
        const auto bytes = encodeFrame(message, start) + encodeFrame(CancelMessage{7}, start);
        std::vector<PeerMessage> seen;
        FrameReader reader{maxFrame};
        EXPECT_TRUE(reader.feed(bytes, start, [&](PeerMessage received) {
            seen.push_back(std::move(received));
            return true;
        }));
        ASSERT_EQ(seen.size(), 2U) << "the connection carries other requests too";
        const auto &reply = std::get<ReplyMessage>(seen[0]).reply;
        EXPECT_EQ(reply.outcome, HopOutcome::Unknown) << status;
        EXPECT_EQ(reply.reason, HopReason::BadAnswer) << status;
        EXPECT_TRUE(reply.reached) << status;
        EXPECT_EQ(reply.load.limit, 20U);
        EXPECT_TRUE(reply.answer.body.empty());
    }
}

TEST(ReplyMessage, ValidStatusesAndRepliesWithoutAnAnswerAreUnchanged)
{
    const auto roundTrip = [](const HopReply &reply) {
        std::optional<HopReply> seen;
        FrameReader reader{maxFrame};
        reader.feed(encodeFrame(ReplyMessage{9, reply}, start), start, [&](PeerMessage received) {
            seen = std::get<ReplyMessage>(received).reply;
            return true;
        });
        return seen.value();
    };
    for (const auto status : {200U, 204U, 304U, 404U, 503U, 599U}) {
        const auto reply = roundTrip({.outcome = HopOutcome::Answered, .answer = {status, {}, {}, "body"}});
        EXPECT_EQ(reply.outcome, HopOutcome::Answered);
        EXPECT_EQ(reply.answer.status, status);
        EXPECT_EQ(reply.answer.body, "body");
    }
    const auto refusal = roundTrip({.outcome = HopOutcome::NotRun, .reason = HopReason::QueueFull});
    EXPECT_EQ(refusal.outcome, HopOutcome::NotRun);
    EXPECT_EQ(refusal.reason, HopReason::QueueFull);
    EXPECT_FALSE(refusal.reached);
}

TEST(FrameReader, RejectsAnOversizedFrame)
{
    FrameReader reader{64};
    const auto bytes = encodeFrame(requestMessage(std::string(100, 'x')), start);
    EXPECT_FALSE(reader.feed({bytes.data(), bytes.size()}, start, [](const PeerMessage &) { return true; }));
}

TEST(NodeReport, SurvivesARoundTrip)
{
    NodeReport report{"vm", 5, "i-1", true, {1, 2, 3, 4ms}, {{"club", 9}}, {{"17 order", 3}}, {}};
    report.profiles = {{"order", 10, 20ms, {{"tiles", 2.0}}}};
    report.member = Member{"vm", 5, {"10.0.0.1", 7000}, "a", "orders", "i-1", 30, true, 3s, 4};
    report.configurationVersion = 12;
    report.evacuation = Evacuation{2, 40, {"a", "b"}};
    const auto bytes = encodeFrame(ReportMessage{report}, start);
    FrameReader reader{maxFrame};
    std::optional<NodeReport> seen;
    reader.feed({bytes.data(), bytes.size()}, start, [&](PeerMessage message) {
        seen = std::get<ReportMessage>(message).report;
        return true;
    });
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->admitted, report.admitted);
    EXPECT_EQ(seen->offered, report.offered);
    ASSERT_EQ(seen->profiles.size(), 1U);
    EXPECT_EQ(seen->profiles.front().calls, report.profiles.front().calls);
    EXPECT_EQ(seen->load.queued, 2U);
    EXPECT_EQ(seen->member, report.member);
    EXPECT_EQ(seen->configurationVersion, 12U);
    EXPECT_EQ(seen->evacuation, report.evacuation);
}

TEST(ReportAck, ForwardsTheStoreConfirmation)
{
    const auto roundTrip = [](const ReportAck &message) {
        const auto bytes = encodeFrame(message, start);
        std::optional<ReportAck> seen;
        FrameReader reader{maxFrame};
        EXPECT_TRUE(reader.feed(bytes, start, [&](PeerMessage received) {
            seen = std::get<ReportAck>(received);
            return true;
        }));
        return seen.value();
    };
    const auto confirmation = roundTrip({41, 1200ms});
    EXPECT_EQ(confirmation.revision, 41U);
    EXPECT_EQ(confirmation.age, Duration{1200ms});
    EXPECT_EQ(confirmation.version, std::nullopt) << "as from earlier builds";
    const auto current = roundTrip({41, 1200ms, 7, 2});
    EXPECT_EQ(current.revision, 41U);
    EXPECT_EQ(current.version, 7U);
    EXPECT_EQ(current.era, 2U);
    EXPECT_EQ(roundTrip({}).age, std::nullopt);
}

TEST(Member, SurvivesARoundTrip)
{
    const Member member{"vm", 5, {"10.0.0.1", 7000}, "a", "orders", "i-1", 30, true, 3s, 4};
    EXPECT_EQ(decodeMember(encodeMember(member)), member);
}

TEST(Member, OrdersRecordsByIncarnationThenVersion)
{
    const Member first{"vm", 5, {"10.0.0.1", 7000}, "a", "orders", "i-1", 30, true, 3s, 4};
    auto second = first;
    EXPECT_FALSE(isOlder(first, second));
    second.version = 5;
    EXPECT_TRUE(isOlder(first, second));
    second = {"vm", 6, {"10.0.0.1", 7000}, "a", "orders", "i-2", 30, true, 3s, 1};
    EXPECT_TRUE(isOlder(first, second));
    EXPECT_FALSE(isOlder(second, first));
}

TEST(Member, ALaterRecordAtTheSameAddressIsOfAnEndedProcess)
{
    const Member own{"vm", 500, {"10.0.0.1", 7000}, "a", "orders", "i-1", 30, true, 3s, 4};
    auto other = own;
    EXPECT_FALSE(isEndedButLater(own, other)) << "the own record comes back from peers";
    other.incarnation = 501;
    EXPECT_TRUE(isEndedButLater(own, other));
    other.address.port = 7001;
    EXPECT_FALSE(isEndedButLater(own, other)) << "a VM that replaces this one";
    other = own;
    other.name = "lost";
    EXPECT_TRUE(isEndedButLater(own, other)) << "neither would take precedence";
    other.incarnation = 499;
    EXPECT_FALSE(isEndedButLater(own, other));
}

RC_GTEST_PROP(Member, RejectsArbitraryText, (const std::string &text))
{
    RC_ASSERT(!decodeMember(text));
}

TEST(Member, RejectsValuesThatNoNodeWrites)
{
    const Member member{"vm", 1700, {"10.0.0.1", 7}, "a", "orders", "i-1", 20, true, 3s, 2, 1600};
    const auto good = nlohmann::json::parse(encodeMember(member));
    ASSERT_TRUE(decodeMember(good.dump()));
    const auto tooLarge = std::uint64_t{1} << 60;
    for (const auto &[field, value] : std::vector<std::pair<std::string, nlohmann::json>>{
             {"incarnation", tooLarge},
             {"incarnation", 1e300},
             {"incarnation", -1},
             {"slots", tooLarge},
             {"slots", 1e300},
             {"coldForMs", tooLarge},
             {"coldForMs", -5},
             {"version", tooLarge},
             {"version", "1"},
             {"instanceStartMs", tooLarge},
             {"address", "10.0.0.1:70000"},
             {"address", "10.0.0.1:0"},
             {"address", "10.0.0.1"},
             {"name", nlohmann::json::array({nlohmann::json::array()})}}) {
        auto odd = good;
        odd[field] = value;
        EXPECT_FALSE(decodeMember(odd.dump())) << odd;
    }
    const std::string nested(500000, '[');
    EXPECT_FALSE(decodeMember(nested));
    EXPECT_FALSE(decodeMember(nested + std::string(nested.size(), ']')));
    EXPECT_FALSE(decodeMember(R"({"incarnation":)" + std::string(500, '9') + "}"));
}

TEST(FrameReader, ADeeplyNestedHeadIsAnError)
{
    // One byte opens an array in CBOR, so that a short frame could exhaust the stack.
    const std::string head(1 << 19, '\x81');
    std::string frame(8, '\0');
    frame[1] = static_cast<char>(head.size() >> 16);
    FrameReader reader{maxFrame};
    EXPECT_FALSE(reader.feed(frame + head, start, [](const PeerMessage &) { return true; }));
}

} // namespace jasminelatch::mesh
