#include "plans.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <set>

namespace jasminelatch::test {

namespace {

/*! @brief Longest time that a lease outlives its holder, as the platform's bound for all take-overs. */
constexpr auto pauseLength = std::chrono::seconds{9};

/*! @brief What the backend servers ran and what the callers were told, by order. */
struct OrderBook {
    std::map<std::string, int> runs;
    std::set<std::string> answered;
};

auto readBook(ProcessFleet &fleet, const std::vector<Sent> &sent) -> OrderBook
{
    OrderBook book;
    for (const auto &run : fleet.runs("shop")) {
        if (run.at("path") == "/order") {
            ++book.runs[headerOf(run, "Idempotency-Key")];
        }
    }
    for (const auto &order : sent) {
        if (order.isComplete()) {
            book.answered.insert(order.request.idempotencyKey);
        }
    }
    return book;
}

auto expectOnce(const OrderBook &book) -> void
{
    for (const auto &[name, count] : book.runs) {
        EXPECT_EQ(count, 1) << name;
    }
    for (const auto &name : book.answered) {
        EXPECT_EQ(book.runs.count(name), 1U) << name;
    }
}

/*! @brief Callers that repeat each order hard, at one node after the other, until its whole answer is there. */
class Buyers
{
public:
    explicit Buyers(ProcessFleet &fleet)
        : fleet_{&fleet}
        , traffic_{callers, std::chrono::milliseconds{1}, [this](const unsigned caller, const unsigned number) {
                       return next(caller, number);
                   }}
    {
    }

    [[nodiscard]] auto traffic() -> Traffic & { return traffic_; }

private:
    static constexpr unsigned callers = 24;
    static constexpr unsigned repeats = 4;

    auto next(const unsigned caller, const unsigned number) -> Request
    {
        // Two callers share each order, so that the same key is at two nodes at once.
        const auto name = "o" + std::to_string(caller / 2) + "-" + std::to_string(number / repeats);
        auto request = order(fleet_->vm((caller + number) % fleet_->size()), fleet_->key("club"), name);
        request.timeout = std::chrono::milliseconds{1500};
        return request;
    }

    ProcessFleet *fleet_;
    Traffic traffic_;
};

} // namespace

TEST(Orders, RunOnceWhenNodesAreKilled)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    Buyers buyers{fleet};
    auto &traffic = buyers.traffic();
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 100; }));
    const auto victim = fleet.holderOf("order/0").value_or(0);
    fleet.vm(victim).node.kill();
    const auto killed = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(killed) >= 100; }));
    fleet.startNode(victim);
    EXPECT_TRUE(fleet.waitReady());
    const auto second = fleet.holderOf("order/1").value_or(1);
    fleet.vm(second).node.kill();
    const auto again = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(again) >= 100; }));
    const auto sent = traffic.stop();
    const auto book = readBook(fleet, sent);
    expectOnce(book);
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
    EXPECT_GE(book.answered.size(), 50U);
}

TEST(Orders, RunOnceWhenTheirHolderIsPausedPastItsLease)
{
    ProcessFleet fleet{shopPlan()};
    ASSERT_TRUE(waitServing(fleet));
    Buyers buyers{fleet};
    auto &traffic = buyers.traffic();
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitUntil([&] { return traffic.completeSince(begin) >= 50; }));
    const auto victim = fleet.holderOf("order/0").value_or(0);
    fleet.vm(victim).node.signal(SIGSTOP);
    // The length of the pause is the fault itself.
    std::this_thread::sleep_for(pauseLength);
    fleet.vm(victim).node.signal(SIGCONT);
    const auto woken = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil([&] { return traffic.completeSince(woken) >= 100; }));
    const auto sent = traffic.stop();
    expectOnce(readBook(fleet, sent));
    EXPECT_EQ(ranAlthoughNotRun(fleet, sent), std::vector<std::string>{});
}

} // namespace jasminelatch::test
