#ifndef JASMINELATCH_TEST_SUPPORT_FLEET_NETWORK_HPP
#define JASMINELATCH_TEST_SUPPORT_FLEET_NETWORK_HPP

#include <jasminelatch/core/clock.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/*! @brief Discrete event scheduler on a paused clock. */
class Scheduler
{
public:
    Scheduler()
    {
        clock_.pause();
        clock_.advance(std::chrono::hours{48});
    }

    [[nodiscard]] auto clock() const -> const Clock & { return clock_; }
    [[nodiscard]] auto now() const -> TimePoint { return clock_.now(); }

    auto after(const Duration delay, std::function<void()> event) -> void
    {
        events_.emplace(std::pair{now() + delay, ++sequence_}, std::move(event));
    }

    auto run(const Duration time) -> void
    {
        const auto end = now() + time;
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto entry = events_.extract(events_.begin());
            clock_.advance(entry.key().first - now());
            entry.mapped()();
        }
        clock_.advance(end - now());
    }

private:
    Clock clock_;
    std::uint64_t sequence_{};
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

/**
 * @brief Simulated network with one outgoing connection per ordered pair of nodes. Messages are delivered in order
 * within a connection, but not across connections.
 */
class FleetNetwork
{
public:
    using Index = std::size_t;

    /*! @brief Notifications to nodes, and a query of their state. */
    struct Hooks {
        std::function<void(Index at, Index from, std::string)> deliver; /*!< A message has arrived. */
        std::function<void(Index at, Index peer)> opened; /*!< A connection is established. */
        std::function<void(Index at, Index peer)> closed; /*!< A connection failed or cannot be opened. */
        std::function<std::uint64_t(Index)> incarnation; /*!< Incarnation of a node's process; zero while none runs. */
    };

    FleetNetwork(Scheduler &scheduler, const std::uint64_t seed, Hooks hooks)
        : scheduler_{&scheduler}
        , random_{seed}
        , hooks_{std::move(hooks)}
    {
    }

    auto send(const Index from, const Index to, std::string bytes) -> void
    {
        auto &link = links_[{from, to}];
        if (link.state == State::Open && link.incarnation != hooks_.incarnation(to) && !link.isBlackholed) {
            close(from, to, link);
            return;
        }
        if (link.state == State::Open) {
            transmit(from, to, link, std::move(bytes));
            return;
        }
        link.queued.push_back(std::move(bytes));
        if (link.state == State::Closed) {
            open(from, to, link);
        }
    }

    auto reopen(const Index from, const Index to) -> void
    {
        auto &link = links_[{from, to}];
        link.queued.clear();
        open(from, to, link);
    }

    /*! @brief Closes the connections of a terminated process; about half of its peers are not notified. */
    auto closeConnectionsOf(const Index node) -> void
    {
        std::erase_if(links_, [&](const auto &entry) { return entry.first.first == node; });
        for (auto &[pair, link] : links_) {
            if (pair.second != node || link.state != State::Open) {
                continue;
            }
            if (random_() % 2 == 0) {
                close(pair.first, pair.second, link);
            } else {
                link.isBlackholed = true;
            }
        }
    }

    /*! @brief Partitions two nodes and permanently blackholes their connections. */
    auto partition(const Index left, const Index right) -> void
    {
        partitions_.insert(std::minmax(left, right));
        blackhole(left, right);
        blackhole(right, left);
    }

    auto heal() -> void
    {
        partitions_.clear();
        delays_.clear();
    }

    /*! @brief Permanently blackholes the current connection in this direction. */
    auto blackhole(const Index from, const Index to) -> void { links_[{from, to}].isBlackholed = true; }

    auto setDelay(const Index node, const Duration delay) -> void { delays_[node] = delay; }

private:
    enum class State : std::uint8_t { Closed, Opening, Open };

    struct Link {
        State state{State::Closed};
        std::uint64_t id{};
        std::uint64_t incarnation{};
        bool isBlackholed{};
        TimePoint lastArrival;
        std::vector<std::string> queued;
    };

    auto delay(const Index from, const Index to) -> Duration
    {
        const auto maxDelay = std::max(delays_[from], delays_[to]) + std::chrono::microseconds{600};
        return std::chrono::microseconds{200 + random_() % static_cast<std::uint64_t>(maxDelay.count())};
    }

    [[nodiscard]] auto isPartitioned(const Index left, const Index right) const -> bool
    {
        return partitions_.contains(std::minmax(left, right));
    }

    auto transmit(const Index from, const Index to, Link &link, std::string bytes) -> void
    {
        if (link.isBlackholed) {
            return;
        }
        link.lastArrival = std::max(link.lastArrival, scheduler_->now() + delay(from, to));
        const auto incarnation = link.incarnation;
        scheduler_->after(link.lastArrival - scheduler_->now(),
                          [this, from, to, incarnation, bytes = std::move(bytes)] {
                              if (hooks_.incarnation(to) == incarnation && !isPartitioned(from, to)) {
                                  hooks_.deliver(to, from, bytes);
                              }
                          });
    }

    auto open(const Index from, const Index to, Link &link) -> void
    {
        link.state = State::Opening;
        link.isBlackholed = false;
        link.lastArrival = {};
        link.id = ++lastId_;
        scheduler_->after(std::chrono::milliseconds{1} + delay(from, to),
                          [this, from, to, id = link.id] { onOpened(from, to, id); });
    }

    auto onOpened(const Index from, const Index to, const std::uint64_t id) -> void
    {
        const auto position = links_.find({from, to});
        if (position == links_.end() || position->second.id != id) {
            return;
        }
        auto &link = position->second;
        link.incarnation = hooks_.incarnation(to);
        if (link.incarnation == 0 || isPartitioned(from, to)) {
            close(from, to, link);
            return;
        }
        link.state = State::Open;
        hooks_.opened(from, to);
        const auto queued = std::exchange(link.queued, {});
        for (const auto &bytes : queued) {
            transmit(from, to, link, bytes);
        }
    }

    auto close(const Index from, const Index to, Link &link) -> void
    {
        link.state = State::Closed;
        link.id = ++lastId_;
        link.queued.clear();
        const auto detectionDelay = isPartitioned(from, to) ? Duration{std::chrono::seconds{1}} : delay(from, to);
        scheduler_->after(detectionDelay, [this, from, to, id = link.id] {
            const auto position = links_.find({from, to});
            if (position != links_.end() && position->second.id == id) {
                hooks_.closed(from, to);
            }
        });
    }

    Scheduler *scheduler_;
    std::mt19937_64 random_;
    Hooks hooks_;
    std::map<std::pair<Index, Index>, Link> links_;
    std::set<std::pair<Index, Index>> partitions_;
    std::map<Index, Duration> delays_;
    std::uint64_t lastId_{};
};

} // namespace jasminelatch::test

#endif
