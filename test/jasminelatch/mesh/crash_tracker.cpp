#include <jasminelatch/mesh/crash_tracker.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Fingerprint deadly = 7;

auto crash(CrashTracker &tracker, const CrashId id, const std::vector<Fingerprint> &running, const Duration after = 0s)
    -> void
{
    tracker.recordCrash(id, running, start + after);
}

} // namespace

TEST(CrashTracker, ARequestOfThreeCrashesIsQuarantined)
{
    CrashTracker tracker{{}};
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).crashes, 0U);
    crash(tracker, 1, {deadly, 20});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).crashes, 1U);
    crash(tracker, 2, {deadly, 20});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).crashes, 2U);
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).quarantine, Duration::zero());
    crash(tracker, 3, {deadly});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).quarantine, Duration{10min});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 4min).quarantine, Duration{6min});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 11min).quarantine, Duration::zero());
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 11min).crashes, 3U) << "it is still run alone";
    crash(tracker, 4, {deadly}, 11min);
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 11min).quarantine, Duration{20min}) << "longer after another crash";
}

TEST(CrashTracker, TheOnlyRequestOfTwoCrashesIsQuarantinedForAShortTime)
{
    CrashTracker tracker{{}};
    crash(tracker, 1, {deadly, 20, 21});
    crash(tracker, 2, {deadly, 20, 22});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).quarantine, Duration::zero());
    tracker.recordSurvival(20);
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).quarantine, Duration{1min});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 61s).quarantine, Duration::zero());
    for (const Fingerprint sound : {20, 21, 22}) {
        EXPECT_EQ(tracker.suspicion(sound, {}, start).crashes, 0U) << sound;
    }
}

TEST(CrashTracker, ReturnsWhatMustOutlastTheProcess)
{
    // Guards against BUDGET of review/5: what is known of a request that crashes instances must survive all nodes.
    CrashTracker tracker{{}};
    tracker.recordCrash(1, std::vector<Fingerprint>{deadly, 21}, start);
    EXPECT_TRUE(tracker.quarantined(start, true).empty());
    tracker.recordCrash(2, std::vector<Fingerprint>{deadly, 22}, start);
    tracker.merge({deadly, {3}, {}, 1s}, start);
    ASSERT_EQ(tracker.quarantined(start, true).size(), 1U);
    const auto kept = tracker.quarantined(start, true).front();
    EXPECT_EQ(kept.fingerprint, deadly);
    EXPECT_EQ(kept.crashes.size(), 3U);

    CrashTracker next{{}};
    next.merge(kept, start);
    EXPECT_GT(next.suspicion(deadly, {}, start).quarantine, 5min);
    EXPECT_TRUE(next.quarantined(start, true).empty()) << "another node has recorded its crashes";
    EXPECT_EQ(next.quarantined(start, false).size(), 1U);

    EXPECT_FALSE(tracker.isCleared(deadly));
    tracker.recordSurvival(deadly);
    EXPECT_TRUE(tracker.isCleared(deadly));
    EXPECT_TRUE(tracker.quarantined(start, false).empty());
}

TEST(CrashTracker, TheSameCrashCountsOnce)
{
    CrashTracker tracker{{}};
    for (auto count = 0; count < 5; ++count) {
        crash(tracker, 1, {deadly});
    }
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).crashes, 1U);
}

TEST(CrashTracker, ARequestBesideOneOfMoreCrashesIsNotSuspected)
{
    CrashTracker tracker{{}};
    crash(tracker, 1, {deadly, 20, 21});
    EXPECT_EQ(tracker.suspicion(20, {}, start).crashes, 1U);
    crash(tracker, 2, {deadly, 21, 22});
    EXPECT_EQ(tracker.suspicion(20, {}, start).crashes, 0U);
    EXPECT_EQ(tracker.suspicion(21, {}, start).crashes, 2U);
    crash(tracker, 3, {deadly, 23});
    EXPECT_EQ(tracker.suspicion(deadly, {}, start).crashes, 3U);
    for (const Fingerprint sound : {20, 21, 22, 23}) {
        EXPECT_EQ(tracker.suspicion(sound, {}, start).crashes, 0U) << sound;
    }
}

TEST(CrashTracker, APopularRequestThatOthersRunToAnEndIsNeverQuarantined)
{
    constexpr Fingerprint popular = 5;
    CrashTracker tracker{{}};
    for (CrashId id = 1; id < 20; ++id) {
        crash(tracker, id, {popular});
        tracker.recordSurvival(popular);
        EXPECT_EQ(tracker.suspicion(popular, {}, start).crashes, 0U);
    }
}

TEST(CrashTracker, SurvivalDoesNotClearLaterCrashes)
{
    CrashTracker tracker{{}};
    crash(tracker, 1, {deadly});
    tracker.recordSurvival(deadly);
    for (const CrashId id : {2, 3, 4}) {
        crash(tracker, id, {deadly});
    }
    EXPECT_GT(tracker.suspicion(deadly, {}, start).quarantine, Duration::zero());
}

TEST(CrashTracker, CrashesOfAnAttemptCountUntilTheirRecordArrives)
{
    CrashTracker tracker{{}};
    const std::vector<CrashId> attempt{1, 2};
    EXPECT_EQ(tracker.suspicion(20, attempt, start).crashes, 2U);
    crash(tracker, 1, {deadly, 20});
    crash(tracker, 2, {deadly});
    EXPECT_EQ(tracker.suspicion(20, attempt, start).crashes, 0U);
    EXPECT_EQ(tracker.suspicion(deadly, attempt, start).crashes, 2U);
}

TEST(CrashTracker, ForgetsRequestsOfFewerCrashesFirst)
{
    CrashTracker tracker{{.maxRecords = 50}};
    for (const CrashId id : {1, 2, 3}) {
        crash(tracker, id, {deadly});
    }
    for (Fingerprint sound = 100; sound < 1000; ++sound) {
        crash(tracker, sound, {sound}, 1s);
    }
    EXPECT_EQ(tracker.suspectCount(), 50U);
    EXPECT_GT(tracker.suspicion(deadly, {}, start + 1s).quarantine, Duration::zero());
    EXPECT_EQ(tracker.suspicion(deadly, {}, start + 5h).crashes, 0U);
}

TEST(CrashTracker, IgnoresRecordsWithoutARequestOrACrash)
{
    CrashTracker tracker{{}};
    tracker.merge({0, {1}, {}, 0s}, start);
    tracker.merge({deadly, {}, {}, 0s}, start);
    tracker.merge({deadly, {1}, {}, Duration{-1}}, start);
    EXPECT_EQ(tracker.lastChange(), 0U);
}

RC_GTEST_PROP(CrashTracker, NodesAgreeWhateverTheOrderOfRecords, ())
{
    CrashTracker first{{}};
    CrashTracker second{{}};
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, CrashId, Fingerprint>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange<CrashId>(1, 5), rc::gen::inRange<Fingerprint>(1, 5)));
    for (const auto &[kind, id, fingerprint] : steps) {
        auto &tracker = kind % 2 == 0 ? first : second;
        if (kind < 2) {
            tracker.recordCrash(id, std::vector{fingerprint}, start);
        } else {
            tracker.recordSurvival(fingerprint);
        }
    }
    const auto exchange = [](const CrashTracker &from, CrashTracker &to) {
        auto records = from.recordsSince(0, start);
        std::ranges::reverse(records);
        for (const auto &record : records) {
            to.merge(record, start);
        }
    };
    exchange(first, second);
    exchange(second, first);
    const auto changes = second.lastChange();
    exchange(first, second);
    RC_ASSERT(second.lastChange() == changes);
    for (Fingerprint fingerprint = 1; fingerprint < 5; ++fingerprint) {
        const auto left = first.suspicion(fingerprint, {}, start);
        const auto right = second.suspicion(fingerprint, {}, start);
        RC_ASSERT(left.crashes == right.crashes);
        RC_ASSERT(left.quarantine == right.quarantine);
    }
}

TEST(RequestFingerprint, TellsRequestsApartByEachPartAndIgnoresTheAttempt)
{
    const Request request{"GET", "/a?b", {{"Host", "x"}, {"Attempt-Id", "1"}}, "body"};
    auto again = request;
    again.fields.back().value = "2";
    EXPECT_EQ(fingerprintOf(request, "club"), fingerprintOf(again, "club"));
    EXPECT_NE(fingerprintOf(request, "club"), fingerprintOf(request, "shop"));
    const std::vector<Request> others{{"POST", "/a?b", request.fields, "body"},
                                      {"GET", "/a?c", request.fields, "body"},
                                      {"GET", "/a?bb", request.fields, "ody"},
                                      {"GET", "/a?b", {{"Host", "y"}}, "body"},
                                      {"GET", "/a?b", request.fields, "other"}};
    for (const auto &other : others) {
        EXPECT_NE(fingerprintOf(request, "club"), fingerprintOf(other, "club")) << other.target;
    }
}

} // namespace jasminelatch::mesh
