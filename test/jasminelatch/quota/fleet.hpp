#ifndef JASMINELATCH_TEST_QUOTA_FLEET_HPP
#define JASMINELATCH_TEST_QUOTA_FLEET_HPP

#include <jasminelatch/quota/borrower.hpp>
#include <jasminelatch/quota/share_holder.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jasminelatch::test {

/*! @brief Instants at which requests ran, in seconds of global time, and a check of every window over them. */
class RunLog
{
public:
    auto add(const double at) -> void { instants_.push_back(at); }
    [[nodiscard]] auto size() const -> std::size_t { return instants_.size(); }

    /*! @brief Returns the largest `runs - rate x window` over every window. */
    [[nodiscard]] auto largestBurst(const double rate) const -> double
    {
        auto lowestStart = 0.0;
        auto largest = 0.0;
        for (std::size_t index = 0; index < instants_.size(); ++index) {
            const auto excess = static_cast<double>(index) - rate * instants_[index];
            lowestStart = index == 0 ? excess : std::min(lowestStart, excess);
            largest = std::max(largest, excess + 1.0 - lowestStart);
        }
        return largest;
    }

private:
    std::vector<double> instants_;
};

struct FleetOptions {
    std::size_t nodes{};
    std::uint64_t seed{};
    double clockSpread{}; /*!< Rate error of each node's clock. */
    double fast{}; /*!< Part of the nodes whose clock is fast; the others are slow. */
    double lost{}; /*!< Part of the messages. */
    double doubled{}; /*!< Part of the messages. */
    double slow{}; /*!< Part of the messages. */
    Duration slowest{std::chrono::milliseconds{1500}};
    Duration delay{std::chrono::milliseconds{1}};
};

/*! @brief Borrowers and share holders on clocks of their own, with a network that loses, doubles and reorders. */
class Fleet
{
public:
    Fleet(const FleetOptions &options, const quota::Settings &settings, record::Fleet fleet, record::Account account)
        : options_{options}
        , settings_{settings}
        , fleet_{fleet}
        , accounts_{std::move(account)}
        , random_{options.seed}
        , nodes_(options.nodes)
    {
        for (auto &node : nodes_) {
            node.clock.pause();
            node.clockRate = chance(options.fast) ? 1.0 + options.clockSpread : 1.0 - options.clockSpread;
        }
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            start(index);
        }
    }

    /*! @brief Starts a node, or starts it again with empty memory. */
    auto start(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        node.alive = true;
        node.holder = std::make_unique<quota::ShareHolder>(
            settings_,
            node.clock,
            node.counters,
            quota::ShareHolder::Hooks{sender(index), [this, index](const LeaseName &right) {
                                          const auto position = owners_.find(right);
                                          return position != owners_.end() && position->second == index;
                                      }});
        node.borrower =
            std::make_unique<quota::Borrower>(settings_,
                                              address(index),
                                              random_(),
                                              node.clock,
                                              node.counters,
                                              quota::Borrower::Hooks{sender(index), [this](const LeaseName &right) {
                                                                         return lookUp(right);
                                                                     }});
        node.holder->setRecords(fleet_, accounts_);
        node.borrower->setRecords(fleet_, accounts_);
    }

    /*! @brief Ends a node; its rights stay with it until they are taken over. */
    auto kill(const std::size_t index) -> void { nodes_[index].alive = false; }

    /*! @brief Stops a node for a while; its clock goes on. */
    auto pause(const std::size_t index, const Duration length) -> void { nodes_[index].pausedUntil = now_ + length; }

    /*! @brief Gives a right to a node; the former holder is not told. */
    auto takeOver(const LeaseName &right, const std::size_t index) -> void
    {
        owners_[right] = index;
        nodes_[index].holder->onAcquired(right);
    }

    auto takeOverAll(const std::vector<std::size_t> &holders) -> void
    {
        for (std::uint32_t share = 0; share < fleet_.quotaShares; ++share) {
            takeOver(quota::rightName({0, share}), holders[share % holders.size()]);
        }
        updateDirectory();
    }

    /*! @brief Lets borrowers know the present holders. */
    auto updateDirectory() -> void { directory_ = owners_; }

    auto setAccount(const record::Account &account) -> void
    {
        accounts_ = {account};
        for (auto &node : nodes_) {
            node.holder->setRecords(fleet_, accounts_);
            node.borrower->setRecords(fleet_, accounts_);
        }
    }

    auto acquire(const std::size_t index) -> void
    {
        if (!runs(index)) {
            return;
        }
        ++asked_;
        nodes_[index].borrower->acquire(accounts_[0].name, [this](const quota::Decision decision) {
            if (decision.verdict == quota::Verdict::Granted) {
                log_.add(seconds());
            } else {
                ++refused_;
            }
        });
    }

    auto step(const Duration length) -> void
    {
        now_ += length;
        for (auto &node : nodes_) {
            node.clock.advance(std::chrono::round<Duration>(length * node.clockRate));
        }
        deliver();
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (runs(index)) {
                nodes_[index].holder->tick();
                nodes_[index].borrower->tick();
            }
        }
    }

    [[nodiscard]] auto random() -> std::mt19937_64 & { return random_; }
    [[nodiscard]] auto chance(const double part) -> bool { return std::bernoulli_distribution{part}(random_); }
    [[nodiscard]] auto below(const std::size_t limit) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random_);
    }
    [[nodiscard]] auto seconds() const -> double { return std::chrono::duration<double>{now_}.count(); }
    [[nodiscard]] auto log() const -> const RunLog & { return log_; }
    [[nodiscard]] auto asked() const -> std::size_t { return asked_; }
    [[nodiscard]] auto refused() const -> std::size_t { return refused_; }
    [[nodiscard]] auto counters(const std::size_t index) const -> const Counters & { return nodes_[index].counters; }

private:
    struct Node {
        Clock clock;
        double clockRate{1.0};
        Counters counters;
        std::unique_ptr<quota::ShareHolder> holder;
        std::unique_ptr<quota::Borrower> borrower;
        Duration pausedUntil{};
        bool alive{};
    };

    struct Envelope {
        std::size_t from{};
        std::size_t to{};
        quota::Message message;
    };

    [[nodiscard]] static auto address(const std::size_t index) -> NodeAddress
    {
        return NodeAddress{"node:" + std::to_string(index)};
    }

    [[nodiscard]] auto runs(const std::size_t index) const -> bool
    {
        return nodes_[index].alive && nodes_[index].pausedUntil <= now_;
    }

    [[nodiscard]] auto lookUp(const LeaseName &right) const -> std::optional<NodeAddress>
    {
        const auto position = directory_.find(right);
        return position == directory_.end() ? std::nullopt : std::optional{address(position->second)};
    }

    auto sender(const std::size_t from) -> std::function<void(const NodeAddress &, quota::Message)>
    {
        return [this, from](const NodeAddress &to, quota::Message message) {
            const auto index = static_cast<std::size_t>(std::stoul(to.text().substr(5)));
            const auto copies = chance(options_.lost) ? 0 : chance(options_.doubled) ? 2 : 1;
            for (auto copy = 0; copy < copies; ++copy) {
                auto delay = options_.delay;
                if (chance(options_.slow)) {
                    delay +=
                        Duration{static_cast<Duration::rep>(below(static_cast<std::size_t>(options_.slowest.count())))};
                }
                network_.emplace(now_ + delay, Envelope{from, index, message});
            }
        };
    }

    auto deliver() -> void
    {
        while (!network_.empty() && network_.begin()->first <= now_) {
            auto envelope = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            auto &node = nodes_[envelope.to];
            if (!node.alive) {
                continue;
            }
            if (node.pausedUntil > now_) {
                network_.emplace(node.pausedUntil, std::move(envelope));
                continue;
            }
            node.holder->receive(address(envelope.from), envelope.message);
            node.borrower->receive(address(envelope.from), envelope.message);
        }
    }

    FleetOptions options_;
    quota::Settings settings_;
    record::Fleet fleet_;
    std::vector<record::Account> accounts_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::map<LeaseName, std::size_t> owners_;
    std::map<LeaseName, std::size_t> directory_;
    std::multimap<Duration, Envelope> network_;
    RunLog log_;
    Duration now_{};
    std::size_t asked_{};
    std::size_t refused_{};
};

} // namespace jasminelatch::test

#endif
