#include <jasminelatch/membership/cell.hpp>

#include <gtest/gtest.h>

#include <string>

using namespace std::chrono_literals;

namespace jasminelatch::membership::internal {

namespace {

const LeaseName cellName{"cell/d/0"};

class CellTest: public ::testing::Test
{
protected:
    CellTest() { clock_.pause(); }

    auto hear(const std::string &name, const std::uint64_t sequence, const std::uint64_t incarnation = 1)
        -> HeartbeatResult
    {
        Heartbeat heartbeat{.incarnation = incarnation, .sequence = sequence, .self = 1};
        heartbeat.report = Report{.cell = cellName, .endpoint = {.node = NodeAddress{name}}};
        return cell_.hear(NodeAddress{name}, heartbeat);
    }

    auto wait(const Duration length) -> void
    {
        clock_.advance(length);
        cell_.expire();
    }

    [[nodiscard]] auto size() const -> std::size_t { return cell_.members().size(); }

    Clock clock_;
    Counters counters_;
    Context context_{.settings = {}, .self = NodeAddress{"holder"}, .clock = &clock_, .counters = &counters_};
    Cell cell_{context_, cellName};
};

} // namespace

TEST_F(CellTest, DropsOneSilentMember)
{
    hear("a", 1);
    hear("b", 1);
    hear("c", 1);
    clock_.advance(1900ms);
    hear("b", 2);
    hear("c", 2);
    wait(200ms);
    EXPECT_EQ(cell_.find(NodeAddress{"a"}), nullptr);
    EXPECT_EQ(size(), 2U);
}

TEST_F(CellTest, KeepsMembersThatFallSilentTogether)
{
    for (std::uint64_t index = 0; index < 5; ++index) {
        hear("m" + std::to_string(index), 1);
        clock_.advance(100ms);
    }
    wait(1800ms);
    EXPECT_EQ(size(), 5U);
    wait(context_.settings.massTimeout - 5s);
    EXPECT_EQ(size(), 5U);
    wait(5s);
    EXPECT_EQ(size(), 0U);
}

TEST_F(CellTest, RefusesLateHeartbeatsOfADepartedMember)
{
    hear("a", 5);
    EXPECT_TRUE(cell_.depart(NodeAddress{"a"}, 1));
    EXPECT_EQ(hear("a", 6), HeartbeatResult::Stale);
    EXPECT_EQ(size(), 0U);
    EXPECT_EQ(hear("a", 1, 2), HeartbeatResult::Accepted);
    EXPECT_FALSE(cell_.depart(NodeAddress{"a"}, 1)) << "a doubled departure of the former process";
    EXPECT_EQ(size(), 1U);
}

TEST_F(CellTest, RefusesReorderedHeartbeats)
{
    EXPECT_EQ(hear("a", 2), HeartbeatResult::Accepted);
    EXPECT_EQ(hear("a", 1), HeartbeatResult::Stale);
    EXPECT_EQ(hear("a", 2), HeartbeatResult::Stale);
    EXPECT_EQ(hear("a", 1, 2), HeartbeatResult::Accepted);
    EXPECT_EQ(hear("a", 9, 1), HeartbeatResult::Stale);
}

TEST_F(CellTest, MergesARecordWithAGraceAndWithoutTheDeparted)
{
    hear("left", 1);
    cell_.depart(NodeAddress{"left"}, 1);
    CellRecord record{.holder = NodeAddress{"former"}};
    for (const auto *name : {"former", "left", "present"}) {
        record.members.push_back({.endpoint = {.node = NodeAddress{name}}, .incarnation = 1});
    }
    cell_.merge(record, clock_.now());
    EXPECT_EQ(size(), 2U);
    wait(context_.settings.takeOverGrace / 2 + 1ms);
    EXPECT_NE(cell_.find(NodeAddress{"present"}), nullptr);
    EXPECT_EQ(cell_.find(NodeAddress{"former"}), nullptr);
    wait(context_.settings.takeOverGrace / 2);
    EXPECT_EQ(size(), 0U);
}

} // namespace jasminelatch::membership::internal
