#include "fleet.hpp"

#include <jasminelatch/quota/borrower.hpp>

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

using namespace std::chrono_literals;

namespace jasminelatch::test {

namespace {

constexpr auto stepLength = 1ms;
constexpr auto coarseStep = 5ms;
constexpr auto fillingTime = 6s;
constexpr std::size_t nodeCount = 20;
constexpr std::size_t entry = nodeCount - 1;
constexpr double load = 0.9; // of the account's rate
constexpr double percent = 100.0;
constexpr double leastRateOfTargets = 100.0; // requests per second

/*! @brief Requests asked and refused in one part of a run. */
struct Tally {
    std::size_t asked{};
    std::size_t refused{};

    auto operator+=(const Tally &other) -> Tally &
    {
        asked += other.asked;
        refused += other.refused;
        return *this;
    }

    [[nodiscard]] auto part() const -> double { return asked == 0 ? 0.0 : double(refused) / double(asked); }
};

/*! @brief One bucket for the whole account, which a single process would have. */
class IdealBucket
{
public:
    explicit IdealBucket(const record::Account &account)
        : bucket_{account.rate, account.burst, TimePoint{}}
    {
    }

    auto take(const double seconds) -> bool
    {
        const auto now =
            TimePoint{} + std::chrono::hours{1} + std::chrono::round<Duration>(std::chrono::duration<double>{seconds});
        const auto taken = bucket_.lend(1, now) == 1;
        bucket_.settleSpent(taken ? 1 : 0, now, now);
        return taken;
    }

private:
    quota::internal::Bucket bucket_;
};

/*! @brief Lets the buckets fill without any request. */
auto fillUp(Fleet &fleet) -> void
{
    for (auto elapsed = Duration::zero(); elapsed < fillingTime; elapsed += coarseStep) {
        fleet.step(coarseStep);
    }
}

/*! @brief Same arrivals, all at one node, to escrow, to the static split and to the ideal bucket. */
class SkewedRun
{
public:
    SkewedRun(const record::Account &account, const std::uint64_t seed)
        : account_{account}
        , escrow_{options(seed), {}, {}, account}
        , fixed_{options(seed), {.mode = quota::Mode::StaticSplit, .nodeCount = nodeCount}, {}, account}
        , ideal_{account}
        , arrivals_{seed}
    {
        escrow_.takeOverAll({0, 1, 2, 3, 4, 5, 6, 7});
        fillUp(escrow_);
        fillUp(fixed_);
    }

    auto run(const Duration length) -> void
    {
        const auto perStep = account_.rate * load * std::chrono::duration<double>{stepLength}.count();
        std::poisson_distribution<int> count{perStep};
        for (auto elapsed = Duration::zero(); elapsed < length; elapsed += stepLength) {
            for (auto left = count(arrivals_); left > 0; --left) {
                escrow_.acquire(entry);
                fixed_.acquire(entry);
                idealRefused_ += ideal_.take(escrow_.seconds()) ? 0 : 1;
            }
            escrow_.step(stepLength);
            fixed_.step(stepLength);
        }
    }

    /*! @brief Ends the counting of one part of the run and starts the next. */
    auto endPart(Tally &escrow, Tally &fixed, Tally &ideal) -> void
    {
        const auto asked = escrow_.asked() - asked_;
        escrow += {asked, escrow_.refused() - escrowRefused_};
        fixed += {asked, fixed_.refused() - fixedRefused_};
        ideal += {asked, idealRefused_};
        asked_ = escrow_.asked();
        escrowRefused_ = escrow_.refused();
        fixedRefused_ = fixed_.refused();
        idealRefused_ = 0;
    }

    [[nodiscard]] auto escrow() -> Fleet & { return escrow_; }
    [[nodiscard]] auto asksSent() const -> std::uint64_t { return escrow_.counters(entry).value("quota.ask_sent"); }

private:
    static auto options(const std::uint64_t seed) -> FleetOptions { return {.nodes = nodeCount, .seed = seed}; }

    record::Account account_;
    Fleet escrow_;
    Fleet fixed_;
    IdealBucket ideal_;
    std::mt19937_64 arrivals_;
    std::size_t asked_{};
    std::size_t escrowRefused_{};
    std::size_t fixedRefused_{};
    std::size_t idealRefused_{};
};

/*! @brief Refusals of one account size, over several runs. */
struct Measured {
    std::array<Tally, 3> steady; /*!< Escrow, static split, ideal bucket. */
    std::array<Tally, 3> afterDeath; /*!< The same, in the 5 s after a holder's death. */
    double asksPerSecond{}; /*!< Loan messages of the entry node. */
};

auto measure(const record::Account &account) -> Measured
{
    constexpr std::uint64_t runs = 8;
    constexpr auto steadyLength = 30s;
    Measured result;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        SkewedRun run{account, seed};
        std::array<Tally, 3> warmUp;
        run.run(10s);
        run.endPart(warmUp[0], warmUp[1], warmUp[2]);
        const auto asksBefore = run.asksSent();
        run.run(steadyLength);
        run.endPart(result.steady[0], result.steady[1], result.steady[2]);
        result.asksPerSecond += double(run.asksSent() - asksBefore) / (runs * 30.0);
        run.escrow().kill(seed % 8);
        run.run(5s);
        run.endPart(result.afterDeath[0], result.afterDeath[1], result.afterDeath[2]);
    }
    return result;
}

} // namespace

TEST(Borrower, RefusesFewRequestsWithinTheRateAtOneNode)
{
    const std::array<record::Account, 5> accounts{{
        {AccountName{"club"}, 1000.0, 1000.0},
        {AccountName{"club"}, 100.0, 100.0},
        {AccountName{"club"}, 100.0, 20.0},
        {AccountName{"club"}, 10.0, 10.0},
        {AccountName{"club"}, 1.0, 4.0},
    }};
    std::printf("refused, %%  | steady: escrow static ideal | after a death: escrow static ideal | asks/s\n");
    for (const auto &account : accounts) {
        const auto measured = measure(account);
        const auto &[escrow, fixed, ideal] = measured.steady;
        const auto &[escrowDeath, fixedDeath, idealDeath] = measured.afterDeath;
        std::printf("%5.0f/s %4.0f | %13.2f %6.2f %5.2f | %20.2f %6.2f %5.2f | %.1f\n",
                    account.rate,
                    account.burst,
                    percent * escrow.part(),
                    percent * fixed.part(),
                    percent * ideal.part(),
                    percent * escrowDeath.part(),
                    percent * fixedDeath.part(),
                    percent * idealDeath.part(),
                    measured.asksPerSecond);
        if (account.burst >= account.rate && account.rate >= leastRateOfTargets) {
            EXPECT_LT(escrow.part(), 0.01);
            EXPECT_LT(escrowDeath.part(), 0.05);
            EXPECT_GT(fixed.part(), escrow.part());
        }
    }
}

TEST(Borrower, CountsALoansLifetimeFromBeforeTheAsk)
{
    Clock clock;
    clock.pause();
    Counters counters;
    std::vector<quota::LoanAsk> asks;
    quota::Borrower borrower{
        {.maxWait = 2s},
        NodeAddress{"b"},
        1,
        clock,
        counters,
        {[&](const NodeAddress &, quota::Message message) { asks.push_back(std::get<quota::LoanAsk>(message)); },
         [](const LeaseName &) {
             return NodeAddress{"h"};
         }}};
    const record::Account account{AccountName{"club"}, 10.0, 10.0};
    borrower.setRecords({.quotaShares = 1}, {&account, 1});
    std::vector<quota::Verdict> verdicts;
    const auto acquire = [&] {
        borrower.acquire(account.name, [&](const quota::Decision decision) { verdicts.push_back(decision.verdict); });
    };
    acquire();
    ASSERT_EQ(asks.size(), 1U);
    clock.advance(900ms);
    const auto &ask = asks.front();
    const quota::LoanGrant grant{ask.incarnation, ask.number, true, 1s, {{account.name, 2, 0.0}}};
    borrower.receive(NodeAddress{"other"}, grant);
    EXPECT_TRUE(verdicts.empty());
    borrower.receive(NodeAddress{"h"}, grant);
    borrower.receive(NodeAddress{"h"}, grant);
    ASSERT_EQ(verdicts.size(), 1U);
    EXPECT_EQ(verdicts[0], quota::Verdict::Granted);
    clock.advance(100ms);
    acquire();
    clock.advance(2s);
    borrower.tick();
    ASSERT_EQ(verdicts.size(), 2U);
    EXPECT_NE(verdicts[1], quota::Verdict::Granted);
}

TEST(Borrower, RefusesWithoutAnyHolder)
{
    Fleet fleet{{.nodes = 1}, {}, {}, {AccountName{"club"}, 10.0, 10.0}};
    fleet.acquire(0);
    EXPECT_EQ(fleet.refused(), 1U);
    EXPECT_EQ(fleet.counters(0).value("quota.no_holder"), 1U);
}

TEST(Borrower, SpendsFewMessagesWhenManyNodesShareAnAccount)
{
    constexpr std::size_t nodes = 50;
    constexpr auto steps = 4'000;
    constexpr double mostAsks = 4.0; // per second and node
    for (const auto burst : {500.0, 1000.0}) {
        const record::Account account{AccountName{"club"}, 500.0, burst};
        Fleet fleet{{.nodes = nodes, .seed = 1}, {}, {}, account};
        fleet.takeOverAll({0, 1, 2, 3, 4, 5, 6, 7});
        fillUp(fleet);
        const auto perStep = load * account.rate / nodes * std::chrono::duration<double>{coarseStep}.count();
        for (auto step = 0; step < steps; ++step) {
            for (std::size_t node = 0; node < nodes; ++node) {
                if (fleet.chance(perStep)) {
                    fleet.acquire(node);
                }
            }
            fleet.step(coarseStep);
        }
        std::uint64_t asks = 0;
        std::uint64_t waited = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            asks += fleet.counters(node).value("quota.ask_sent");
            waited += fleet.counters(node).value("quota.waited");
        }
        const auto perNode = double(asks) / (steps * std::chrono::duration<double>{coarseStep}.count()) / nodes;
        std::printf("9/s at each of 50 nodes, 500/s, burst %.0f: %.2f loan asks/s a node, %.1f %% waited\n",
                    burst,
                    perNode,
                    percent * double(waited) / double(fleet.asked()));
        EXPECT_LT(perNode, mostAsks);
    }
}

TEST(Borrower, RefusesAnAccountFarOverItsRateWithFewMessages)
{
    const record::Account account{AccountName{"club"}, 100.0, 100.0};
    Fleet fleet{{.nodes = nodeCount, .seed = 1}, {}, {}, account};
    fleet.takeOverAll({0, 1, 2, 3, 4, 5, 6, 7});
    constexpr auto steps = 30'000;
    for (auto step = 0; step < steps; ++step) {
        if (step % 2 == 0) {
            fleet.acquire(nodeCount - 1 - fleet.below(4));
        }
        fleet.step(stepLength);
    }
    std::uint64_t asks = 0;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        asks += fleet.counters(node).value("quota.ask_sent");
    }
    const auto perSecond = double(fleet.log().size()) / fleet.seconds();
    std::printf("500/s of an account of 100/s over 4 nodes: %.1f/s ran, %.1f loan asks/s\n",
                perSecond,
                double(asks) / fleet.seconds());
    EXPECT_GT(perSecond, 90.0);
    EXPECT_LE(fleet.log().largestBurst(account.rate), account.burst);
}

} // namespace jasminelatch::test
