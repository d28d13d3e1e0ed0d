#include <jasminelatch/retry/asker.hpp>
#include <jasminelatch/retry/ledger.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::retry {

namespace {

constexpr std::uint32_t deepest = 14;
constexpr std::uint32_t widest = 4;
constexpr std::size_t nodeCount = 5;
constexpr std::size_t largestTree = 3000; // calls

/*! @brief How one client request's tree of calls goes. */
struct Plan {
    std::uint64_t seed{};
    std::uint32_t limit{};
    std::uint32_t depth{};
    std::uint32_t fanOut{};
    double failures{}; /*!< Chance that one execution fails. */
    double lost{}; /*!< Chance that a message is lost. */
    double doubled{}; /*!< Chance that a message is doubled. */
};

struct Result {
    std::size_t executions{};
    std::size_t retries{};
    std::size_t retriesAfterClose{};
    bool capped{}; /*!< The tree grew beyond the largest that is followed. */
};

/*! @brief Runs call trees over some nodes; the entry node is node 0. */
class Tree
{
public:
    Tree(const Plan &plan, const Mode mode)
        : plan_{plan}
        , random_{plan.seed}
        , ledger_{clock_, counters_, {[this](const NodeAddress &to, Message message) {
                      post(0, to, message);
                  }}}
    {
        clock_.pause();
        const Settings settings{.mode = mode, .copiedLimit = plan.limit, .serviceBurst = 1e9};
        for (std::size_t index = 0; index < nodeCount; ++index) {
            askers_.push_back(std::make_unique<Asker>(
                settings,
                address(index),
                index + 1,
                clock_,
                counters_,
                Asker::Hooks{[this, index](const NodeAddress &to, Message message) { post(index, to, message); },
                             [this](const Ask &ask) {
                                 return ledger_.decide(ask);
                             }}));
        }
    }

    auto run() -> Result
    {
        ledger_.open(request, plan_.limit, 1h);
        call(0, 0, plan_.depth);
        while (settle()) {
        }
        closed_ = true;
        ledger_.close(request);
        call(1, 0, 1);
        while (settle()) {
        }
        return result_;
    }

private:
    inline static const RequestId request{"client-request"};

    struct Envelope {
        std::size_t from{};
        std::size_t to{};
        Message message;
    };

    static auto address(const std::size_t index) -> NodeAddress { return NodeAddress{std::to_string(index)}; }

    auto chance(const double part) -> bool { return std::bernoulli_distribution{part}(random_); }

    auto post(const std::size_t from, const NodeAddress &to, const Message &message) -> void
    {
        const auto copies = chance(plan_.lost) ? 0 : chance(plan_.doubled) ? 2 : 1;
        network_.insert(network_.end(), copies, Envelope{from, std::stoul(to.text()), message});
    }

    /*! @brief Delivers messages in random order and lets unanswered asks run out. */
    auto settle() -> bool
    {
        if (network_.empty()) {
            clock_.advance(defaultAnswerTimeout);
            const auto before = result_.executions;
            std::ranges::for_each(askers_, [](auto &asker) { asker->tick(); });
            return result_.executions != before || !network_.empty();
        }
        const auto index = std::uniform_int_distribution<std::size_t>{0, network_.size() - 1}(random_);
        const auto envelope = network_[index];
        network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
        if (envelope.to == 0) {
            ledger_.receive(address(envelope.from), envelope.message);
        }
        askers_[envelope.to]->receive(address(envelope.from), envelope.message);
        return true;
    }

    /*! @brief Executes one call at a node; `depth` calls may still follow below it. */
    auto call(const std::size_t node, const std::uint32_t retriesMade, const std::uint32_t depth) -> void
    {
        if (++result_.executions > largestTree) {
            result_.capped = true;
            return;
        }
        const auto fanOut = depth > 1 ? std::uniform_int_distribution<std::uint32_t>{1, plan_.fanOut}(random_) : 0;
        for (std::uint32_t child = 0; child < fanOut; ++child) {
            call((node + child + 1) % nodeCount, 0, depth - 1);
        }
        if (!chance(plan_.failures)) {
            return;
        }
        const Need need{request, address(0), ServiceName{"maps"}, Reason::BackendFailed, 1h, retriesMade};
        askers_[node]->ask(need, [this, node, retriesMade, depth](const bool granted) {
            if (granted) {
                ++result_.retries;
                result_.retriesAfterClose += closed_ ? 1 : 0;
                call(node, retriesMade + 1, depth);
            }
        });
    }

    Plan plan_;
    std::mt19937_64 random_;
    Clock clock_;
    Counters counters_;
    Ledger ledger_;
    std::vector<std::unique_ptr<Asker>> askers_;
    std::vector<Envelope> network_;
    Result result_;
    bool closed_{};
};

} // namespace

RC_GTEST_PROP(Ledger, BoundsRetriesOverTheWholeTree, ())
{
    const Plan plan{.seed = *rc::gen::arbitrary<std::uint64_t>(),
                    .limit = *rc::gen::inRange<std::uint32_t>(0, 8),
                    .depth = *rc::gen::inRange<std::uint32_t>(1, deepest + 1),
                    .fanOut = *rc::gen::inRange<std::uint32_t>(1, widest + 1),
                    .failures = *rc::gen::inRange(0, 101) / 100.0,
                    .lost = *rc::gen::inRange(0, 50) / 100.0,
                    .doubled = *rc::gen::inRange(0, 50) / 100.0};
    const auto result = Tree{plan, Mode::Ledger}.run();
    RC_ASSERT(result.retries <= plan.limit);
    RC_ASSERT(result.retriesAfterClose == 0U);
}

TEST(Ledger, ExecutesFarFewerCallsThanTheCopiedBudget)
{
    std::printf("depth | calls of a whole tree | executions: ledger, copied budget\n");
    for (const auto depth : {4U, 7U, 14U}) {
        const Plan plan{.seed = 1, .limit = 3, .depth = depth, .fanOut = 1, .failures = 0.5};
        std::size_t ledger = 0;
        std::size_t copied = 0;
        auto capped = false;
        constexpr std::size_t runs = 20;
        for (std::size_t run = 0; run < runs; ++run) {
            auto seeded = plan;
            seeded.seed = run;
            const auto bounded = Tree{seeded, Mode::Ledger}.run();
            const auto unbounded = Tree{seeded, Mode::CopiedBudget}.run();
            EXPECT_LE(bounded.retries, plan.limit);
            ledger += bounded.executions;
            copied += unbounded.executions;
            capped = capped || unbounded.capped;
        }
        std::printf("%5u | %3u | %.1f, %s%.1f\n",
                    depth,
                    depth,
                    double(ledger) / runs,
                    capped ? ">= " : "",
                    double(copied) / runs);
        EXPECT_LT(ledger, copied);
    }
}

TEST(Ledger, GrantsADoubledAskOnce)
{
    Clock clock;
    clock.pause();
    Counters counters;
    Ledger ledger{clock, counters, {[](const NodeAddress &, const Message &) {
                  }}};
    const RequestId request{"r"};
    ASSERT_TRUE(ledger.open(request, 2, 1s));
    EXPECT_FALSE(ledger.open(request, 9, 1s));
    const Ask first{{1, 1}, request};
    EXPECT_EQ(ledger.decide(first), Verdict::Granted);
    EXPECT_EQ(ledger.decide(first), Verdict::Granted);
    EXPECT_EQ(ledger.decide({{1, 2}, request}), Verdict::Granted);
    EXPECT_EQ(ledger.decide({{2, 1}, request}), Verdict::Limit);
    ledger.close(request);
    EXPECT_EQ(ledger.decide(first), Verdict::Closed);
    EXPECT_EQ(ledger.decide({{1, 3}, RequestId{"other"}}), Verdict::UnknownRequest);
    clock.advance(1s);
    ledger.tick();
    EXPECT_EQ(ledger.size(), 0U);
    EXPECT_EQ(counters.value("retry.ledger_limit"), 1U);
}

} // namespace jasminelatch::retry
