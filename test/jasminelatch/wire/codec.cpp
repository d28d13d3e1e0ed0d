#include <jasminelatch/wire/codec.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

namespace jasminelatch::wire {

namespace {

/*! @brief Decodes bytes; returns the error's text or an empty one. */
auto decodeError(const std::span<const std::uint8_t> bytes, Message &message) -> std::string
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(message, decode(bytes));
            return std::string{};
        },
        [](const DecodeError &error) { return error.reason; },
        [] { return std::string{"no reason"}; });
}

auto hasReason(const std::string &error) -> bool
{
    return !error.empty() && error != "no reason";
}

} // namespace

TEST(Codec, ReturnsAnAnswerAsItWas)
{
    call::Answer answer;
    answer.id = RequestId{"a-1"};
    answer.outcome = Outcome::Ran;
    answer.status = 200;
    answer.headers["Content-Type"] = "text/plain";
    answer.body.assign({1, 2, 3});
    answer.pressure = admission::Pressure{2, 0.5, 3, 4, 5, std::chrono::milliseconds{6}, std::chrono::milliseconds{7}};
    const auto bytes = encode(call::Message{answer});
    Message decoded;
    ASSERT_EQ(decodeError(bytes, decoded), "");
    const auto &read = std::get<call::Answer>(std::get<call::Message>(decoded));
    EXPECT_EQ(read.id, answer.id);
    EXPECT_EQ(read.outcome, answer.outcome);
    EXPECT_EQ(read.status, answer.status);
    EXPECT_EQ(read.headers, answer.headers);
    EXPECT_EQ(read.body, answer.body);
    EXPECT_EQ(read.pressure, answer.pressure);
}

TEST(Codec, RefusesRubbishWithAReason)
{
    Message message;
    const auto truncated = encode(call::Message{call::Cancel{RequestId{"a-1"}}});
    EXPECT_TRUE(hasReason(decodeError({truncated.data(), truncated.size() - 1}, message)));
    const auto unknown = nlohmann::json::to_cbor({{"t", "call.nothing"}, {"b", 1}});
    EXPECT_TRUE(hasReason(decodeError(unknown, message)));
    const auto wrongType = nlohmann::json::to_cbor({{"t", "call.cancel"}, {"b", {{"id", 7}}}});
    EXPECT_TRUE(hasReason(decodeError(wrongType, message)));
    const auto wrongEnumerator = nlohmann::json::to_cbor({{"t", "connection.answer_report"}, {"b", 3}});
    EXPECT_TRUE(hasReason(decodeError(wrongEnumerator, message)));
    EXPECT_TRUE(hasReason(decodeError({}, message)));
}

} // namespace jasminelatch::wire
