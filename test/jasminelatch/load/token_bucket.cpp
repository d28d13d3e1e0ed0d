#include <jasminelatch/load/token_bucket.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminelatch;
using namespace jasminelatch::load;

// Oracle: in any window, no more than burst + rate x window; and a request is denied only when that bound is reached.
RC_GTEST_PROP(TokenBucket, GrantsExactlyTheRateAndTheBurst, ())
{
    const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400'000));
    TokenBucket bucket{5.0, 4.0};
    std::vector<Duration> granted;
    Duration at{};
    for (const auto gap : gaps) {
        at += Duration{gap};
        double tightest = 4.0;
        for (std::size_t first = 0; first < granted.size(); ++first) {
            const auto window = std::chrono::duration<double>{at - granted[first]}.count();
            tightest = std::min(tightest, 4.0 + 5.0 * window - static_cast<double>(granted.size() - first));
        }
        const auto taken = bucket.take(at);
        const auto isExact = taken ? tightest > 1.0 - 1e-9 : tightest < 1.0 + 1e-9;
        RC_ASSERT(isExact);
        if (taken) {
            granted.push_back(at);
        }
    }
}
