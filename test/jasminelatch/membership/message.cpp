#include <jasminelatch/membership/message.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::membership {

namespace {

template<typename Type>
auto roundTrip(const Type &value) -> nlohmann::json
{
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json(value));
    return nlohmann::json(nlohmann::json::from_cbor(bytes).get<Type>());
}

auto fullReport() -> Report
{
    Report report{.cell = LeaseName{"cell/d/0"}, .joins = 2, .directory = 7, .assignment = 8};
    report.endpoint = {NodeAddress{"10.0.0.1:7000"}, ServiceName{"s"}, FailureDomain{"d"}, 70, 500};
    report.rights = {LeaseName{"quota/0/1"}};
    report.services = {{ServiceName{"t"}, 9}};
    return report;
}

auto fullChanges() -> Changes
{
    Changes changes;
    changes.services.push_back({ServiceName{"t"}, 9, {fullReport().endpoint}});
    changes.directory = Directory{7, {{LeaseName{"quota/0/1"}, NodeAddress{"10.0.0.1:7000"}}}};
    changes.assignment = Assignment{8, {NodeAddress{"10.0.0.2:7000"}}, 14, {{LeaseName{"orders/1"}, NodeAddress{}}}};
    return changes;
}

} // namespace

TEST(Message, SurvivesTheCodec)
{
    const Heartbeat heartbeat{1, 2, 3, 4, "a", fullReport()};
    EXPECT_EQ(roundTrip(heartbeat), nlohmann::json(heartbeat));
    const HeartbeatAnswer answer{1, 2, true, "a", fullChanges()};
    EXPECT_EQ(roundTrip(answer), nlohmann::json(answer));
    const Push push{1, 2, "a", fullChanges()};
    EXPECT_EQ(roundTrip(push), nlohmann::json(push));
    const Redirect redirect{1, RedirectReason::Full};
    EXPECT_EQ(roundTrip(redirect), nlohmann::json(redirect));
}

TEST(Message, LeavesOutEmptyParts)
{
    const Heartbeat heartbeat{1, 2, 3, 4, "a", {}};
    EXPECT_FALSE(nlohmann::json(heartbeat).contains("report"));
    const HeartbeatAnswer answer{1, 2, false, "a", {}};
    EXPECT_FALSE(nlohmann::json(answer).contains("changes"));
    EXPECT_EQ(roundTrip(answer), nlohmann::json(answer));
}

TEST(Message, SteadyHeartbeatsAreSmall)
{
    constexpr auto largest = UINT64_MAX;
    const Heartbeat heartbeat{largest, 1000000, largest, largest, "1000000", {}};
    const HeartbeatAnswer answer{largest, 1000000, false, "1000000", {}};
    EXPECT_LE(nlohmann::json::to_cbor(nlohmann::json(heartbeat)).size(), 100U);
    EXPECT_LE(nlohmann::json::to_cbor(nlohmann::json(answer)).size(), 64U);
}

} // namespace jasminelatch::membership
