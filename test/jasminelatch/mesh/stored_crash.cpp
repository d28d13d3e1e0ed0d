#include <jasminelatch/mesh/stored_crash.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace jasminelatch::mesh {

TEST(StoredCrash, SurvivesARoundTrip)
{
    const StoredCrash stored{~Fingerprint{}, {1, ~CrashId{}}, 1'700};
    EXPECT_EQ(decodeStoredCrash(encodeStoredCrash(stored)), stored);
}

TEST(StoredCrash, KeepsABoundedNumberOfCrashes)
{
    const StoredCrash stored{7, std::vector<CrashId>(1000, 9), 1'700};
    const auto text = encodeStoredCrash(stored);
    EXPECT_LT(text.size(), 1000U);
    ASSERT_TRUE(decodeStoredCrash(text));
    EXPECT_GE(decodeStoredCrash(text)->crashes.size(), 8U) << "enough for the longest quarantine";
}

TEST(StoredCrash, RejectsValuesThatNoNodeWrites)
{
    const auto good = nlohmann::json::parse(encodeStoredCrash({7, {9}, 1'700}));
    for (const auto &[field, value] :
         std::vector<std::pair<std::string, nlohmann::json>>{{"fingerprint", 0},
                                                             {"fingerprint", -1},
                                                             {"crashes", nlohmann::json::array()},
                                                             {"crashes", nlohmann::json::array({"x"})},
                                                             {"crashes", std::vector<int>(100, 1)},
                                                             {"lastCrashMs", 1e300}}) {
        auto odd = good;
        odd[field] = value;
        EXPECT_FALSE(decodeStoredCrash(odd.dump())) << odd;
    }
}

RC_GTEST_PROP(StoredCrash, RejectsArbitraryText, (const std::string &text))
{
    RC_ASSERT(!decodeStoredCrash(text));
}

} // namespace jasminelatch::mesh
