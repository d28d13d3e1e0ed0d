#ifndef JASMINELATCH_TEST_LEASE_WORLD_HPP
#define JASMINELATCH_TEST_LEASE_WORLD_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/store/memory_store.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/*! @brief Chances of each fault of one message or store call, and longest delays. */
struct Faults {
    double loss{};
    double duplicate{};
    Duration messageDelay{std::chrono::milliseconds{2}};
    Duration storeDelay{std::chrono::milliseconds{5}}; /*!< Each way. */
    double slowStore{}; /*!< Chance that one way takes up to `slowStoreDelay`. */
    Duration slowStoreDelay{std::chrono::seconds{8}};
    Duration storeTimeout{std::chrono::seconds{3}};
    double clockRateDrift{0.001};
};

/*! @brief Paused clocks of different rates, a lossy network and a faulty store for a fleet of cores in one process. */
class World
{
public:
    World(const std::uint64_t seed, const std::size_t size, const Faults &faults)
        : faults_{faults}
        , random_{seed}
        , machines_(size)
    {
        for (auto &machine : machines_) {
            machine.clock.pause();
            machine.clock.advance(std::chrono::hours{1});
            machine.rate = 1.0 + faults.clockRateDrift * fraction();
        }
    }

    [[nodiscard]] auto size() const -> std::size_t { return machines_.size(); }
    [[nodiscard]] auto clock(const std::size_t index) const -> const Clock & { return machines_[index].clock; }
    [[nodiscard]] auto elapsed() const -> Duration { return elapsed_; }
    [[nodiscard]] auto memory() -> store::MemoryStore & { return memory_; }
    [[nodiscard]] auto storeTime() const -> TimePoint { return TimePoint{elapsed_}; }
    [[nodiscard]] auto random() -> std::mt19937_64 & { return random_; }
    [[nodiscard]] auto calls() const -> std::size_t { return calls_; }
    auto setFaults(const Faults &faults) -> void { faults_ = faults; }

    [[nodiscard]] auto fraction() -> double { return std::uniform_real_distribution<double>{}(random_); }
    [[nodiscard]] auto chance(const double probability) -> bool { return fraction() < probability; }
    [[nodiscard]] auto upTo(const Duration longest) -> Duration
    {
        return Duration{static_cast<Duration::rep>(fraction() * static_cast<double>(longest.count()))};
    }
    [[nodiscard]] auto anyMachine() -> std::size_t { return static_cast<std::size_t>(random_() % machines_.size()); }

    auto pause(const std::size_t index, const Duration length) -> void
    {
        machines_[index].pausedUntil = std::max(machines_[index].pausedUntil, elapsed_ + length);
    }
    [[nodiscard]] auto isPaused(const std::size_t index) const -> bool
    {
        return elapsed_ < machines_[index].pausedUntil;
    }
    /*! @brief Ends the process: whatever is on its way to it is dropped, what it sent goes on. */
    auto endProcess(const std::size_t index) -> void { ++machines_[index].generation; }
    auto cut(const std::size_t one, const std::size_t other, const Duration length) -> void
    {
        cuts_[std::minmax(one, other)] = elapsed_ + length;
    }
    auto cutFromStore(const std::size_t index, const Duration length) -> void
    {
        machines_[index].storeCutUntil = elapsed_ + length;
    }
    /*! @brief Lets calls of one machine take effect without an answer. */
    auto loseAnswers(const std::size_t index, const Duration length) -> void
    {
        machines_[index].answersLostUntil = elapsed_ + length;
    }
    auto takeStoreDown(const Duration length) -> void { storeDownUntil_ = elapsed_ + length; }

    auto send(const std::size_t from, const std::size_t to, std::function<void()> deliver) -> void
    {
        const auto copies = 1 + static_cast<int>(chance(faults_.duplicate));
        for (int copy = 0; copy < copies; ++copy) {
            if (!chance(faults_.loss) && !isCut(from, to)) {
                runAt(to, std::nullopt, elapsed_ + upTo(faults_.messageDelay), deliver);
            }
        }
    }

    [[nodiscard]] auto storeHook(const std::size_t index) -> store::Call
    {
        return [this, index](const store::Request &request, const store::Callback &callback) {
            ++calls_;
            const auto giveUpAt = elapsed_ + faults_.storeTimeout;
            const auto effectAt = elapsed_ + storeDelay();
            const auto answerAt = effectAt + storeDelay();
            const auto generation = machines_[index].generation;
            const auto cutOff = elapsed_ < machines_[index].storeCutUntil;
            const auto lost = cutOff || answerAt > giveUpAt;
            if (lost) {
                runAt(index, generation, giveUpAt, [callback] { callback({}); });
            }
            if (cutOff) {
                return;
            }
            events_.emplace(effectAt, [this, index, generation, request, callback, lost, answerAt, giveUpAt] {
                const auto down = elapsed_ < storeDownUntil_;
                const auto answer = down ? store::Answer{} : memory_.apply(request, storeTime());
                if (lost) {
                    return;
                }
                const auto cutNow = elapsed_ < machines_[index].storeCutUntil;
                runAt(index, generation, down || cutNow ? giveUpAt : answerAt, [this, index, callback, cutNow, answer] {
                    const auto lostNow = cutNow || elapsed_ < machines_[index].answersLostUntil;
                    callback(lostNow ? store::Answer{} : answer);
                });
            });
        };
    }

    /*! @brief Moves the time on and runs what is due; `check` follows each event, `tick` each step of a machine. */
    auto step(const Duration length, const std::function<void(std::size_t)> &tick, const std::function<void()> &check)
        -> void
    {
        elapsed_ += length;
        for (auto &machine : machines_) {
            const auto own = static_cast<double>(elapsed_.count()) * machine.rate;
            const auto target = Duration{static_cast<Duration::rep>(own)};
            machine.clock.advance(target - machine.advanced);
            machine.advanced = target;
        }
        check();
        while (!events_.empty() && events_.begin()->first <= elapsed_) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
            check();
        }
        for (std::size_t index = 0; index < machines_.size(); ++index) {
            if (!isPaused(index)) {
                tick(index);
                check();
            }
        }
    }

private:
    struct Machine {
        Clock clock;
        double rate{1.0};
        Duration advanced{};
        Duration pausedUntil{};
        Duration storeCutUntil{};
        Duration answersLostUntil{};
        std::uint64_t generation{};
    };

    [[nodiscard]] auto storeDelay() -> Duration
    {
        return chance(faults_.slowStore) ? upTo(faults_.slowStoreDelay) : upTo(faults_.storeDelay);
    }

    [[nodiscard]] auto isCut(const std::size_t one, const std::size_t other) const -> bool
    {
        const auto cut = cuts_.find(std::minmax(one, other));
        return cut != cuts_.end() && elapsed_ < cut->second;
    }

    /*! @brief Runs an action of one process, unless it has ended; of any process of the machine without a generation.
     */
    auto runAt(const std::size_t index,
               const std::optional<std::uint64_t> generation,
               const Duration when,
               std::function<void()> action) -> void
    {
        events_.emplace(when, [this, index, generation, action = std::move(action)] {
            if (generation && *generation != machines_[index].generation) {
                return;
            }
            if (isPaused(index)) {
                runAt(index, generation, machines_[index].pausedUntil, action);
                return;
            }
            action();
        });
    }

    Faults faults_;
    std::mt19937_64 random_;
    std::vector<Machine> machines_;
    std::map<std::pair<std::size_t, std::size_t>, Duration> cuts_;
    std::multimap<Duration, std::function<void()>> events_;
    store::MemoryStore memory_;
    Duration elapsed_{};
    Duration storeDownUntil_{};
    std::size_t calls_{};
};

} // namespace jasminelatch::test

#endif
