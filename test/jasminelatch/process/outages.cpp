#include "plans.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

namespace jasminelatch::test {

namespace {

constexpr auto outage = std::chrono::seconds{16};
constexpr auto shortFault = std::chrono::seconds{4};
constexpr int exitLostRace = 3;

/*! @brief Share of whole answers among the requests begun between two points. */
auto wholeShare(const std::vector<Sent> &sent,
                const std::chrono::steady_clock::time_point from,
                const std::chrono::steady_clock::time_point to) -> double
{
    double all = 0;
    double whole = 0;
    for (const auto &request : sent) {
        if (request.begin >= from && request.begin < to) {
            all += 1;
            whole += request.isComplete() ? 1 : 0;
        }
    }
    return all == 0 ? 0 : whole / all;
}

auto openRecords() -> nlohmann::json
{
    auto records = shopRecords();
    for (auto &record : records) {
        // Routes open to all need no fresh list of keys.
        if (record.value("name", "") == "quick") {
            record["open"] = true;
        }
    }
    return records;
}

} // namespace

TEST(Outages, IdempotentTrafficGoesOnWhileTheStoreFails)
{
    auto plan = shopPlan();
    plan.records = openRecords();
    ProcessFleet fleet{plan};
    ASSERT_TRUE(waitServing(fleet));
    Traffic traffic{12, std::chrono::milliseconds{10}, [&](const unsigned caller, const unsigned number) {
                        return preview(fleet.vm(caller % 5), fleet.key("club"), std::to_string(number));
                    }};
    const auto began = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(began) >= 50; }));
    fleet.setStoreFaults({{"down", true}});
    // The lengths of the faults are the faults themselves.
    std::this_thread::sleep_for(outage / 2);
    fleet.vm(5).node.kill();
    fleet.startNode(5);
    std::this_thread::sleep_for(outage / 2);
    fleet.setStoreFaults({{"delay_ms", 700}});
    std::this_thread::sleep_for(shortFault);
    fleet.setStoreFaults({{"lose_answers", true}});
    std::this_thread::sleep_for(shortFault);
    fleet.setStoreFaults(nlohmann::json::object());
    const auto ended = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(ended) >= 100; }));
    EXPECT_TRUE(fleet.waitReady());
    const auto sent = traffic.stop();
    const auto share = wholeShare(sent, began, ended);
    RecordProperty("whole_share", std::to_string(share));
    EXPECT_GE(share, 0.9) << describeFailures(sent);
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
}

TEST(Outages, ExactlyOneOfRacingOperatorsWins)
{
    auto plan = shopPlan();
    plan.vms = {{"shop", "d1"}, {"stock", "d1"}};
    ProcessFleet fleet{plan};
    ASSERT_TRUE(fleet.waitReady());
    fleet.setStoreFaults({{"delay_ms", 150}});
    std::vector<Process> operators;
    constexpr std::size_t racers = 5;
    for (std::size_t racer = 0; racer < racers; ++racer) {
        const auto folder = fleet.folder() / ("racer-" + std::to_string(racer));
        std::filesystem::create_directory(folder);
        auto records = shopRecords();
        records[1]["rate"] = 1000 + racer;
        std::ofstream{folder / "records.json"} << records.dump();
        operators.push_back(fleet.startCommand({"apply", folder.string()}, folder / "log"));
    }
    std::vector<int> exits;
    for (auto &racer : operators) {
        exits.push_back(racer.wait(defaultWaitTimeout).value_or(-1));
    }
    fleet.setStoreFaults(nlohmann::json::object());
    EXPECT_EQ(std::count(exits.begin(), exits.end(), 0), 1);
    EXPECT_EQ(std::count(exits.begin(), exits.end(), exitLostRace), static_cast<std::ptrdiff_t>(racers - 1));
    const auto winner = std::find(exits.begin(), exits.end(), 0) - exits.begin();
    const auto listed = fleet.command({"list", "account"});
    EXPECT_NE(listed.output.find(std::to_string(1000 + winner)), std::string::npos) << listed.output;
    EXPECT_EQ(fleet.command({"wait", "3"}).exit, 0) << "the change is not in force everywhere in time";
}

} // namespace jasminelatch::test
