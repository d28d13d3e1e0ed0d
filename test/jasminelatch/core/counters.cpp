#include <jasminelatch/core/counters.hpp>

#include <gtest/gtest.h>

namespace jasminelatch {

TEST(Counters, StartAtZeroAndAccumulate)
{
    Counters counters;
    EXPECT_EQ(counters.value("lease.renewed"), 0U);
    counters.add("lease.renewed");
    counters.add("lease.renewed", 4);
    EXPECT_EQ(counters.value("lease.renewed"), 5U);
    EXPECT_EQ(counters.all().size(), 1U);
}

} // namespace jasminelatch
