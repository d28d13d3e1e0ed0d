#include <jasminelatch/retry/asker.hpp>

#include <gtest/gtest.h>

#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::retry {

namespace {

/*! @brief One asker whose messages are kept. */
struct Bench {
    Clock clock;
    Counters counters;
    std::vector<Message> sent;
    Asker asker{Settings{.serviceShare = 0.5, .serviceMinimum = 0.0, .serviceBurst = 2.0},
                NodeAddress{"self"},
                7,
                clock,
                counters,
                {[this](const NodeAddress &, Message message) { sent.push_back(std::move(message)); },
                 [](const Ask &) {
                     return Verdict::Granted;
                 }}};

    Bench() { clock.pause(); }

    /*! @brief Asks the ledger of the node itself, which answers at once. */
    auto askSelf() -> bool
    {
        auto answer = false;
        asker.ask({RequestId{"r"}, NodeAddress{"self"}, ServiceName{"s"}, Reason::BackendLost, 1s},
                  [&answer](const bool granted) { answer = granted; });
        return answer;
    }
};

} // namespace

TEST(Asker, RefusesWithoutAnAnswerBeforeTheDeadline)
{
    Bench bench;
    auto answers = 0;
    const Need need{RequestId{"r"}, NodeAddress{"far"}, ServiceName{"s"}, Reason::NodeLost, 20ms};
    bench.asker.ask(need, [&](const bool granted) { answers += granted ? 100 : 1; });
    ASSERT_EQ(bench.sent.size(), 1U);
    bench.clock.advance(20ms);
    const auto id = std::get<Ask>(bench.sent[0]).id;
    bench.asker.tick();
    bench.asker.receive(NodeAddress{"far"}, Grant{id, Verdict::Granted});
    EXPECT_EQ(answers, 1);
    EXPECT_EQ(bench.counters.value("retry.refused_no_answer"), 1U);
    EXPECT_EQ(bench.counters.value("retry.grant_ignored"), 1U);
    EXPECT_EQ(bench.counters.value("retry.wanted_node_lost"), 1U);
}

TEST(Asker, KeepsTheRetriesOfAServiceToItsShareOfDispatches)
{
    Bench bench;
    EXPECT_TRUE(bench.askSelf());
    EXPECT_TRUE(bench.askSelf());
    EXPECT_FALSE(bench.askSelf());
    EXPECT_EQ(bench.counters.value("retry.refused_service_share"), 1U);
    bench.asker.dispatched(ServiceName{"s"});
    EXPECT_FALSE(bench.askSelf());
    bench.asker.dispatched(ServiceName{"s"});
    EXPECT_TRUE(bench.askSelf());
}

TEST(Asker, IgnoresGrantsFromOtherNodes)
{
    Bench bench;
    auto answers = 0;
    const Need need{RequestId{"r"}, NodeAddress{"far"}, ServiceName{"s"}, Reason::NodeLost, 1s};
    bench.asker.ask(need, [&](const bool granted) { answers += granted ? 1 : 100; });
    const auto id = std::get<Ask>(bench.sent.at(0)).id;
    bench.asker.receive(NodeAddress{"other"}, Grant{id, Verdict::Granted});
    bench.asker.receive(NodeAddress{"far"}, Grant{{8, id.number}, Verdict::Granted});
    EXPECT_EQ(answers, 0);
    bench.asker.receive(NodeAddress{"far"}, Grant{id, Verdict::Granted});
    bench.asker.receive(NodeAddress{"far"}, Grant{id, Verdict::Granted});
    EXPECT_EQ(answers, 1);
}

} // namespace jasminelatch::retry
