#include "backend_model.hpp"

#include <jasminelatch/admission/fair_share.hpp>

#include <gtest/gtest.h>

#include <string>

using namespace std::chrono_literals;

namespace jasminelatch::admission::test {

namespace {

struct Scenario {
    std::string name;
    Experiment experiment;
    double leastGoodput{}; /*!< Goodput that adaptive admission must reach. */
};

auto halved() -> Experiment
{
    Experiment experiment;
    experiment.capability = [](const Duration now) {
        return Capability{now < 3s ? 70.0 : 35.0, 1.0};
    };
    return experiment;
}

auto slowed() -> Experiment
{
    Experiment experiment;
    experiment.capability = [](const Duration now) {
        return Capability{70.0, now < 3s ? 1.0 : 2.0};
    };
    return experiment;
}

auto cold() -> Experiment
{
    Experiment experiment;
    experiment.state = membership::EndpointState::Starting;
    experiment.measureFrom = 0ms;
    experiment.length = 10s;
    experiment.capability = [](const Duration now) {
        const auto warmth = std::min(1.0, 0.1 + static_cast<double>(now.count()) / 6e6);
        return Capability{70.0 * warmth, 2.0 - warmth};
    };
    return experiment;
}

auto announces(const std::uint32_t slots) -> Experiment
{
    Experiment experiment;
    experiment.announcedSlots = slots;
    return experiment;
}

auto lateReports() -> Experiment
{
    Experiment experiment = halved();
    experiment.report = [](const Duration now) -> std::optional<std::uint32_t> {
        if (now % 1s != 0ms) {
            return std::nullopt;
        }
        return now < 6s ? 350 : 3;
    };
    return experiment;
}

auto shedding() -> Experiment
{
    Experiment experiment = halved();
    experiment.shedAbove = 5;
    return experiment;
}

auto scenarios() -> std::vector<Scenario>
{
    return {
        {"steady", Experiment{}, 0.93},
        {"halved", halved(), 0.93},
        {"slowed", slowed(), 0.93},
        {"cold", cold(), 0.93},
        {"announces_5x", announces(350), 0.93},
        {"announces_tenth", announces(7), 0.93},
        {"late_reports", lateReports(), 0.93},
        {"sheds", shedding(), 0.93},
    };
}

auto measure(Experiment experiment, const Mode mode, const std::uint64_t seed, const std::size_t queueLimit) -> Measured
{
    experiment.queueLimit = queueLimit;
    experiment.mode = mode;
    experiment.seed = seed;
    return BackendModel{std::move(experiment)}.run();
}

/*! @brief Oracle: goodput of an account when importances come in order and accounts share by water-filling. */
auto expectedGoodput(const std::size_t account, const double load) -> double
{
    auto left = 1.0;
    auto expected = 0.0;
    for (const auto importanceShare : importanceShares) {
        std::vector<double> demands;
        for (const auto accountShare : accountShares) {
            demands.push_back(load * importanceShare * accountShare / 100);
        }
        expected += std::min(demands[account], fairShare(demands, left));
        left = std::max(0.0, left - load * importanceShare / 10);
    }
    return expected;
}

} // namespace

TEST(BackendModel, GivesEachAccountItsMaxMinShare)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const auto measured = measure(Experiment{}, Mode::Adaptive, seed, 512);
        for (std::size_t account = 0; account < accountShares.size(); ++account) {
            EXPECT_NEAR(measured.byAccount.at(account) / expectedGoodput(account, 2.0), 1.0, 0.1) << account;
        }
    }
}

TEST(BackendModel, KeepsGoodputWhateverTheCapacityDoesAndBeatsFirstCome)
{
    for (const auto &scenario : scenarios()) {
        for (const std::uint64_t seed : {1U, 2U}) {
            SCOPED_TRACE(scenario.name + " seed " + std::to_string(seed));
            const auto adaptive = measure(scenario.experiment, Mode::Adaptive, seed, 512);
            const auto longQueue = measure(scenario.experiment, Mode::FirstCome, seed, 512);
            const auto shortQueue = measure(scenario.experiment, Mode::FirstCome, seed, 64);
            std::cout << scenario.name << " seed " << seed << ": goodput " << adaptive.goodput << ", first come "
                      << longQueue.goodput << ", with short queue " << shortQueue.goodput << "; most important served "
                      << adaptive.served[0] << ", " << longQueue.served[0] << ", " << shortQueue.served[0] << '\n';
            EXPECT_GE(adaptive.goodput, scenario.leastGoodput);
            EXPECT_GT(adaptive.goodput, longQueue.goodput);
            EXPECT_GT(adaptive.served[0], 0.93);
            EXPECT_GT(adaptive.served[0], shortQueue.served[0] + 0.2);
            for (std::size_t rank = 1; rank < importanceCount; ++rank) {
                EXPECT_LE(adaptive.served.at(rank), adaptive.served.at(rank - 1) + 0.02);
            }
        }
    }
}

} // namespace jasminelatch::admission::test
