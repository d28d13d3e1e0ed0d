#ifndef JASMINELATCH_TEST_ORDER_ORDER_FLEET_HPP
#define JASMINELATCH_TEST_ORDER_ORDER_FLEET_HPP

#include <jasminelatch/lease/lease_controller.hpp>
#include <jasminelatch/lease/world.hpp>
#include <jasminelatch/order/claim_holder.hpp>
#include <jasminelatch/order/claimant.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminelatch::order {

/*! @brief One run at a backend server. */
struct Run {
    Duration at{};
    RequestId requestId;
};

/*! @brief Nodes with real leases, claim holders and claimants, one shard, and an oracle over what ran. */
class OrderFleet
{
public:
    OrderFleet(const std::uint64_t seed,
               const std::size_t size,
               const test::Faults &faults,
               const Settings &settings,
               const lease::Settings &leaseSettings)
        : world{seed, size, faults}
        , settings_{settings}
        , leaseSettings_{leaseSettings}
        , nodes_(size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            start(index);
        }
    }

    auto start(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        const auto incarnation = ++incarnations_;
        node = std::make_unique<Node>();
        node->incarnation = incarnation;
        node->lease = std::make_unique<lease::LeaseController>(
            leaseSettings_, address(index), incarnation, world.clock(index), counters, leaseHooks(index));
        node->holder = std::make_unique<ClaimHolder>(
            settings_, address(index), incarnation, world.clock(index), counters, holderHooks(index));
        node->claimant = std::make_unique<Claimant>(
            settings_, 1, world.clock(index), counters, Claimant::Hooks{sender(index), [this](Shard) {
                                                                            return recordedHolder();
                                                                        }});
        node->lease->contend(right);
    }

    auto stop(const std::size_t index) -> void
    {
        world.endProcess(index);
        nodes_[index].reset();
    }

    [[nodiscard]] auto runs(const std::size_t index) const -> bool { return nodes_[index] != nullptr; }
    [[nodiscard]] auto lease(const std::size_t index) -> lease::LeaseController & { return *nodes_[index]->lease; }

    [[nodiscard]] auto holder() const -> std::optional<std::size_t>
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index] && nodes_[index]->lease->holds(right)) {
                return index;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto successorOf(const std::size_t index) -> std::size_t
    {
        const auto successor = runs(index) ? lease(index).successor(right) : NodeAddress{};
        const auto other = indexOf(successor);
        return other ? *other : world.anyMachine();
    }

    /*! @brief Returns the node that the shard's value in the store names as replica. */
    [[nodiscard]] auto recordedReplica() -> NodeAddress
    {
        const auto answer = world.memory().apply({.key = right.text()}, world.storeTime());
        const auto value = answer.entries.empty() ? std::nullopt : parseShardValue(answer.entries[0].value);
        return value ? value->replica.node : NodeAddress{};
    }

    /*! @brief Sends a request with a key to a node, which runs it when it is granted. */
    auto submit(const std::size_t index, const std::string &key, const std::string &body) -> RequestId
    {
        const RequestId id{"r" + std::to_string(++requests_)};
        bodies_[id] = body;
        nodes_[index]->claimant->claim(
            {AccountName{"club"}, key, id, body},
            [this, index, key, id](const Verdict &verdict) { decide(index, key, id, verdict); });
        return id;
    }

    auto step() -> void
    {
        finishRuns();
        const auto tick = [this](const std::size_t index) {
            if (nodes_[index]) {
                nodes_[index]->lease->tick();
                nodes_[index]->holder->tick();
                nodes_[index]->claimant->tick();
            }
        };
        world.step(stepLength, tick, [] {});
    }

    auto run(const Duration length) -> void
    {
        for (const auto end = world.elapsed() + length; world.elapsed() < end;) {
            step();
        }
    }

    /*! @brief Returns the verdict on a request, once there is one. */
    [[nodiscard]] auto verdict(const RequestId &id) const -> const Verdict *
    {
        const auto position = verdicts_.find(id);
        return position == verdicts_.end() ? nullptr : &position->second;
    }

    static constexpr Duration stepLength{std::chrono::milliseconds{20}};
    const LeaseName right{rightOf(0)};
    test::World world;
    Counters counters;
    std::map<std::string, std::vector<Run>> ran;
    std::vector<std::string> violations;
    double notRunShare{}; /*!< Share of dispatches that the backend server refuses. */
    double unknownShare{}; /*!< Share of dispatches that end unknown. */
    bool reports{true};

    [[nodiscard]] static auto address(const std::size_t index) -> NodeAddress
    {
        return NodeAddress{"node" + std::to_string(index)};
    }

private:
    struct Node {
        std::uint64_t incarnation{};
        std::unique_ptr<lease::LeaseController> lease;
        std::unique_ptr<ClaimHolder> holder;
        std::unique_ptr<Claimant> claimant;
    };

    struct Running {
        Duration until;
        std::size_t index;
        std::uint64_t incarnation;
        RequestId id;
        ResultKind kind;
    };

    [[nodiscard]] auto indexOf(const NodeAddress &wanted) const -> std::optional<std::size_t>
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (address(index) == wanted) {
                return index;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto recordedHolder() -> std::optional<NodeAddress>
    {
        const auto answer = world.memory().apply({.key = lease::recordKey(right)}, world.storeTime());
        if (answer.entries.empty() || world.chance(0.1)) {
            return address(world.anyMachine());
        }
        return lease::parseRecord(answer.entries[0].value)->holder;
    }

    template<typename Deliver>
    auto sendTo(const std::size_t from, const NodeAddress &to, Deliver deliver) -> void
    {
        const auto index = indexOf(to);
        if (!index) {
            return;
        }
        world.send(from, *index, [this, index = *index, deliver] {
            if (nodes_[index]) {
                deliver(*nodes_[index]);
            }
        });
    }

    [[nodiscard]] auto sender(const std::size_t from) -> std::function<void(const NodeAddress &, Message)>
    {
        return [this, from](const NodeAddress &to, const Message &message) {
            sendTo(from, to, [from, message](Node &node) {
                node.holder->receive(address(from), message);
                node.claimant->receive(address(from), message);
            });
        };
    }

    [[nodiscard]] auto leaseHooks(const std::size_t index) -> lease::LeaseController::Hooks
    {
        lease::LeaseController::Hooks hooks;
        hooks.store = world.storeHook(index);
        hooks.send = [this, index](const NodeAddress &to, const lease::Message &message) {
            sendTo(index, to, [index, message](Node &node) { node.lease->receive(address(index), message); });
        };
        hooks.chooseSuccessor = [this, index](const LeaseName &) -> std::optional<NodeAddress> {
            const auto other = (index + 1 + world.random()() % (world.size() - 1)) % world.size();
            return runs(other) ? std::optional{address(other)} : std::nullopt;
        };
        hooks.acquired = [this, index](const LeaseName &, const lease::Acquisition &acquisition) {
            nodes_[index]->holder->acquired(0, acquisition);
        };
        hooks.lost = [this, index](const LeaseName &) {
            nodes_[index]->holder->lost(0);
        };
        return hooks;
    }

    [[nodiscard]] auto holderHooks(const std::size_t index) -> ClaimHolder::Hooks
    {
        return {world.storeHook(index),
                sender(index),
                [this, index](Shard) { return nodes_[index]->lease->holds(right); },
                [this, index](Shard) {
                    return nodes_[index]->lease->successor(right);
                }};
    }

    auto decide(const std::size_t index, const std::string &key, const RequestId &id, const Verdict &verdict) -> void
    {
        if (!verdicts_.emplace(id, verdict).second) {
            violations.push_back("two verdicts on " + id.text());
        }
        if (const auto *answer = std::get_if<Answer>(&verdict)) {
            if (answer->body != bodies_[id]) {
                violations.push_back("answer to another body for " + id.text());
            }
        }
        if (std::holds_alternative<Grant>(verdict)) {
            dispatch(index, key, id);
        }
    }

    auto dispatch(const std::size_t index, const std::string &key, const RequestId &id) -> void
    {
        auto kind = ResultKind::Answered;
        if (world.chance(notRunShare)) {
            kind = ResultKind::NotRun;
        } else if (world.chance(unknownShare)) {
            kind = ResultKind::Unknown;
        }
        if (kind == ResultKind::Answered || (kind == ResultKind::Unknown && world.chance(0.5))) {
            ran[key].push_back({world.elapsed(), id});
        }
        const auto until = world.elapsed() + world.upTo(std::chrono::seconds{2});
        running_.push_back({until, index, nodes_[index]->incarnation, id, kind});
    }

    auto finishRuns() -> void
    {
        std::erase_if(running_, [this](const Running &item) {
            if (world.elapsed() < item.until || world.isPaused(item.index)) {
                return false;
            }
            const auto &node = nodes_[item.index];
            if (reports && node && node->incarnation == item.incarnation) {
                node->claimant->report(item.id, item.kind, {200, "text/plain", bodies_[item.id]});
            }
            return true;
        });
    }

    Settings settings_;
    lease::Settings leaseSettings_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::uint64_t incarnations_{};
    std::uint64_t requests_{};
    std::map<RequestId, std::string> bodies_;
    std::map<RequestId, Verdict> verdicts_;
    std::vector<Running> running_;
};

} // namespace jasminelatch::order

#endif
