#include <jasminelatch/core/duration_text.hpp>
#include <jasminelatch/sidecar/metrics_text.hpp>
#include <jasminelatch/sidecar/settings.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::sidecar {

namespace {

const std::string goodText = R"({ // with comments
  "name": "vm-1", "failure_domain": "a", "service": "orders", "instance": "10.0.0.1:80", "store": "10.0.0.2:90",
  "listen": {"callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "reports": "10.0.0.1:3", "peers": "10.0.0.1:4",
             "metrics": "10.0.0.1:5"},
  "terms": {"grace": "6s", "revocation": "5000ms", "repeat_ratio": 0.2, "repeat_slack": 48,
            "repeat_window": "10s", "cap_over_part": 0.1, "cap_window": "5s", "cap_excess": 20}, "limits": {"memory_mb": 160}})";

} // namespace

TEST(SidecarSettings, ParsesACompleteFile)
{
    Findings findings;
    const auto settings = parseSettings(goodText, "file", findings);
    ASSERT_TRUE(settings) << toText(findings);
    EXPECT_EQ(settings->peers, (event::Endpoint{"10.0.0.1", 4}));
    EXPECT_EQ(settings->capOverFraction, 0.1);
    EXPECT_EQ(settings->capWindow, Duration{std::chrono::seconds{5}});
    EXPECT_EQ(settings->capExcessRequests, 20.0);
    EXPECT_EQ(settings->memoryBytes, std::size_t{160} << 20);
    EXPECT_EQ(settings->revocation, Duration{std::chrono::seconds{5}});
}

TEST(SidecarSettings, ReportsEveryErrorWithItsLocation)
{
    auto text = goodText;
    text.replace(text.find("10.0.0.2:90"), 11, "nowhere");
    text.replace(text.find("5000ms"), 6, "soon");
    text.replace(text.find("\"service\""), 9, "\"serwice\"");
    Findings findings;
    EXPECT_FALSE(parseSettings(text, "file", findings));
    EXPECT_GE(findings.size(), 3U) << toText(findings);
}

TEST(SidecarSettings, ReadsWhenTheConcurrencyLimitIsLearned)
{
    const auto read = [](const std::string &field) {
        auto text = goodText;
        text.insert(text.find("\"name\""), field);
        Findings findings;
        const auto settings = parseSettings(text, "file", findings);
        return settings ? std::optional{settings->learnConcurrency} : std::nullopt;
    };
    EXPECT_EQ(read(""), mesh::LearnConcurrency::Stated);
    EXPECT_EQ(read(R"("learn_concurrency": "stated", )"), mesh::LearnConcurrency::Stated);
    EXPECT_EQ(read(R"("learn_concurrency": "always", )"), mesh::LearnConcurrency::Always);
    EXPECT_EQ(read(R"("learn_concurrency": "never", )"), mesh::LearnConcurrency::Never);
    EXPECT_FALSE(read(R"("learn_concurrency": "often", )"));
}

TEST(DurationText, ParsesMillisecondsAndSeconds)
{
    EXPECT_EQ(parseDuration("1500ms"), Duration{1'500'000});
    EXPECT_EQ(parseDuration("2.5s"), Duration{2'500'000});
    for (const auto *bad : {"", "ms", "5", "-1s", "1m", "1 s", "nan s", "1e99s"}) {
        EXPECT_FALSE(parseDuration(bad)) << bad;
    }
}

TEST(MetricsText, FormatsCountersAndGauges)
{
    Counters counters;
    counters.add("entry.refused.over_cap", 3);
    const auto text = metricsText(counters, {{"peers", 13}});
    EXPECT_NE(text.find("jasminelatch_entry_refused_over_cap_total 3\n"), std::string::npos);
    EXPECT_NE(text.find("# TYPE jasminelatch_peers gauge\njasminelatch_peers 13\n"), std::string::npos);
}

TEST(MetricsText, FormatsLatenciesAsCumulativeBuckets)
{
    using namespace std::chrono_literals;
    Counters counters;
    for (const auto time : {Duration{0ms}, Duration{3ms}, Duration{300ms}, Duration{12s}}) {
        counters.observe("entry.request_time", time);
    }
    const auto text = metricsText(counters, {});
    const std::string name{"jasminelatch_entry_request_time_seconds"};
    EXPECT_NE(text.find("# TYPE " + name + " histogram\n"), std::string::npos);
    for (const auto *line : {"_bucket{le=\"0.001\"} 1\n",
                             "_bucket{le=\"0.005\"} 2\n",
                             "_bucket{le=\"0.25\"} 2\n",
                             "_bucket{le=\"0.5\"} 3\n",
                             "_bucket{le=\"10\"} 3\n",
                             "_bucket{le=\"+Inf\"} 4\n",
                             "_sum 12.303\n",
                             "_count 4\n"}) {
        EXPECT_NE(text.find(name + line), std::string::npos) << line;
    }
}

} // namespace jasminelatch::sidecar
