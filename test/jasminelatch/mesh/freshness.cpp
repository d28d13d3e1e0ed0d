#include <jasminelatch/mesh/freshness.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};
constexpr Duration validity{4500ms};

/*! @brief Nodes that pass the store's confirmation on with the answers to their reports, as in a large fleet. */
class Fleet
{
public:
    explicit Fleet(const std::size_t size)
        : isCutOff(size)
        , nodes_(size, Freshness{{.validity = validity}})
    {
    }

    /*! @brief Lets time pass; each node looks every 250 ms, and exchanges reports with all others every 750 ms. */
    auto play(const Duration time) -> void
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
                    ++calls;
                    if (!isCutOff[index]) {
                        nodes_[index].confirm({0, now_}, now_);
                    }
                }
                stale += nodes_[index].isFresh(now_) ? 0 : 1;
            }
        }
    }

    std::vector<bool> isCutOff; /*!< Whether the store turns a node away. */
    std::size_t calls{}; /*!< Calls to the store. */
    std::size_t stale{}; /*!< Times a node was seen without a valid confirmation. */

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

TEST(Freshness, CountsFromBeforeTheConfirmingCall)
{
    Freshness freshness{{.validity = validity}};
    EXPECT_FALSE(freshness.isFresh(start));
    freshness.confirm({0, start}, start);
    EXPECT_TRUE(freshness.isFresh(start + 4500ms));
    EXPECT_FALSE(freshness.isFresh(start + 4501ms));
    freshness.confirm({0, start - 1s}, start);
    EXPECT_TRUE(freshness.isFresh(start + 4500ms));
}

TEST(Freshness, AWordThatCoversChangesNotAppliedDoesNotCount)
{
    // A key was withdrawn in revision 7 while the store turns this node away and serves its peers.
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

TEST(Freshness, AWordOfAMomentToComeIsNone)
{
    // A peer's answer with an age that can't be read as a time.
    Freshness freshness{{.validity = validity}};
    freshness.confirm({0, start + 1h}, start);
    EXPECT_FALSE(freshness.isFresh(start));
}

TEST(Freshness, ChangesThatOnlyPeersKnowOfAreAskedForSoon)
{
    Freshness freshness{{.validity = validity}};
    freshness.confirm({0, start}, start);
    freshness.confirm({1, start}, start);
    constexpr std::size_t last = 80;
    EXPECT_FALSE(freshness.shouldQueryStore(last, start + 700ms)) << "the own watch may still bring them";
    EXPECT_TRUE(freshness.shouldQueryStore(last, start + 800ms));
    freshness.markApplied(1);
    EXPECT_FALSE(freshness.shouldQueryStore(last, start + 800ms));
}

TEST(Freshness, AFleetAsksTheStoreLittleAndStaysFresh)
{
    constexpr std::size_t size = 85;
    Fleet fleet{size};
    fleet.play(1s);
    fleet.calls = 0;
    fleet.stale = 0;
    fleet.play(60s);
    EXPECT_EQ(fleet.stale, 0U);
    // The goal for the large deployments is 0.3 calls a second a node, watches and renewals included.
    EXPECT_LT(static_cast<double>(fleet.calls), 0.1 * size * 60);
}

TEST(Freshness, OthersAskWhereTheFirstNodesAreCutOff)
{
    Fleet fleet{20};
    fleet.play(5s);
    fleet.stale = 0;
    std::fill_n(fleet.isCutOff.begin(), 10, true);
    fleet.play(30s);
    EXPECT_EQ(fleet.stale, 0U);
    fleet.isCutOff.assign(fleet.isCutOff.size(), true);
    fleet.play(10s);
    EXPECT_GT(fleet.stale, 0U);
}

} // namespace jasminelatch::mesh
