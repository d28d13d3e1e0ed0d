#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/http.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

auto route(const std::string &name, const std::string &host, const std::string &prefix) -> Route
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

} // namespace

TEST(ConfigurationIndex, SelectsTheLongestMatchingPrefixOfTheHost)
{
    Configuration configuration;
    configuration.routes = {route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/y/z/")};
    const ConfigurationIndex index{configuration};
    EXPECT_EQ(index.findRoute("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(index.findRoute("A.Example:8080", "/x/1?q=/x/y/")->name, "short");
    EXPECT_EQ(index.findRoute("a.example", "/x"), nullptr);
    EXPECT_EQ(index.findRoute("c.example", "/x/1"), nullptr);
}

TEST(ConfigurationIndex, FindsTheAccountByApiKey)
{
    Configuration configuration;
    configuration.accounts = {{"club", {"k1", "k2"}, 0, 0, 0}};
    const ConfigurationIndex index{configuration};
    EXPECT_EQ(index.findAccount("k2")->name, "club");
    EXPECT_EQ(index.findAccount("k3"), nullptr);
}

TEST(Fields, RemovesHopByHopFields)
{
    std::vector<Field> fields{
        {"Connection", "close, X-Hop"}, {"x-hop", "1"}, {"Content-Length", "3"}, {"Accept", "a"}, {"Accept", "b"}};
    removeHopByHopFields(fields);
    ASSERT_EQ(fields.size(), 2U);
    EXPECT_EQ(fields[1].value, "b");
}

} // namespace jasminelatch::mesh
