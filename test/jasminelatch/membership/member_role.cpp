#include <jasminelatch/membership/member_role.hpp>

#include <gtest/gtest.h>
#include <support/fake_store.hpp>

using namespace std::chrono_literals;

namespace jasminelatch::membership::internal {

namespace {

const NodeAddress holder{"10.0.0.9:7000"};
const ServiceName service{"s"};

auto listing(const ContentVersion version, const std::vector<std::string> &nodes) -> Changes
{
    ServiceView view{service, version, {}};
    for (const auto &node : nodes) {
        view.endpoints.push_back({.node = NodeAddress{node}, .service = service});
    }
    return {.services = {view}};
}

/*! @brief One member whose cell is held by a node played by the test. */
class MemberTest: public ::testing::Test
{
protected:
    MemberTest()
    {
        clock_.pause();
        store_.memory().apply({store::Operation::Put, "lease/cell/d/0", R"({"holder": "10.0.0.9:7000"})"},
                              clock_.now());
        member_.subscribe(service);
        member_.start();
        run(2s);
    }

    auto run(const Duration length) -> void
    {
        for (Duration passed{}; passed < length; passed += 50ms) {
            clock_.advance(50ms);
            member_.tick(false);
            store_.answerAll();
        }
    }

    [[nodiscard]] auto listed() const -> std::size_t { return member_.view().endpoints(service).size(); }

    Clock clock_;
    Counters counters_;
    jasminelatch::test::FakeStore store_{clock_};
    std::size_t sent_{};
    Context context_{.settings = {},
                     .self = NodeAddress{"10.0.0.1:7000"},
                     .domain = FailureDomain{"d"},
                     .incarnation = 1,
                     .clock = &clock_,
                     .counters = &counters_,
                     .hooks = {.store = store_.hook(),
                               .send = [this](const NodeAddress &, const Message &) { ++sent_; },
                               .contend = [](const LeaseName &) {},
                               .stopContending =
                                   [](const LeaseName &) {
                                   }}};
    MemberRole member_{context_, {.node = context_.self, .service = ServiceName{"own"}, .domain = context_.domain}};
};

} // namespace

TEST_F(MemberTest, IgnoresStaleAndForeignAnswers)
{
    ASSERT_EQ(member_.locator().holder(), holder);
    member_.receive(holder, Push{5, 6, "", listing(2, {"a", "b"})});
    EXPECT_EQ(listed(), 2U);
    member_.receive(holder, HeartbeatAnswer{5, 5, false, "", listing(1, {"a"})});
    EXPECT_EQ(listed(), 2U) << "an answer sent before the push";
    member_.receive(holder, Push{5, 6, "", listing(3, {})});
    member_.receive(holder, Push{4, 9, "", listing(3, {})});
    EXPECT_EQ(listed(), 2U) << "a doubled push and one of the holder's former process";
    member_.receive(NodeAddress{"10.0.0.8:7000"}, Push{9, 9, "", listing(3, {})});
    EXPECT_EQ(listed(), 2U) << "a push of a node that is not the holder";
    member_.receive(holder, Push{6, 1, "", listing(3, {"a"})});
    EXPECT_EQ(listed(), 1U);
    EXPECT_EQ(counters_.value("membership.answer_stale"), 3U);
    EXPECT_EQ(counters_.value("membership.answer_unexpected"), 1U);
}

TEST_F(MemberTest, StaleAnswersAreNoSignOfLife)
{
    const HeartbeatAnswer answer{5, 6, false, "", {}};
    member_.receive(holder, answer);
    EXPECT_FALSE(member_.isSilent());
    run(context_.settings.holderTimeout + 100ms);
    member_.receive(holder, answer);
    EXPECT_TRUE(member_.isSilent());
}

TEST_F(MemberTest, ForgetsAPeerThatLeaves)
{
    member_.receive(holder, Push{5, 6, "", listing(2, {"a", "b"})});
    member_.receive(NodeAddress{"a"}, Leaving{1});
    EXPECT_EQ(listed(), 1U);
}

} // namespace jasminelatch::membership::internal
