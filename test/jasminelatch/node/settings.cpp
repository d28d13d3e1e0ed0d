#include <jasminelatch/node/announcement.hpp>
#include <jasminelatch/node/settings.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::node {

TEST(Settings, AreReadFromJsonWithComments)
{
    Findings findings;
    const auto settings = parseSettings(R"({
        // where it is
        "address": "127.0.0.1:7000", "failure_domain": "d1", "service": "stock", "store": "http://127.0.0.1:1",
        "fleet_secret": "s", "ports": {"callers": 1, "local": 2, "operators": 3}, "modes": {"quota": "off"}})",
                                        "node.json",
                                        findings);
    ASSERT_TRUE(settings) << toText(findings);
    EXPECT_EQ(settings->address, NodeAddress{"127.0.0.1:7000"});
    EXPECT_EQ(settings->quota, quota::Mode::Off);
    EXPECT_EQ(settings->admission, admission::Mode::Adaptive);
}

TEST(Settings, ReportEverythingThatIsWrongTogether)
{
    Findings findings;
    const auto settings = parseSettings(
        R"({"address": 7, "failure_domain": "d1", "store": "x", "fleet_secret": "s", "typo": 1,
            "ports": {"callers": 70000, "local": 2, "operators": 3}, "modes": {"quota": "sometimes"}})",
        "node.json",
        findings);
    EXPECT_FALSE(settings);
    EXPECT_EQ(findings.size(), 5U) << toText(findings);
    for (const auto &finding : findings) {
        EXPECT_EQ(finding.file, "node.json");
        EXPECT_FALSE(finding.reason.empty());
    }
}

TEST(Announcement, IsCheckedWhole)
{
    Findings findings;
    EXPECT_FALSE(parseAnnouncement(R"({"url": "", "slots": 0, "state": "asleep"})", findings));
    EXPECT_EQ(findings.size(), 4U) << toText(findings);
    findings.clear();
    const auto announcement =
        parseAnnouncement(R"({"url": "http://b", "slots": 3, "connections": 9, "state": "draining"})", findings);
    ASSERT_TRUE(announcement) << toText(findings);
    EXPECT_EQ(announcement->state, membership::EndpointState::Draining);
}

} // namespace jasminelatch::node
