#include "plans.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminelatch::test {

namespace {

auto contains(const nlohmann::json &run, const std::string &text) -> bool
{
    return run.dump().find(text) != std::string::npos;
}

/*! @brief Returns requests that carry a key in every place that a caller can think of. */
auto requestsWithKeys(const Vm &vm, const std::string &key) -> std::vector<Request>
{
    const auto plain = preview(vm, "", "body");
    std::vector<Request> requests(8, plain);
    requests[0].key = key;
    requests[1].headers["X-Api-Key"] = key;
    requests[2].url += "?api_key=" + key;
    requests[3].key = key;
    requests[3].headers["X-Other"] = "see " + key;
    requests[4].key = key;
    requests[4].url += "?other=" + key + "&page=2";
    requests[5].key = key;
    requests[5].url += "/" + key;
    requests[6].key = key;
    requests[6].body = "my key is " + key;
    requests[7].headers["Authorization"] = key;
    requests[7].headers["X-Api-Key"] = key;
    return requests;
}

} // namespace

TEST(Answers, WholeThroughAnyNodeWithNestedCalls)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(fleet.waitReady());
    Caller caller{4};
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto request = preview(fleet.vm(index), fleet.key("club"), "through node " + std::to_string(index));
        Reply reply;
        EXPECT_TRUE(waitUntil([&] {
            reply = caller.call(request);
            return reply.ok();
        })) << reply.status
            << " " << reply.reason;
        EXPECT_TRUE(isCompleteAnswer(reply, request.body)) << reply.body;
        EXPECT_NE(reply.body.find("stock"), std::string::npos) << "the nested answer is missing: " << reply.body;
    }
}

TEST(Answers, NoKeyReachesBackendServers)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    const auto key = fleet.key("club");
    const auto secret = key.substr(key.find('_', key.find('_') + 1) + 1);
    Caller caller{4};
    int answered = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        for (const auto &request : requestsWithKeys(fleet.vm(index), key)) {
            const auto reply = caller.call(request);
            ASSERT_EQ(reply.end, net::HttpEnd::Answered);
            EXPECT_TRUE(reply.ok() || reply.outcome == "not_run") << reply.status << " " << reply.reason;
            answered += reply.ok() ? 1 : 0;
        }
    }
    // Headers and the query lose the key; a path or a body with a key is refused.
    EXPECT_EQ(answered, 6 * static_cast<int>(fleet.size()));
    for (const auto &service : {"shop", "stock"}) {
        const auto runs = fleet.runs(service);
        EXPECT_FALSE(runs.empty());
        for (const auto &run : runs) {
            EXPECT_FALSE(contains(run, secret) || contains(run, "jl_")) << run.dump();
        }
    }
}

TEST(Answers, EachCallerGetsItsOwnWhenAnswersCross)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    // Servers of very different speed, one of which changes all the time, answer out of order.
    fleet.setBackendFaults(0, {{"slow_factor", 20.0}});
    fleet.setBackendFaults(4, {{"slow_factor", 30.0}});
    Traffic traffic{40, std::chrono::milliseconds{2}, [&](const unsigned caller, const unsigned number) {
                        const auto name = std::to_string(caller) + "/" + std::to_string(number);
                        auto request = preview(fleet.vm((caller + number) % fleet.size()), fleet.key("club"), name);
                        request.body += std::string(number % 997, 'y');
                        return request;
                    }};
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] {
        fleet.setBackendFaults(1, {{"slow_factor", 1.0 + static_cast<double>(traffic.completeSince(begin) % 40)}});
        return traffic.completeSince(begin) >= 1500;
    }));
    std::size_t whole = 0;
    for (const auto &sent : traffic.stop()) {
        whole += sent.isComplete() ? 1 : 0;
        EXPECT_TRUE(!sent.reply.ok() || sent.isComplete()) << sent.request.body << " got " << sent.reply.body;
    }
    EXPECT_GE(whole, 1500U);
}

} // namespace jasminelatch::test
