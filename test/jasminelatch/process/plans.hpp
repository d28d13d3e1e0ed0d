#ifndef JASMINELATCH_TEST_PROCESS_PLANS_HPP
#define JASMINELATCH_TEST_PROCESS_PLANS_HPP

#include <gtest/gtest.h>
#include <support/caller.hpp>
#include <support/process_fleet.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminelatch::test {

constexpr double wideRate = 5000;
constexpr double narrowRate = 40;
constexpr double narrowBurst = 20;

/*! @brief Returns records of two accounts and of the kinds of the services `shop` and `stock`. */
inline auto shopRecords() -> nlohmann::json
{
    const auto account = [](const char *name, const double rate, const double burst) -> nlohmann::json {
        return {{"schema", 1}, {"record", "account"}, {"name", name}, {"rate", rate}, {"burst", burst}};
    };
    const auto kind = [](const char *name, const char *service, const char *method, const char *path) {
        return nlohmann::json{{"schema", 1},
                              {"record", "kind"},
                              {"name", name},
                              {"service", service},
                              {"method", method},
                              {"path", path},
                              {"timeout_ms", 5000}};
    };
    auto order = kind("order", "shop", "POST", "/order");
    order["idempotent"] = false;
    order["importance"] = 0;
    auto preview = kind("preview", "shop", "POST", "/preview");
    preview["idempotent"] = true;
    preview["importance"] = 1;
    auto quick = kind("quick", "shop", "POST", "/quick");
    quick["idempotent"] = true;
    quick["importance"] = 1;
    auto stock = kind("stock", "stock", "GET", "/check");
    stock["importance"] = 1;
    stock["weight"] = 0;
    return nlohmann::json::array({{{"schema", 1},
                                   {"record", "fleet"},
                                   {"name", "fleet"},
                                   {"retry_limit", 3},
                                   {"max_depth", 6},
                                   {"quota_shares", 4},
                                   {"order_shards", 4}},
                                  account("club", wideRate, wideRate),
                                  account("school", narrowRate, narrowBurst),
                                  order,
                                  preview,
                                  quick,
                                  stock});
}

/*! @brief Returns a fleet of two services over three failure domains; `shop` calls `stock`. */
inline auto shopPlan() -> FleetPlan
{
    FleetPlan plan;
    plan.vms = {{"shop", "d1"}, {"shop", "d2"}, {"shop", "d3"}, {"stock", "d1"}, {"stock", "d2"}, {"stock", "d3"}};
    plan.records = shopRecords();
    plan.accounts = {"club", "school"};
    const nlohmann::json check{{"path", "/stock/check"}};
    plan.routes["shop"] = {{{"path", "/order"}, {"work_ms", 30}, {"calls", {check}}},
                           {{"path", "/preview"}, {"work_ms", 5}, {"calls", {check}}},
                           {{"path", "/quick"}, {"work_ms", 2}}};
    plan.routes["stock"] = {{{"path", "/check"}, {"work_ms", 5}}};
    return plan;
}

/*! @brief Returns an idempotent request with a nested call. */
inline auto preview(const Vm &vm, const std::string &key, const std::string &body) -> Request
{
    return {vm.callerUrl() + "/shop/preview", key, body, "", "POST", std::chrono::seconds{5}, {}};
}

/*! @brief Returns an order with a nested call. */
inline auto order(const Vm &vm, const std::string &key, const std::string &name) -> Request
{
    return {vm.callerUrl() + "/shop/order", key, "order " + name, name, "POST", std::chrono::seconds{5}, {}};
}

/*! @brief Returns a header field that a backend server recorded, in whatever case; empty when it is missing. */
inline auto headerOf(const nlohmann::json &run, const std::string &name) -> std::string
{
    net::Headers headers;
    for (const auto &[field, value] : run.at("headers").items()) {
        headers[field] = value.get<std::string>();
    }
    return std::string{net::header(headers, name)};
}

/*! @brief Returns the ids of requests that backend servers ran although their callers were told `not_run`. */
inline auto ranAlthoughNotRun(ProcessFleet &fleet, const std::vector<Sent> &sent) -> std::vector<std::string>
{
    std::set<std::string> notRun;
    for (const auto &request : sent) {
        if (request.reply.outcome == "not_run") {
            notRun.insert(request.reply.requestId);
        }
    }
    std::vector<std::string> ran;
    for (const auto &run : fleet.runs("shop")) {
        const auto id = headerOf(run, "X-Request-Id");
        EXPECT_FALSE(id.empty());
        if (notRun.contains(id)) {
            ran.push_back(id + " " + run.at("path").get<std::string>());
        }
    }
    return ran;
}

/*! @brief Returns how the requests that got no whole answer ended, with the seconds since the first in which they did.
 */
inline auto describeFailures(const std::vector<Sent> &sent) -> std::string
{
    std::map<std::string, std::map<std::int64_t, int>> failures;
    for (const auto &request : sent) {
        if (!request.isComplete()) {
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(request.begin - sent.front().begin);
            const auto &reply = request.reply;
            ++failures["end " + std::to_string(static_cast<int>(reply.end)) + " status " + std::to_string(reply.status)
                       + " " + reply.reason + " " + reply.outcome + " at " + request.request.url][second.count()];
        }
    }
    return std::to_string(sent.size()) + " sent, not whole: " + nlohmann::json(failures).dump(1);
}

/*! @brief Waits until a whole answer to a preview comes through each node. */
inline auto waitServing(ProcessFleet &fleet) -> bool
{
    Caller caller{4};
    return fleet.waitReady() && waitUntil([&] {
               for (std::size_t index = 0; index < fleet.size(); ++index) {
                   const auto request = preview(fleet.vm(index), fleet.key("club"), "warm");
                   if (!isCompleteAnswer(caller.call(request), request.body)) {
                       return false;
                   }
               }
               return true;
           });
}

} // namespace jasminelatch::test

#endif
