#include <jasminelatch/connection/answer_cache.hpp>

#include <gtest/gtest.h>

#include <string>

using namespace std::chrono_literals;

namespace jasminelatch::connection {

namespace {

const NodeAddress asker{"10.0.0.1:7000"};
constexpr Incarnation incarnation = 7;

struct Bench {
    Clock clock;
    Counters counters;
    int resent{};
    std::optional<AnswerCache> cache;

    explicit Bench(const CacheSettings &settings)
    {
        clock.pause();
        const auto resend = [this](const NodeAddress &, const RequestId &, std::string_view) {
            ++resent;
        };
        cache.emplace(settings, incarnation, clock, counters, AnswerCache::Hooks{resend});
    }

    auto ask(const std::string &id, const Incarnation known = incarnation) -> AnswerState
    {
        return cache->report(asker, AnswerQuery{{{RequestId{id}, known}}}).statuses.at(0).state;
    }
};

} // namespace

TEST(AnswerCache, ResendsAnAnswerWhileItIsKept)
{
    Bench bench{CacheSettings{}};
    EXPECT_TRUE(bench.cache->begin(RequestId{"1"}));
    EXPECT_EQ(bench.ask("1"), AnswerState::InProgress);
    bench.cache->complete(RequestId{"1"}, "answer");
    EXPECT_EQ(bench.ask("1"), AnswerState::Done);
    EXPECT_EQ(bench.resent, 1);
    EXPECT_FALSE(bench.cache->begin(RequestId{"1"}));
    bench.clock.advance(10s);
    bench.cache->tick();
    EXPECT_EQ(bench.ask("1"), AnswerState::Ran);
    EXPECT_EQ(bench.resent, 1);
}

TEST(AnswerCache, RefusesWhatItDeclaredNotRun)
{
    Bench bench{CacheSettings{}};
    EXPECT_EQ(bench.ask("1"), AnswerState::NotRun);
    bench.clock.advance(119s);
    bench.cache->tick();
    EXPECT_FALSE(bench.cache->begin(RequestId{"1"}));
    EXPECT_EQ(bench.ask("1"), AnswerState::NotRun);
    EXPECT_EQ(bench.ask("1", incarnation + 1), AnswerState::Unknown);
    EXPECT_EQ(bench.ask("2", incarnation + 1), AnswerState::Unknown);
    EXPECT_EQ(bench.ask("3", 0), AnswerState::Unknown);
    EXPECT_FALSE(bench.cache->begin(RequestId{"4"}, incarnation + 1));
    EXPECT_TRUE(bench.cache->begin(RequestId{"4"}, incarnation));
}

TEST(AnswerCache, DeclaresNothingNotRunWhenItHadToForget)
{
    CacheSettings settings;
    settings.idLimit = 2;
    settings.refusedLimit = 1;
    Bench bench{settings};
    EXPECT_TRUE(bench.cache->begin(RequestId{"1"}));
    EXPECT_TRUE(bench.cache->begin(RequestId{"2"}));
    EXPECT_EQ(bench.ask("4"), AnswerState::NotRun);
    EXPECT_EQ(bench.ask("5"), AnswerState::Unknown);
    EXPECT_TRUE(bench.cache->begin(RequestId{"3"}));
    bench.clock.advance(119s);
    bench.cache->tick();
    EXPECT_EQ(bench.ask("1"), AnswerState::Unknown);
    EXPECT_FALSE(bench.cache->begin(RequestId{"4"}));
    bench.clock.advance(2s);
    bench.cache->tick();
    EXPECT_EQ(bench.ask("6"), AnswerState::NotRun);
}

TEST(AnswerCache, KeepsItsAnswersBelowTheByteLimit)
{
    CacheSettings settings;
    settings.answerBytes = 100;
    Bench bench{settings};
    for (auto number = 0; number < 20; ++number) {
        const RequestId id{std::to_string(number)};
        EXPECT_TRUE(bench.cache->begin(id));
        bench.cache->complete(id, std::string(30, 'x'));
        EXPECT_LE(bench.cache->answerBytes(), 100U);
    }
    EXPECT_EQ(bench.ask("0"), AnswerState::Ran);
    EXPECT_EQ(bench.ask("19"), AnswerState::Done);
    bench.clock.advance(121s);
    bench.cache->tick();
    EXPECT_EQ(bench.cache->answerBytes(), 0U);
}

} // namespace jasminelatch::connection
