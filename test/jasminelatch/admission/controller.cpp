#include <jasminelatch/admission/controller.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::admission {

namespace {

/*! @brief Controller with a paused clock and an oracle of what it was told and did. */
struct Bench {
    Clock clock;
    Counters counters;
    std::map<RequestId, Item> waiting;
    std::map<RequestId, Item> running;
    std::map<RequestId, RefusalReason> refused;
    std::size_t submitted{};
    std::size_t cancelled{};
    std::size_t ended{};
    bool isHeld{}; /*!< An idle backend server shed: nothing starts before the next tick. */
    Settings settings;
    std::optional<Controller> controller;

    explicit Bench(const Settings &given)
        : settings{given}
    {
        clock.pause();
        controller.emplace(settings,
                           clock,
                           counters,
                           Controller::Hooks{
                               [this](const RequestId &id) { onStart(id); },
                               [this](const RequestId &id, const Refusal &refusal) { onRefuse(id, refusal); },
                           });
    }

    auto submit(const int importance, const int account, const Duration timeout) -> void
    {
        ++submitted;
        Item item{RequestId{std::to_string(submitted)},
                  static_cast<record::Importance>(importance),
                  AccountName{std::to_string(account)},
                  clock.now() + timeout,
                  {}};
        waiting.emplace(item.id, item);
        controller->submit(item);
    }

    auto onStart(const RequestId &id) -> void
    {
        const auto item = waiting.find(id);
        RC_ASSERT(item != waiting.end());
        RC_ASSERT(item->second.deadline > clock.now());
        RC_ASSERT(!isHeld);
        for (const auto &[other, each] : waiting) {
            RC_ASSERT(each.importance >= item->second.importance || other == id);
        }
        running.insert(waiting.extract(item));
        RC_ASSERT(running.size() <= controller->limit());
    }

    auto onRefuse(const RequestId &id, const Refusal &refusal) -> void
    {
        const auto item = waiting.find(id);
        RC_ASSERT(item != waiting.end());
        RC_ASSERT(refusal.outcome == Outcome::NotRun);
        RC_ASSERT(refusal.retryAfter > Duration::zero());
        if (refusal.reason == RefusalReason::Shed || refusal.reason == RefusalReason::QueueFull) {
            for (const auto &[other, each] : waiting) {
                RC_ASSERT(each.importance <= item->second.importance);
            }
        }
        refused.emplace(id, refusal.reason);
        waiting.erase(item);
    }

    auto endOne(const std::size_t index, const Result result, const Duration latency) -> void
    {
        if (running.empty()) {
            return;
        }
        const auto id = std::next(running.begin(), static_cast<std::ptrdiff_t>(index % running.size()))->first;
        running.erase(id);
        ++ended;
        isHeld = isHeld || (result == Result::ShedByBackend && running.empty());
        controller->finish(id, {latency, result});
    }

    auto tick() -> void
    {
        isHeld = false;
        controller->tick();
    }

    auto cancelOne(const std::size_t index) -> void
    {
        const RequestId id{std::to_string(1 + index % std::max<std::size_t>(1, submitted))};
        cancelled += waiting.erase(id) + running.erase(id);
        controller->cancel(id);
    }

    auto check() const -> void
    {
        RC_ASSERT(controller->inFlight() == running.size());
        RC_ASSERT(controller->queued() == waiting.size());
        RC_ASSERT(submitted == waiting.size() + running.size() + refused.size() + cancelled + ended);
        RC_ASSERT(controller->limit() >= 1U);
        RC_ASSERT(waiting.empty() || isHeld || running.size() >= controller->limit());
    }
};

} // namespace

RC_GTEST_PROP(Controller, LosesNothingAndShedsTheLeastImportantFirst, ())
{
    Settings settings;
    settings.queueLimit = *rc::gen::inRange<std::size_t>(1, 12);
    settings.initialServiceTime = 5ms;
    Bench bench{settings};
    const auto slots = *rc::gen::inRange(1U, 6U);
    bench.controller->setCapacity(slots, slots + 2, membership::EndpointState::Ready);
    const auto steps = *rc::gen::inRange(1, 200);
    for (auto step = 0; step < steps; ++step) {
        const auto number = *rc::gen::inRange<std::size_t>(0, 1000);
        switch (*rc::gen::weightedElement<int>({{8, 0}, {4, 1}, {1, 2}, {3, 3}})) {
        case 0:
            bench.submit(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 200) * 1ms);
            break;
        case 1:
            bench.endOne(number, static_cast<Result>(number % 4), *rc::gen::inRange(1, 20) * 1ms);
            break;
        case 2:
            bench.cancelOne(number);
            break;
        default:
            bench.clock.advance(*rc::gen::inRange(1, 60) * 1ms);
            bench.tick();
        }
        RC_ASSERT(bench.controller->limit() <= slots + 2);
        bench.check();
    }
}

RC_GTEST_PROP(Controller, StartsNothingThatCannotMeetItsDeadline, ())
{
    Settings settings;
    settings.initialServiceTime = 20ms;
    Bench bench{settings};
    bench.controller->setCapacity(1, 10, membership::EndpointState::Ready);
    bench.submit(0, 0, 1s);
    const auto timeouts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 200));
    for (const auto timeout : timeouts) {
        bench.submit(0, 0, timeout * 1ms);
        RC_ASSERT(timeout >= 20 || bench.refused.contains(RequestId{std::to_string(bench.submitted)}));
    }
    while (!bench.running.empty()) {
        // The service is slower than it was; no tick, so only the check at the time of dispatch can refuse.
        bench.clock.advance(35ms);
        bench.endOne(0, Result::Ok, 20ms);
        for (const auto &[id, item] : bench.running) {
            RC_ASSERT(item.deadline >= bench.clock.now() + 20ms);
        }
    }
    bench.check();
}

TEST(Controller, TakesShortRequestsAgainAfterASlowSpell)
{
    Bench bench{Settings{}};
    bench.controller->setCapacity(1, 10, membership::EndpointState::Ready);
    for (int request = 0; request < 30; ++request) {
        bench.submit(0, 0, 60s);
        const auto latency = request % 2 == 0 ? 100ms : 2000ms;
        bench.clock.advance(latency);
        bench.endOne(0, Result::Ok, latency);
    }
    bench.clock.advance(20s);
    bench.controller->tick();
    bench.submit(0, 0, 500ms);
    EXPECT_EQ(bench.running.size(), 1U) << "a spread of long ago still refuses what would be in time";
}

TEST(Controller, RefusesLateWorkWithAReasonOfItsOwn)
{
    Bench bench{Settings{}};
    bench.controller->setCapacity(1, 10, membership::EndpointState::Ready);
    bench.submit(0, 0, 0ms);
    bench.submit(0, 0, 10ms);
    EXPECT_EQ(bench.refused.at(RequestId{"1"}), RefusalReason::DeadlineExpired);
    EXPECT_EQ(bench.refused.at(RequestId{"2"}), RefusalReason::DeadlineTooShort);
    EXPECT_EQ(bench.counters.value("admission.deadline_expired"), 1U);
    EXPECT_EQ(bench.counters.value("admission.deadline_too_short"), 1U);
}

TEST(Controller, PassesOnTheStrictestLevelOfTheServicesItNeedsWhileFresh)
{
    Bench bench{Settings{}};
    Pressure low;
    setOpenness(low, 1.5);
    bench.controller->reportDownstream(ServiceName{"inventory"}, low);
    bench.controller->reportDownstream(ServiceName{"billing"}, Pressure{});
    EXPECT_DOUBLE_EQ(openness(bench.controller->pressure()), 1.5);
    bench.clock.advance(1s);
    EXPECT_DOUBLE_EQ(openness(bench.controller->pressure()), 4.0);
}

TEST(Controller, LowersTheLevelOfTheLeastImportantFirstAndRaisesItAgain)
{
    Settings settings;
    settings.queueLimit = 4;
    Bench bench{settings};
    bench.controller->setCapacity(1, 10, membership::EndpointState::Ready);
    for (auto count = 0; count < 40; ++count) {
        bench.submit(count % 4, 0, 10s);
    }
    bench.clock.advance(100ms);
    bench.controller->tick();
    const auto pressure = bench.controller->pressure();
    EXPECT_LT(openness(pressure), 4.0);
    EXPECT_GE(pressure.level, 2);
    EXPECT_GT(pressure.expectedWait, Duration::zero());
    for (auto count = 0; count < 200; ++count) {
        bench.endOne(0, Result::Ok, 20ms);
        bench.clock.advance(100ms);
        bench.controller->tick();
    }
    EXPECT_DOUBLE_EQ(openness(bench.controller->pressure()), 4.0);
}

} // namespace jasminelatch::admission
