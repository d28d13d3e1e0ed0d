#include <jasminelatch/configuration/key.hpp>
#include <jasminelatch/control/directory.hpp>
#include <jasminelatch/control/operator.hpp>
#include <jasminelatch/store/memory_store.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace std::chrono_literals;

namespace jasminelatch::control {

namespace internal {

/*! @brief Store whose calls and answers are lost at random, and which runs a task before a chosen call. */
class FaultyStore
{
public:
    explicit FaultyStore(const std::uint64_t seed)
        : random_{seed}
    {
    }

    [[nodiscard]] auto hook() -> BlockingCall
    {
        return [this](const store::Request &request) -> store::Answer {
            if (beforePut && request.operation == store::Operation::Put) {
                std::exchange(beforePut, {})();
            }
            if (chance(lost)) {
                return {};
            }
            auto answer = memory.apply(request, {});
            return chance(lost) ? store::Answer{} : answer;
        };
    }

    store::MemoryStore memory;
    double lost{};
    std::function<void()> beforePut;

private:
    auto chance(const double probability) -> bool { return std::bernoulli_distribution{probability}(random_); }

    std::mt19937_64 random_;
};

/*! @brief One operator at a paused clock, with nodes that answer as the test says. */
class Desk
{
public:
    explicit Desk(FaultyStore &store, std::string author = "ann")
        : actor{{.author = std::move(author), .note = "test"},
                pausedClock(),
                {.store = store.hook(),
                 .status = [this](const NodeAddress &node) { return statusOf(node); },
                 .sleep = [this](const Duration time) { clock_.advance(time); },
                 .writeId =
                     [] {
                         static std::uint64_t last = 0;
                         return "write-" + std::to_string(++last);
                     }}}
    {
    }

    std::map<NodeAddress, configuration::NodeStatus> statuses;
    std::function<void()> beforeStatus;

private:
    auto pausedClock() -> const Clock &
    {
        clock_.pause();
        return clock_;
    }

    auto statusOf(const NodeAddress &node) -> std::optional<configuration::NodeStatus>
    {
        if (beforeStatus) {
            beforeStatus();
        }
        const auto position = statuses.find(node);
        return position == statuses.end() ? std::nullopt : std::optional{position->second};
    }

    Clock clock_;

public:
    Operator actor;
};

auto records(const std::string &text) -> std::vector<record::Record>
{
    Findings findings;
    auto all = record::parseFile(text, "f.json", findings);
    EXPECT_EQ(toText(findings), "");
    return all;
}

auto account(const std::string &name, const int rate) -> std::string
{
    return R"({"schema": 1, "record": "account", "name": ")" + name + R"(", "rate": )" + std::to_string(rate)
         + R"(, "burst": 1})";
}

/*! @brief Result of a command: its report, or why it failed. */
struct Ended {
    ExitCode code{ExitCode::Ok};
    Report report;
    Failure failure;
};

template<typename Command>
auto run(const Command &command) -> Ended
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Ended> {
            BOOST_LEAF_AUTO(report, command());
            return Ended{ExitCode::Ok, report, {}};
        },
        [](const Failure &failure) {
            return Ended{failure.code, {}, failure};
        },
        [] {
            return Ended{ExitCode::Usage, {}, {}};
        });
}

auto logOf(FaultyStore &store) -> std::vector<configuration::ChangeSet>
{
    std::vector<configuration::ChangeSet> changes;
    const auto all = store.memory.apply({.operation = store::Operation::Watch, .key = "config/change/"}, {});
    for (const auto &entry : all.entries) {
        changes.push_back(*configuration::parseChangeSet(entry.value));
    }
    return changes;
}

} // namespace internal

TEST(Operator, OfTwoWhoRaceExactlyOneWinsAndTheOtherIsToldWhatChanged)
{
    internal::FaultyStore store{1};
    internal::Desk ann{store, "ann"};
    internal::Desk ben{store, "ben"};
    const auto mine = internal::records(internal::account("a", 1));
    const auto theirs = internal::records("[" + internal::account("a", 2) + "," + internal::account("b", 2) + "]");
    store.beforePut = [&] {
        EXPECT_EQ(internal::run([&] { return ben.actor.apply(theirs, Prune::No); }).code, ExitCode::Ok);
    };
    const auto ended = internal::run([&] { return ann.actor.apply(mine, Prune::No); });
    EXPECT_EQ(ended.code, ExitCode::Conflict);
    EXPECT_NE(ended.failure.reason.find("ben (test); wrote account a; wrote account b"), std::string::npos);
    ASSERT_EQ(internal::logOf(store).size(), 1U);
    EXPECT_EQ(internal::logOf(store)[0].author, "ben");
}

RC_GTEST_PROP(Operator, WritesEachChangeAtMostOnceWhenAnswersAreLost, (const std::uint64_t seed))
{
    internal::FaultyStore store{seed};
    internal::Desk desk{store};
    std::size_t accepted = 0;
    for (int rate = 1; rate <= 12; ++rate) {
        store.lost = 0.25;
        const auto wanted = internal::records(internal::account("a", rate));
        const auto before = internal::logOf(store).size();
        const auto ended = internal::run([&] { return desk.actor.apply(wanted, Prune::No); });
        const auto written = internal::logOf(store).size() - before;
        RC_ASSERT(written <= 1U);
        RC_ASSERT(ended.code != ExitCode::Conflict);
        RC_ASSERT(ended.code != ExitCode::Ok || written == 1U);
        accepted += written;
    }
    std::set<std::string> writeIds;
    for (const auto &change : internal::logOf(store)) {
        writeIds.insert(change.writeId);
    }
    RC_ASSERT(writeIds.size() == accepted);
}

TEST(Operator, WritesNothingWhenRecordsDoNotFit)
{
    internal::FaultyStore store{1};
    internal::Desk desk{store};
    const auto wanted = internal::records("[" + internal::account("a", 1) + "," + internal::account("a", 2) + "]");
    const auto ended = internal::run([&] { return desk.actor.apply(wanted, Prune::No); });
    EXPECT_EQ(ended.code, ExitCode::Findings);
    ASSERT_EQ(ended.failure.findings.size(), 1U);
    EXPECT_EQ(ended.failure.findings[0].pointer, "/1/name");
    EXPECT_EQ(internal::run([&] { return desk.actor.issueKey(AccountName{"nobody"}); }).code, ExitCode::Findings);
    EXPECT_TRUE(internal::logOf(store).empty());
}

TEST(Operator, KeysAreShownOnceAndAccountsWithKeysStay)
{
    internal::FaultyStore store{1};
    internal::Desk desk{store};
    const auto wanted = internal::records("[" + internal::account("a", 1) + "," + internal::account("b", 1) + "]");
    ASSERT_EQ(internal::run([&] { return desk.actor.apply(wanted, Prune::No); }).code, ExitCode::Ok);
    const auto issued = internal::run([&] { return desk.actor.issueKey(AccountName{"a"}); });
    const auto key = issued.report.json["key"].get<std::string>();
    const auto parts = configuration::splitKey(key);
    ASSERT_TRUE(parts);
    // No part of the secret may be kept either; so many characters do not occur by chance.
    constexpr std::size_t partLength = 12;
    ASSERT_GT(parts->secret.size(), configuration::keySecretBytes);
    for (const auto &change : internal::logOf(store)) {
        const auto text = nlohmann::json(change).dump();
        for (std::size_t at = 0; at + partLength <= parts->secret.size(); ++at) {
            EXPECT_EQ(text.find(parts->secret.substr(at, partLength)), std::string::npos);
        }
    }
    EXPECT_EQ(internal::run([&] { return desk.actor.withdraw({"account", "a"}); }).code, ExitCode::Findings);
    const auto onlyA = internal::records(internal::account("a", 1));
    const auto pruned = internal::run([&] { return desk.actor.apply(onlyA, Prune::Yes); });
    EXPECT_EQ(pruned.report.text, "withdraw account b\naccepted as revision 3\n");
    const auto id = issued.report.json["id"].get<std::string>();
    EXPECT_EQ(internal::run([&] { return desk.actor.withdraw({"key", id}); }).code, ExitCode::Ok);
    EXPECT_EQ(internal::run([&] { return desk.actor.withdraw({"key", id}); }).code, ExitCode::Findings);
}

TEST(Operator, WaitsUntilInForceEverywhereAndNamesWhoLags)
{
    internal::FaultyStore store{1};
    internal::Desk desk{store};
    const auto *const cell = R"({"members":[{"endpoint":{"node":"n1:1"}},{"endpoint":{"node":"n2:1"}}]})";
    store.memory.apply({.operation = store::Operation::Put, .key = "cell/lima-1", .value = cell}, {});
    desk.statuses[NodeAddress{"n1:1"}] = {NodeAddress{"n1:1"}, 3, true, {}};
    const auto late = internal::run([&] { return desk.actor.wait(3); });
    EXPECT_EQ(late.code, ExitCode::NotInForce);
    EXPECT_NE(late.failure.reason.find("n2:1 does not answer"), std::string::npos);
    EXPECT_EQ(late.failure.reason.find("n1:1"), std::string::npos);
    int looks = 0;
    desk.beforeStatus = [&] {
        if (++looks == 8) {
            desk.statuses[NodeAddress{"n2:1"}] = {NodeAddress{"n2:1"}, 4, true, {}};
        }
    };
    EXPECT_EQ(internal::run([&] { return desk.actor.wait(3); }).code, ExitCode::Ok);
}

TEST(Operator, CompactsTheLogAndRefusesAWriterThatSleptThroughIt)
{
    internal::FaultyStore store{1};
    internal::Desk desk{store};
    const Repository repository{store.hook()};
    for (int rate = 1; rate <= 650; ++rate) {
        const auto wanted = internal::records(internal::account("a", rate));
        ASSERT_EQ(internal::run([&] { return desk.actor.apply(wanted, Prune::No); }).code, ExitCode::Ok);
    }
    EXPECT_LE(internal::logOf(store).size(), 450U);
    EXPECT_EQ(repository.read()->revision(), 650U);
    EXPECT_EQ(repository.read()->account(AccountName{"a"})->rate, 650);
    const configuration::ChangeSet stale{.revision = 10, .writeId = "stale", .author = "zoe"};
    const auto ended = internal::run([&]() -> Result<Report> {
        BOOST_LEAF_AUTO(revision, repository.write(stale));
        return Report{std::to_string(revision), {}, {}};
    });
    EXPECT_EQ(ended.code, ExitCode::Conflict);
    EXPECT_EQ(repository.read()->revision(), 650U);
    EXPECT_EQ(internal::logOf(store).front().revision, 401U);
}

TEST(Operator, ReclaimsOnlyALeaseThatIsThere)
{
    internal::FaultyStore store{1};
    internal::Desk desk{store};
    EXPECT_EQ(internal::run([&] { return desk.actor.reclaim(LeaseName{"cell/1"}); }).code, ExitCode::Findings);
    store.memory.apply({.operation = store::Operation::Put, .key = "lease/cell/1", .value = R"({"holder":"x"})"}, {});
    EXPECT_EQ(internal::run([&] { return desk.actor.reclaim(LeaseName{"cell/1"}); }).code, ExitCode::Ok);
    const auto present = store.memory.apply({.key = "lease/cell/1"}, {});
    EXPECT_EQ(present.entries[0].value, R"({"holder":"x","released":true})");
}

TEST(Directory, ReportsFindingsOfAllFilesTogether)
{
    const std::vector<SourceFile> files{{"one.json", "{"}, {"two.json", internal::account("a", 0)}};
    const auto ended = internal::run([&]() -> Result<Report> {
        BOOST_LEAF_AUTO(all, parseFiles(files));
        return Report{std::to_string(all.size()), {}, {}};
    });
    ASSERT_EQ(ended.failure.findings.size(), 2U);
    EXPECT_EQ(ended.failure.findings[0].file, "one.json");
    EXPECT_EQ(ended.failure.findings[1].pointer, "/rate");
}

} // namespace jasminelatch::control
