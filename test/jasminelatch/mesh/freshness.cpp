#include <jasminelatch/mesh/freshness.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Duration validity{4500ms};

/*! @brief Nodes that forward store confirmations in the acknowledgements of reports, as in a large fleet. */
class Fleet
{
public:
    explicit Fleet(const std::size_t size)
        : isCutOff(size)
        , nodes_(size, Freshness{{.validity = validity}})
    {
    }

    /*! @brief Advances time; each node checks every 250 ms and exchanges reports with all others every 750 ms. */
    auto run(const Duration time) -> void
    {
        constexpr Duration step{50ms};
        constexpr std::size_t stepsPerCheck{5};
        constexpr std::size_t stepsPerReport{15};
        for (const auto end = now_ + time; now_ < end; now_ += step, ++steps_) {
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                if ((steps_ + index) % stepsPerReport == 0) {
                    exchange(index);
                }
                if ((steps_ + index) % stepsPerCheck == 0 && nodes_[index].shouldQueryStore(index, now_)) {
                    ++storeCalls;
                    if (!isCutOff[index]) {
                        nodes_[index].confirm({0, now_}, now_);
                    }
                }
                staleChecks += nodes_[index].isFresh(now_) ? 0 : 1;
            }
        }
    }

    std::vector<bool> isCutOff; /*!< By node: whether the store rejects its calls. */
    std::size_t storeCalls{}; /*!< Number of store calls. */
    std::size_t staleChecks{}; /*!< Number of checks that found a node without a valid confirmation. */

private:
    auto exchange(const std::size_t index) -> void
    {
        for (const auto &peer : nodes_) {
            if (const auto confirmation = peer.confirmation()) {
                nodes_[index].confirm(*confirmation, now_);
            }
        }
    }

    std::vector<Freshness> nodes_;
    TimePoint now_{start};
    std::size_t steps_{};
};

} // namespace

TEST(Freshness, ValidityStartsBeforeTheConfirmingCall)
{
    Freshness freshness{{.validity = validity}};
    EXPECT_FALSE(freshness.isFresh(start));
    freshness.confirm({0, start}, start);
    EXPECT_TRUE(freshness.isFresh(start + 4500ms));
    EXPECT_FALSE(freshness.isFresh(start + 4501ms));
    freshness.confirm({0, start - 1s}, start);
    EXPECT_TRUE(freshness.isFresh(start + 4500ms));
}

TEST(Freshness, IgnoresConfirmationsOfUnappliedChanges)
{
    // A key was revoked in revision 7 while the store rejects calls of this node and serves its peers.
    Freshness freshness{{.validity = validity}};
    freshness.markApplied(6);
    freshness.confirm({6, start}, start);
    freshness.confirm({7, start + 3s}, start + 3s);
    freshness.confirm({7, start + 4s}, start + 4s);
    EXPECT_FALSE(freshness.isFresh(start + 4501ms));
    freshness.markApplied(7);
    EXPECT_TRUE(freshness.isFresh(start + 4501ms));
    EXPECT_FALSE(freshness.isFresh(start + 8501ms));
}

TEST(Freshness, AStoreThatLacksAKnownVersionConfirmsNothingUntilItIsWrittenAgain)
{
    // Version 7 withdrew a key; the copy that has replaced the store still has version 6.
    Freshness freshness{{.validity = validity}};
    freshness.markApplied(7);
    freshness.confirm({7, start, 1}, start);
    freshness.confirm({6, start + 3s, 2}, start + 3s);
    EXPECT_FALSE(freshness.isFresh(start + 4501ms));
    freshness.confirm({7, start + 5s, 2}, start + 5s);
    EXPECT_TRUE(freshness.isFresh(start + 9s));
    freshness.confirm({6, start + 9s, 3}, start + 9s);
    EXPECT_FALSE(freshness.isFresh(start + 9501ms)) << "the store was replaced once more";
}

TEST(Freshness, ANodeThatStartsBesideAStoreThatLagsLearnsItFromItsPeers)
{
    Freshness freshness{{.validity = validity}};
    freshness.markApplied(6);
    freshness.confirm({6, start, 2}, start);
    EXPECT_TRUE(freshness.isFresh(start));
    freshness.confirm({7, start - 2s, 1}, start);
    EXPECT_FALSE(freshness.isFresh(start)) << "peers know of a version that the store has lost";
    EXPECT_TRUE(freshness.shouldQueryStore(20, start));
    freshness.markApplied(7);
    freshness.confirm({7, start + 1s, 2}, start + 1s);
    EXPECT_TRUE(freshness.isFresh(start + 5s));
}

TEST(Freshness, ConfirmationsLagBehindChangesWithinOneEra)
{
    // Changes come faster than confirmations; each still confirms that nothing was missed before it.
    Freshness freshness{{.validity = validity}};
    freshness.markApplied(4);
    freshness.confirm({4, start, 1}, start);
    for (std::uint64_t version = 5; version < 60; ++version) {
        const auto now = start + std::chrono::milliseconds{300 * version};
        freshness.markApplied(version);
        freshness.confirm({version - 2, now - 500ms, 1}, now);
        EXPECT_TRUE(freshness.isFresh(now + 3s)) << version;
    }
}

TEST(Freshness, IgnoresConfirmationsDatedInTheFuture)
{
    // A peer's acknowledgement with an age out of range yields a time in the future.
    Freshness freshness{{.validity = validity}};
    freshness.confirm({0, start + 1h}, start);
    EXPECT_FALSE(freshness.isFresh(start));
}

TEST(Freshness, QueriesTheStoreSoonForChangesThatOnlyPeersHaveSeen)
{
    Freshness freshness{{.validity = validity}};
    freshness.confirm({0, start}, start);
    freshness.confirm({1, start}, start);
    constexpr std::size_t last = 80;
    EXPECT_FALSE(freshness.shouldQueryStore(last, start + 700ms)) << "this node's watch may still deliver the change";
    EXPECT_TRUE(freshness.shouldQueryStore(last, start + 800ms));
    freshness.markApplied(1);
    EXPECT_FALSE(freshness.shouldQueryStore(last, start + 800ms));
}

TEST(Freshness, ALargeFleetStaysFreshWithFewStoreQueries)
{
    constexpr std::size_t size = 85;
    Fleet fleet{size};
    fleet.run(1s);
    fleet.storeCalls = 0;
    fleet.staleChecks = 0;
    fleet.run(60s);
    EXPECT_EQ(fleet.staleChecks, 0U);
    // Large deployments have a budget of 0.3 store calls per second and node, including watches and lease renewals.
    EXPECT_LT(static_cast<double>(fleet.storeCalls), 0.1 * size * 60);
}

TEST(Freshness, OtherNodesQueryWhenTheFirstOnesCannotReachTheStore)
{
    Fleet fleet{20};
    fleet.run(5s);
    fleet.staleChecks = 0;
    std::fill_n(fleet.isCutOff.begin(), 10, true);
    fleet.run(30s);
    EXPECT_EQ(fleet.staleChecks, 0U);
    fleet.isCutOff.assign(fleet.isCutOff.size(), true);
    fleet.run(10s);
    EXPECT_GT(fleet.staleChecks, 0U);
}

} // namespace jasminelatch::mesh
