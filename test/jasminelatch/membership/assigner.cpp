#include <jasminelatch/membership/assigner.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace jasminelatch::membership::internal {

class AssignerTest: public testing::Test
{
public:
    AssignerTest()
    {
        clock.pause();
        context.self = NodeAddress{"a:1"};
        context.clock = &clock;
        context.counters = &counters;
        context.hooks.wantedRights = [this] {
            return rights;
        };
    }

    auto setMembers(const std::vector<std::string> &names) -> void
    {
        FleetCell value;
        for (const auto &name : names) {
            MemberRecord record;
            record.endpoint.node = NodeAddress{name};
            record.incarnation = 1;
            value.members.push_back(record);
        }
        fleet.setCell(cellRight(FailureDomain{"d"}, 0), value);
        static_cast<void>(fleet.refresh());
    }

    /*! @brief Lets the time of an assignment pass and counts the duties of some nodes. */
    auto duties(const std::vector<std::string> &names) -> std::size_t
    {
        clock.advance(context.settings.dutyInterval);
        assigner.tick(fleet);
        std::size_t count = 0;
        for (const auto &name : names) {
            count +=
                assigner.assignment(NodeAddress{name}, Cell{context, cellRight(FailureDomain{"d"}, 0)}).duties.size();
        }
        return count;
    }

    Clock clock;
    Counters counters;
    Context context;
    std::vector<LeaseName> rights{LeaseName{"quota/0/1"}, LeaseName{"quota/0/0"}};
    Fleet fleet;
    Assigner assigner{context};
};

TEST_F(AssignerTest, FollowsTheFleet)
{
    setMembers({"a:1"});
    EXPECT_EQ(duties({"a:1"}), 2U);
    setMembers({"b:1"});
    EXPECT_EQ(duties({"a:1"}), 0U);
    EXPECT_EQ(duties({"b:1"}), 2U);
}

TEST_F(AssignerTest, FollowsTheWantedRights)
{
    setMembers({"a:1", "b:1"});
    EXPECT_EQ(duties({"a:1", "b:1"}), 2U);
    rights.emplace_back("order/0");
    EXPECT_EQ(duties({"a:1", "b:1"}), 3U);
    rights.clear();
    EXPECT_EQ(duties({"a:1", "b:1"}), 0U);
}

TEST_F(AssignerTest, KeepsTheDutiesWhileNothingChanges)
{
    setMembers({"a:1", "b:1"});
    EXPECT_EQ(duties({"a:1", "b:1"}), 2U);
    EXPECT_EQ(duties({"a:1", "b:1"}), 2U);
}

} // namespace jasminelatch::membership::internal
