#include "plans.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <iterator>

namespace jasminelatch::test {

namespace {

using Instant = std::chrono::steady_clock::time_point;

constexpr auto settleTime = std::chrono::seconds{2};
constexpr auto measureTime = std::chrono::seconds{3};
constexpr auto triggerTime = std::chrono::seconds{5};
constexpr auto window = std::chrono::seconds{1};
constexpr double recoveredShare = 0.9;
/*! @brief Bound of the time from the end of the trigger to 90% of the former goodput. */
constexpr auto recoveryLimit = std::chrono::seconds{5};
constexpr auto callerPatience = std::chrono::milliseconds{600};
constexpr double slowFactor = 50;
constexpr unsigned callers = 40;

/*! @brief Returns a chain of four services `a` to `d` with two VMs each. */
auto chainPlan(nlohmann::json modes) -> FleetPlan
{
    FleetPlan plan;
    plan.records = shopRecords();
    plan.accounts = {"club"};
    plan.modes = std::move(modes);
    plan.slots = 10;
    const std::vector<std::string> services{"a", "b", "c", "d"};
    for (std::size_t index = 0; index < services.size(); ++index) {
        const auto &service = services[index];
        plan.vms.push_back({service, "d1"});
        plan.vms.push_back({service, "d2"});
        plan.records.push_back({{"schema", 1},
                                {"record", "kind"},
                                {"name", service},
                                {"service", service},
                                {"method", index == 0 ? "POST" : "GET"},
                                {"path", "/work"},
                                {"idempotent", true},
                                {"importance", 1},
                                {"timeout_ms", 5000}});
        nlohmann::json route{{"path", "/work"}, {"work_ms", service == "d" ? 10 : 2}};
        if (index + 1 < services.size()) {
            route["calls"] = {{{"path", "/" + services[index + 1] + "/work"}}};
        }
        plan.routes[service] = nlohmann::json::array({route});
    }
    return plan;
}

auto sleepUntilPassed(const Instant since, const std::chrono::milliseconds time) -> void
{
    std::this_thread::sleep_until(since + time);
}

auto wholeBetween(const std::vector<Sent> &sent, const Instant from, const Instant to) -> double
{
    double count = 0;
    for (const auto &request : sent) {
        count += request.end >= from && request.end < to && request.isComplete() ? 1 : 0;
    }
    return count;
}

/*! @brief Goodput before, under and after a slow deepest service. */
struct Course {
    double before{}; /*!< Whole answers a second before the trigger. */
    double during{}; /*!< Whole answers a second while it lasts. */
    std::optional<std::chrono::milliseconds> recovery; /*!< Time to 90%; nothing when it was not reached. */
    std::string afterwards; /*!< How the nodes stood and what failed when it was not reached. */
};

auto slowDeepestService(nlohmann::json modes) -> Course
{
    ProcessFleet fleet{chainPlan(std::move(modes))};
    EXPECT_TRUE(fleet.waitReady());
    Traffic traffic{callers, std::chrono::milliseconds{10}, [&](const unsigned caller, const unsigned number) {
                        Request request;
                        request.url = fleet.vm(caller % 2).callerUrl() + "/a/work";
                        request.key = fleet.key("club");
                        request.body = std::to_string(caller) + "/" + std::to_string(number);
                        request.timeout = callerPatience;
                        return request;
                    }};
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 200; }));
    // From here on the passing of time is what is measured.
    sleepUntilPassed(std::chrono::steady_clock::now(), settleTime);
    const auto measured = std::chrono::steady_clock::now();
    sleepUntilPassed(measured, measureTime);
    const auto slowed = std::chrono::steady_clock::now();
    fleet.setBackendFaults(6, {{"slow_factor", slowFactor}});
    fleet.setBackendFaults(7, {{"slow_factor", slowFactor}});
    sleepUntilPassed(slowed, triggerTime);
    fleet.setBackendFaults(6, nlohmann::json::object());
    fleet.setBackendFaults(7, nlohmann::json::object());
    const auto ended = std::chrono::steady_clock::now();
    sleepUntilPassed(ended, recoveryLimit + window);
    Course course;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto status = fleet.query(index, "/status");
        course.afterwards += fleet.vm(index).plan.service + ": limit " + status.at("limit").dump() + ", in flight "
                           + status.at("in_flight").dump() + ", queued " + status.at("queued").dump() + "\n";
    }
    const auto sent = traffic.stop();
    const auto seconds = [](const auto time) {
        return std::chrono::duration<double>(time).count();
    };
    course.before = wholeBetween(sent, measured, slowed) / seconds(slowed - measured);
    course.during = wholeBetween(sent, slowed, ended) / seconds(ended - slowed);
    for (auto time = std::chrono::milliseconds{0}; time <= recoveryLimit; time += std::chrono::milliseconds{100}) {
        const auto now = wholeBetween(sent, ended + time, ended + time + window) / seconds(window);
        if (now >= recoveredShare * course.before) {
            course.recovery = time;
            break;
        }
    }
    std::vector<Sent> late;
    std::copy_if(sent.begin(), sent.end(), std::back_inserter(late), [&](const auto &request) {
        return request.begin >= ended;
    });
    course.afterwards += late.empty() ? "" : describeFailures(late);
    std::cout << "goodput before " << course.before << "/s, during " << course.during << "/s, recovery "
              << (course.recovery ? std::to_string(course.recovery->count()) + " ms" : "not reached") << "\n";
    return course;
}

} // namespace

TEST(Overload, GoodputReturnsAfterTheDeepestServiceWasSlow)
{
    const auto course = slowDeepestService(nlohmann::json::object());
    EXPECT_GT(course.before, 0);
    EXPECT_TRUE(course.recovery) << "90% of the goodput was not reached in time\n" << course.afterwards;
}

TEST(Overload, BaselineWithoutAdmissionIsMeasured)
{
    const auto course = slowDeepestService({{"admission", "off"}, {"quota", "off"}, {"retry", "copied_budget"}});
    EXPECT_GT(course.before, 0);
}

} // namespace jasminelatch::test
