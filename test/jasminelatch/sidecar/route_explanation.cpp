#include "test_node.hpp"

#include <jasminelatch/sidecar/route_explanation.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace jasminelatch::sidecar {

namespace {

/*! @brief An entry node and two nodes with an instance each of the requested service. */
struct RouteExplanationTest: testing::Test {
    RouteExplanationTest()
    {
        store.put("op/config", configuration("0000000c", R"("k1")"));
        for (const auto *node : {&front, &near, &far}) {
            EXPECT_TRUE(
                loopback.runUntil([&] { return getFrom(loopback, node->settings.ready, "/v1/ready").status == 200; }));
            sendInstanceReport(loopback, *node, "ready", 1);
        }
        EXPECT_TRUE(loopback.runUntil([&] { return healthyCandidates() == 2; }));
    }

    /*! @brief Returns how many instances have reported to the entry node. */
    auto healthyCandidates() -> std::ptrdiff_t
    {
        const auto explanation = explain();
        if (!explanation.contains("services")) {
            return 0;
        }
        return std::ranges::count_if(explanation.at("services").at(0).at("candidates"),
                                     [](const auto &candidate) { return candidate.at("state") == "healthy"; });
    }

    auto explain(const std::string &host = "a.example",
                 const std::string &target = "/m/1",
                 const std::string &account = "club") -> nlohmann::json
    {
        const nlohmann::json body{{"host", host}, {"target", target}, {"account", account}, {"time_left_ms", 400}};
        const auto answer =
            sendTo(loopback, front.settings.metrics, {"POST", "/explain", {{"Host", "x"}}, body.dump()});
        EXPECT_EQ(answer.status, 200U);
        return nlohmann::json::parse(answer.body.text(), nullptr, false);
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    TestNode front{loopback, storeAt, "front", "catalogue", "a", 30s};
    TestNode near{loopback, storeAt, "near", "orders", "a", 30s};
    TestNode far{loopback, storeAt, "far", "orders", "b", 30s};
};

} // namespace

TEST_F(RouteExplanationTest, NamesRouteAccountCandidatesAndTheChoice)
{
    const auto explanation = explain();
    EXPECT_EQ(explanation.at("route"), "maps");
    EXPECT_EQ(explanation.at("time_left_ms"), 400.0);
    EXPECT_EQ(explanation.at("admitted_fraction"), 1.0);
    const auto &service = explanation.at("services").at(0);
    EXPECT_EQ(service.at("service"), "orders");
    EXPECT_EQ(service.at("choice"), "near");
    ASSERT_EQ(service.at("candidates").size(), 2U);
    EXPECT_EQ(service.at("candidates").at(1).at("state"), "healthy");
}

// Asking must not count as a request: neither at the instances nor in what the node believes.
TEST_F(RouteExplanationTest, SendsNothingAndChangesNothing)
{
    const auto requests = near.instance.requests.size() + far.instance.requests.size();
    auto first = explain();
    auto second = explain();
    EXPECT_EQ(first.at("services").at(0).at("choice"), second.at("services").at(0).at("choice"));
    EXPECT_EQ(first.at("cap_level"), second.at("cap_level"));
    EXPECT_EQ(near.instance.requests.size() + far.instance.requests.size(), requests);
    EXPECT_EQ(getFrom(loopback, front.settings.metrics, "/metrics").body.find("entry_requests_total"),
              std::string::npos);
}

TEST_F(RouteExplanationTest, SaysWhyARequestWouldBeRefused)
{
    EXPECT_EQ(explain("b.example").at("reason"), "no_route");
    EXPECT_EQ(explain("a.example", "/m/1", "nobody").at("reason"), "no_account");
    store.put("op/evacuate/a", base64("{}"));
    ASSERT_TRUE(loopback.runUntil([&] { return explain().at("services").at(0).at("choice") == "far"; }, 3s));
    store.put("op/evacuate/b", base64("{}"));
    ASSERT_TRUE(loopback.runUntil([&] { return explain().at("outcome") == "refused"; }, 3s));
    const auto explanation = explain();
    EXPECT_EQ(explanation.at("reason"), "no_instance");
    EXPECT_EQ(explanation.at("services").at(0).at("candidates").at(0).at("state"), "evacuated");
}

TEST_F(RouteExplanationTest, AMalformedQuestionIsAnError)
{
    for (const std::string body : {"", "[]", "{}", R"({"host":7,"target":"/"})"}) {
        const auto answer = sendTo(loopback, front.settings.metrics, {"POST", "/explain", {{"Host", "x"}}, body});
        EXPECT_EQ(answer.status, 400U) << body;
    }
}

} // namespace jasminelatch::sidecar
