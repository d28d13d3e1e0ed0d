#include <jasminelatch/quota/split.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace jasminelatch::quota {

RC_GTEST_PROP(Split, AddsUpToTheWholeInSharesOfAtLeastOneToken, ())
{
    const record::Account account{AccountName{*rc::gen::arbitrary<std::string>()},
                                  *rc::gen::inRange(1, 1'000'000) / 10.0,
                                  *rc::gen::inRange(10, 1'000'000) / 10.0};
    const record::Fleet fleet{.quotaGroups = *rc::gen::inRange<std::uint32_t>(1, 20),
                              .quotaShares = *rc::gen::inRange<std::uint32_t>(1, 20)};
    const auto parts = split(account, fleet, *rc::gen::inRange(10, 100) / 10.0);
    const std::set<std::uint32_t> distinct{parts.shares.begin(), parts.shares.end()};
    const auto count = static_cast<double>(parts.shares.size());
    RC_ASSERT(distinct.size() == parts.shares.size());
    RC_ASSERT(*distinct.rbegin() < fleet.quotaShares);
    RC_ASSERT(parts.group < fleet.quotaGroups);
    RC_ASSERT(parts.burst >= 1.0);
    RC_ASSERT(parts.burst * count <= account.burst * (1.0 + 1e-12));
    RC_ASSERT(parts.rate * count <= account.rate * (1.0 + 1e-12));
}

RC_GTEST_PROP(Split, NamesARightThatReadsBack, (std::uint32_t group, std::uint32_t index))
{
    RC_ASSERT(shareOf(rightName({group, index})) == (Share{group, index}));
    RC_ASSERT(!shareOf(LeaseName{"order/" + std::to_string(group)}).has_value());
}

} // namespace jasminelatch::quota
