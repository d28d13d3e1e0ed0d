#include <jasminelatch/core/refusal.hpp>

#include <gtest/gtest.h>

#include <set>

namespace jasminelatch {

TEST(RefusalReason, HasUniqueNameAndErrorStatus)
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < refusalReasonCount; ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        EXPECT_TRUE(names.insert(toString(reason)).second) << toString(reason);
        EXPECT_GE(httpStatus(reason), 400);
        EXPECT_LT(httpStatus(reason), 600);
    }
}

} // namespace jasminelatch
