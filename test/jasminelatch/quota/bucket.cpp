#include "fleet.hpp"

#include <jasminelatch/quota/bucket.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::quota::internal {

namespace {

constexpr double tolerance = 1e-6; // tokens
constexpr Duration lifetime = std::chrono::seconds{1};

/*! @brief Loan of the oracle: what was spent of it and when. */
struct OracleLoan {
    TimePoint grantedAt;
    TimePoint lastSpent;
    std::uint32_t unspent{};
    std::uint32_t unreported{};
};

} // namespace

RC_GTEST_PROP(Bucket, KeepsSpendingWithinBurstAndRateInAnyWindow, ())
{
    const auto rate = *rc::gen::inRange(1, 50);
    const auto depth = *rc::gen::inRange(1, 30);
    std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
    const auto below = [&](const std::uint32_t limit) {
        return std::uniform_int_distribution<std::uint32_t>{0, limit - 1}(random);
    };
    Bucket bucket{double(rate), double(depth), TimePoint{}};
    test::RunLog log;
    std::vector<OracleLoan> loans;
    TimePoint now{};
    for (auto step = 0; step < 400; ++step) {
        now += Duration{below(100'000)};
        while (!loans.empty() && now >= loans.front().grantedAt + lifetime) {
            bucket.expire(loans.front().unspent + loans.front().unreported, now);
            loans.erase(loans.begin());
        }
        const auto tokens = bucket.lend(below(10), now);
        loans.push_back({now, now, tokens, 0});
        auto &loan = loans[below(static_cast<std::uint32_t>(loans.size()))];
        const auto spent = below(loan.unspent + 1);
        for (std::uint32_t count = 0; count < spent; ++count) {
            log.add(std::chrono::duration<double>{now.time_since_epoch()}.count());
        }
        loan.lastSpent = spent > 0 ? now : loan.lastSpent;
        loan.unspent -= spent;
        loan.unreported += spent;
        auto &reported = loans[below(static_cast<std::uint32_t>(loans.size()))];
        bucket.settleSpent(reported.unreported, reported.lastSpent, now);
        reported.unreported = 0;
        if (below(4) == 0) {
            bucket.giveBack(reported.unspent, now);
            reported.unspent = 0;
        }
    }
    RC_ASSERT(log.largestBurst(rate) <= depth + tolerance);
}

} // namespace jasminelatch::quota::internal
