#ifndef JASMINELATCH_TEST_CONFIGURATION_FAKE_FLEET_HPP
#define JASMINELATCH_TEST_CONFIGURATION_FAKE_FLEET_HPP

#include <jasminelatch/configuration/controller.hpp>
#include <jasminelatch/configuration/key.hpp>
#include <jasminelatch/control/repository.hpp>
#include <jasminelatch/store/memory_store.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::configuration::test {

/*! @brief Cells of controllers on one paused clock, with a store and a network whose faults the test sets. */
class FakeFleet
{
public:
    struct Node {
        std::size_t cell{};
        bool isStoreCut{};
        bool isCut{}; // From every other node.
        std::unique_ptr<Controller> controller;
        Revision lastRevision{};
    };

    FakeFleet(const std::size_t cells, const std::size_t perCell, const std::uint64_t seed)
        : random_{seed}
        , holders_(cells)
    {
        clock_.pause();
        clock_.advance(std::chrono::hours{48});
        for (std::size_t index = 0; index < cells * perCell; ++index) {
            nodes_.push_back({index / perCell});
            start(index);
        }
        for (std::size_t cell = 0; cell < cells; ++cell) {
            holders_[cell] = cell * perCell;
        }
    }

    /*! @brief Starts a node anew, with empty memory. */
    auto start(const std::size_t index) -> void
    {
        Controller::Hooks hooks{
            .store = [this,
                      index](store::Request request,
                             store::Callback callback) { callStore(index, std::move(request), std::move(callback)); },
            .send = [this, index](const NodeAddress &to, const Message &message) { send(index, indexOf(to), message); },
            .isCellHolder = [this, index] { return holders_[nodes_[index].cell] == index; },
            .cellHolder = [this, index] { return std::optional{addressOf(holders_[nodes_[index].cell])}; },
            .otherHolders = [this, index] { return otherHolders(index); },
            .changed = {},
        };
        auto &node = nodes_[index];
        node.lastRevision = 0;
        node.controller =
            std::make_unique<Controller>(settings, addressOf(index), clock_, counters_, std::move(hooks), random_());
    }

    /*! @brief Advances the clock in steps of 20 ms, delivering and ticking; calls `check` after each. */
    auto run(const Duration time, const std::function<void()> &check) -> void
    {
        constexpr Duration step = std::chrono::milliseconds{20};
        for (Duration passed{}; passed < time; passed += step) {
            clock_.advance(step);
            deliver();
            for (auto &node : nodes_) {
                node.controller->tick();
            }
            check();
        }
    }

    /*! @brief Writes as an operator: calls the store at once. */
    [[nodiscard]] auto operatorCall() -> control::BlockingCall
    {
        return [this](const store::Request &request) -> store::Answer {
            if (isStoreDown) {
                return {};
            }
            auto answer = store_.apply(request, clock_.now());
            return chance(lostAnswers) ? store::Answer{} : answer;
        };
    }

    [[nodiscard]] auto chance(const double probability) -> bool
    {
        return std::bernoulli_distribution{probability}(random_);
    }
    [[nodiscard]] auto below(const std::size_t count) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
    }
    [[nodiscard]] auto nodes() -> std::vector<Node> & { return nodes_; }
    [[nodiscard]] auto holders() -> std::vector<std::size_t> & { return holders_; }
    [[nodiscard]] auto now() const -> TimePoint { return clock_.now(); }
    [[nodiscard]] auto counters() -> Counters & { return counters_; }
    [[nodiscard]] auto store() -> store::MemoryStore & { return store_; }

    Controller::Settings settings; // Set before nodes start.
    bool isStoreDown{};
    double lostAnswers{}; // Share of the operators' and the nodes' store answers that are lost.
    double lostMessages{};
    double doubledMessages{};
    Duration longestDelay{std::chrono::milliseconds{5}};
    std::set<std::pair<std::size_t, std::size_t>> cutCells; // Pairs, lower index first.

private:
    struct Event {
        TimePoint due;
        std::function<void()> act;
    };
    struct WaitingWatch {
        std::size_t node;
        store::Request request;
        store::Callback callback;
        TimePoint until;
    };

    [[nodiscard]] static auto addressOf(const std::size_t index) -> NodeAddress
    {
        return NodeAddress{"10.0.0." + std::to_string(index) + ":7000"};
    }
    [[nodiscard]] static auto indexOf(const NodeAddress &address) -> std::size_t
    {
        return std::stoul(address.text().substr(std::string{"10.0.0."}.size()));
    }

    [[nodiscard]] auto otherHolders(const std::size_t index) const -> std::vector<NodeAddress>
    {
        std::vector<NodeAddress> found;
        for (std::size_t cell = 0; cell < holders_.size(); ++cell) {
            if (cell != nodes_[index].cell) {
                found.push_back(addressOf(holders_[cell]));
            }
        }
        for (std::size_t other = 0; other < nodes_.size() && holders_.size() == 1; ++other) {
            if (other != index) {
                found.push_back(addressOf(other));
            }
        }
        return found;
    }

    [[nodiscard]] auto delay() -> Duration
    {
        return Duration{std::uniform_int_distribution<Duration::rep>{0, longestDelay.count()}(random_)};
    }

    [[nodiscard]] auto isCut(const std::size_t from, const std::size_t to) const -> bool
    {
        const auto cells = std::minmax(nodes_[from].cell, nodes_[to].cell);
        return nodes_[from].isCut || nodes_[to].isCut || cutCells.contains(cells);
    }

    auto send(const std::size_t from, const std::size_t to, const Message &message) -> void
    {
        const auto copies = chance(lostMessages) ? 0 : 1 + chance(doubledMessages);
        for (int copy = 0; copy < copies; ++copy) {
            events_.push_back({clock_.now() + delay(), [this, from, to, message] {
                                   if (!isCut(from, to)) {
                                       nodes_[to].controller->receive(addressOf(from), message);
                                   }
                               }});
        }
    }

    auto callStore(const std::size_t node, store::Request request, store::Callback callback) -> void
    {
        const auto until = clock_.now() + delay() + request.wait;
        watches_.push_back({node, std::move(request), std::move(callback), until});
    }

    /*! @brief Answers calls that need not wait; a cut or a store that is down swallows them or fails them late. */
    auto answerStore() -> void
    {
        std::deque<WaitingWatch> waiting;
        std::swap(waiting, watches_);
        for (auto &call : waiting) {
            const bool isReachable = !isStoreDown && !nodes_[call.node].isStoreCut;
            const bool mustWait = call.until > clock_.now() && (!isReachable || !store_.hasNews(call.request));
            if (mustWait) {
                watches_.push_back(std::move(call));
                continue;
            }
            auto answer = isReachable ? store_.apply(call.request, clock_.now()) : store::Answer{};
            if (chance(lostAnswers)) {
                continue;
            }
            events_.push_back(
                {clock_.now() + delay(), [callback = std::move(call.callback), answer = std::move(answer)] {
                     callback(answer);
                 }});
        }
    }

    auto deliver() -> void
    {
        answerStore();
        std::vector<Event> due;
        for (auto position = events_.begin(); position != events_.end();) {
            if (position->due <= clock_.now()) {
                due.push_back(std::move(*position));
                position = events_.erase(position);
            } else {
                ++position;
            }
        }
        std::shuffle(due.begin(), due.end(), random_);
        for (const auto &event : due) {
            event.act();
        }
    }

    Clock clock_;
    Counters counters_;
    std::mt19937_64 random_;
    store::MemoryStore store_;
    std::vector<Node> nodes_;
    std::vector<std::size_t> holders_;
    std::deque<WaitingWatch> watches_;
    std::deque<Event> events_;
};

} // namespace jasminelatch::configuration::test

#endif
