#include "controller.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace jasminelatch::admission {

namespace {

/*! @brief Completions that the estimate of the service time rests on. */
constexpr int serviceTimeMemory = 10;
/*! @brief Mean deviations of the service time that a request from the queue must have to spare. */
constexpr int deviationMargin = 3;
/*! @brief Smallest and largest share of the arrivals that one lowering of the level cuts. */
constexpr double weakestLevelCut = 0.05;
constexpr double strongestLevelCut = 0.3;
/*! @brief Rise of the openness for each interval, with the limit in use and with room to spare. */
constexpr double slowRise = 0.05;
constexpr double fastRise = 0.2;
/*! @brief Share of the limit in use below which there is room to spare. */
constexpr double roomToSpare = 0.7;
/*! @brief Lower bound of the openness. */
constexpr double lowestOpenness = 0.05;

} // namespace

Controller::Controller(Settings settings, const Clock &clock, Counters &counters, Hooks hooks)
    : settings_{settings}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , limit_{settings.limit, clock}
    , serviceTime_{settings.initialServiceTime}
    , serviceTimeAt_{clock.now()}
    , levelAt_{clock.now()}
{
}

auto Controller::submit(Item item) -> void
{
    item.arrival = clock_->now();
    item.importance = std::min(item.importance, record::leastImportant);
    switch (settings_.mode) {
    case Mode::Off:
        start(item);
        return;
    case Mode::FirstCome:
        item.importance = 0;
        item.account = AccountName{};
        enqueue(std::move(item));
        return;
    case Mode::Adaptive:
        ++arrivals_.at(item.importance);
        admit(std::move(item));
        return;
    }
}

auto Controller::finish(const RequestId &id, const Completion &completion) -> void
{
    if (running_.erase(id) == 0) {
        return;
    }
    learn(completion);
    dispatch();
}

auto Controller::cancel(const RequestId &id) -> void
{
    if (queue_.remove(id) || running_.erase(id) > 0) {
        counters_->add("admission.cancelled");
        dispatch();
    }
}

auto Controller::setCapacity(const std::uint32_t slots,
                             const std::uint32_t connections,
                             const membership::EndpointState state) -> void
{
    const auto isFixed = settings_.mode == Mode::FirstCome;
    limit_.setCapacity(slots, connections, isFixed ? membership::EndpointState::Ready : state);
    dispatch();
}

auto Controller::reportDownstream(const ServiceName &service, const Pressure &pressure) -> void
{
    downstream_.insert_or_assign(service, DownstreamReport{pressure, clock_->now() - pressure.age});
}

auto Controller::tick() -> void
{
    heldByShed_ = false;
    if (settings_.mode == Mode::Adaptive) {
        limit_.tick();
        expire();
        adjustLevel();
    }
    std::erase_if(downstream_,
                  [&](const auto &entry) { return clock_->now() - entry.second.at >= settings_.downstreamStaleAfter; });
    dispatch();
}

auto Controller::pressure() const -> Pressure
{
    Pressure pressure;
    auto strictest = openness_;
    for (const auto &[service, report] : downstream_) {
        const auto age = clock_->now() - report.at;
        if (age < settings_.downstreamStaleAfter && openness(report.pressure) < strictest) {
            strictest = openness(report.pressure);
            pressure.age = age;
        }
    }
    setOpenness(pressure, strictest);
    pressure.inFlight = static_cast<std::uint32_t>(running_.size());
    pressure.limit = limit();
    pressure.queued = static_cast<std::uint32_t>(queue_.size());
    pressure.expectedWait = hasPlace() ? Duration::zero() : waitAfter(queue_.size());
    return pressure;
}

auto Controller::inFlight() const noexcept -> std::size_t
{
    return running_.size();
}

auto Controller::queued() const noexcept -> std::size_t
{
    return queue_.size();
}

auto Controller::limit() const noexcept -> std::uint32_t
{
    return limit_.value();
}

auto Controller::admit(Item item) -> void
{
    if (item.deadline <= item.arrival) {
        refuse(item.id, RefusalReason::DeadlineExpired);
        return;
    }
    if (isHopeless(item)) {
        refuse(item.id, RefusalReason::DeadlineTooShort);
        return;
    }
    const auto wait = hasPlace() ? Duration::zero() : waitAfter(queue_.ahead(item.importance, item.account));
    if (wait > Duration::zero() && isHopelessAfter(item, wait)) {
        ++overloadRefusals_;
        refuse(item.id, RefusalReason::DeadlineTooShort);
        return;
    }
    enqueue(std::move(item));
}

auto Controller::enqueue(Item item) -> void
{
    if (queue_.size() < settings_.queueLimit || makeRoomFor(item)) {
        queue_.push(std::move(item));
        dispatch();
        return;
    }
    ++overloadRefusals_;
    refuse(item.id, queue_.leastImportantQueued() == item.importance ? RefusalReason::QueueFull : RefusalReason::Shed);
}

auto Controller::makeRoomFor(const Item &item) -> bool
{
    if (settings_.mode == Mode::FirstCome) {
        return false;
    }
    const auto evicted = queue_.evictFor(item);
    if (!evicted) {
        return false;
    }
    ++overloadRefusals_;
    refuse(evicted->id, RefusalReason::Shed);
    return true;
}

auto Controller::dispatch() -> void
{
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    while (hasPlace() && startNext()) {
    }
    dispatching_ = false;
}

auto Controller::startNext() -> bool
{
    const auto *next = queue_.front();
    if (next == nullptr) {
        return false;
    }
    if (settings_.mode == Mode::Adaptive && isHopelessAfter(*next, Duration::zero())) {
        const auto late = *next;
        queue_.remove(late.id);
        refuseLate(late);
        return true;
    }
    const auto item = *queue_.pop();
    longestWait_ = std::max(longestWait_, clock_->now() - item.arrival);
    start(item);
    return true;
}

auto Controller::start(const Item &item) -> void
{
    running_.emplace(item.id, clock_->now());
    limit_.use(running_.size());
    hooks_.start(item.id);
}

auto Controller::expire() -> void
{
    const auto late = queue_.removeIf([&](const Item &item) { return isHopelessAfter(item, Duration::zero()); });
    for (const auto &item : late) {
        refuseLate(item);
    }
}

auto Controller::refuseLate(const Item &item) -> void
{
    ++overloadRefusals_;
    const auto isLate = item.deadline <= clock_->now();
    refuse(item.id, isLate ? RefusalReason::DeadlineExpired : RefusalReason::DeadlineTooShort);
}

auto Controller::refuse(const RequestId &id, const RefusalReason reason) -> void
{
    counters_->add("admission." + std::string{toString(reason)});
    hooks_.refuse(id, Refusal{reason, Outcome::NotRun, retryAfter()});
}

auto Controller::learn(const Completion &completion) -> void
{
    if (completion.result == Result::ShedByBackend) {
        counters_->add("admission.shed_by_backend");
    }
    if (settings_.mode != Mode::Adaptive || completion.result == Result::Failed) {
        return;
    }
    if (completion.result == Result::ShedByBackend) {
        limit_.addShed(running_.size());
        heldByShed_ = running_.empty();
        return;
    }
    limit_.addLatency(completion.latency);
    const auto estimate = serviceTime();
    const auto error = completion.latency - estimate;
    serviceTime_ = estimate + error / serviceTimeMemory;
    const auto spread = deviation();
    deviation_ = spread + (std::chrono::abs(error) - spread) / serviceTimeMemory;
    serviceTimeAt_ = clock_->now();
}

auto Controller::adjustLevel() -> void
{
    if (clock_->now() - levelAt_ < settings_.pressureInterval) {
        return;
    }
    std::uint64_t arrivals = 0;
    for (const auto count : arrivals_) {
        arrivals += count;
    }
    if (overloadRefusals_ > 0 || longestWait_ > settings_.targetWait) {
        const auto refused =
            static_cast<double>(overloadRefusals_) / static_cast<double>(std::max<std::uint64_t>(1, arrivals));
        lowerOpenness(std::clamp(refused, weakestLevelCut, strongestLevelCut) * static_cast<double>(arrivals));
    } else {
        const auto hasRoom = static_cast<double>(running_.size()) < roomToSpare * limit();
        openness_ = std::min(static_cast<double>(importanceCount), openness_ + (hasRoom ? fastRise : slowRise));
    }
    levelAt_ = clock_->now();
    arrivals_.fill(0);
    overloadRefusals_ = 0;
    longestWait_ = Duration::zero();
}

auto Controller::lowerOpenness(double excess) -> void
{
    for (auto rank = importanceCount; rank > 0 && excess > 0; --rank) {
        const auto importance = static_cast<record::Importance>(rank - 1);
        const auto share = admittedShare(openness_, importance);
        const auto arrivals = static_cast<double>(arrivals_.at(importance));
        if (share <= 0) {
            continue;
        }
        const auto cut = arrivals <= excess ? share : share * excess / arrivals;
        openness_ = std::max(lowestOpenness, openness_ - cut);
        excess -= std::min(excess, arrivals);
    }
}

auto Controller::hasPlace() const noexcept -> bool
{
    return settings_.mode == Mode::Off || (!heldByShed_ && running_.size() < limit());
}

auto Controller::isHopeless(const Item &item) const -> bool
{
    return clock_->now() + serviceTime() > item.deadline;
}

auto Controller::isHopelessAfter(const Item &item, const Duration wait) const -> bool
{
    return clock_->now() + wait + serviceTime() + deviationMargin * deviation() > item.deadline;
}

auto Controller::waitAfter(const std::size_t ahead) const -> Duration
{
    return serviceTime() * static_cast<Duration::rep>(ahead + 1) / static_cast<Duration::rep>(limit());
}

auto Controller::serviceTime() const -> Duration
{
    return faded(serviceTime_);
}

auto Controller::deviation() const -> Duration
{
    return faded(deviation_);
}

auto Controller::faded(const Duration estimate) const -> Duration
{
    const auto age = static_cast<double>((clock_->now() - serviceTimeAt_).count());
    const auto halfLife = static_cast<double>(settings_.serviceTimeHalfLife.count());
    const auto factor = std::exp2(-std::floor(age / halfLife));
    return Duration{static_cast<Duration::rep>(static_cast<double>(estimate.count()) * factor)};
}

auto Controller::retryAfter() const -> Duration
{
    return std::clamp(waitAfter(queue_.size()), settings_.shortestRetryAfter, settings_.longestRetryAfter);
}

} // namespace jasminelatch::admission
