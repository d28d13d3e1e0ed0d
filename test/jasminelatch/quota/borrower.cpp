#include "fleet.hpp"

#include <jasminelatch/quota/borrower.hpp>

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

using namespace std::chrono_literals;

namespace jasminelatch::test {

namespace {

constexpr auto stepLength = 1ms;
constexpr std::size_t nodeCount = 20;
constexpr std::size_t entry = nodeCount - 1;
constexpr double load = 0.9; // of the account's rate

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
    std::printf("rate  burst | steady: escrow static ideal %% | after death: escrow static ideal %% | asks/s\n");
    for (const auto &[rate, burst] :
         {std::pair{1000.0, 1000.0}, {100.0, 100.0}, {100.0, 20.0}, {10.0, 10.0}, {1.0, 4.0}}) {
        const record::Account account{AccountName{"club"}, rate, burst};
        const auto measured = measure(account);
        std::printf("%5.0f %5.0f | %6.2f %6.2f %6.2f | %6.2f %6.2f %6.2f | %.1f\n",
                    rate,
                    burst,
                    100 * measured.steady[0].part(),
                    100 * measured.steady[1].part(),
                    100 * measured.steady[2].part(),
                    100 * measured.afterDeath[0].part(),
                    100 * measured.afterDeath[1].part(),
                    100 * measured.afterDeath[2].part(),
                    measured.asksPerSecond);
    }
}

} // namespace jasminelatch::test
