#ifndef JASMINELATCH_TEST_LEASE_FLEET_HPP
#define JASMINELATCH_TEST_LEASE_FLEET_HPP

#include "world.hpp"

#include <jasminelatch/lease/lease_controller.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::lease {

/*! @brief Some nodes that contend for one right; machine 0 is named first as successor of any other. */
class Fleet
{
public:
    Fleet(const std::uint64_t seed, const std::size_t size, const test::Faults &faults, const Settings &settings)
        : world{seed, size, faults}
        , settings_{settings}
        , nodes_(size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            start(index);
        }
    }

    auto start(const std::size_t index, const bool contends = true) -> void
    {
        LeaseController::Hooks hooks;
        hooks.store = world.storeHook(index);
        hooks.send = [this, index](const NodeAddress &to, const Message &message) {
            send(index, to, message);
        };
        hooks.chooseSuccessor = [this, index](const LeaseName &) {
            return offer(index);
        };
        hooks.acquired = [this](const LeaseName &, const Acquisition &acquisition) {
            lastKind = acquisition.kind;
        };
        nodes_[index] = std::make_unique<LeaseController>(
            settings_, address(index), ++incarnations_, world.clock(index), counters, std::move(hooks));
        if (contends) {
            nodes_[index]->contend(right);
        }
    }

    auto stop(const std::size_t index) -> void
    {
        world.endProcess(index);
        nodes_[index].reset();
    }

    [[nodiscard]] auto runs(const std::size_t index) const -> bool { return nodes_[index] != nullptr; }
    [[nodiscard]] auto node(const std::size_t index) -> LeaseController & { return *nodes_[index]; }

    /*! @brief Returns the nodes that hold the right at this instant. */
    [[nodiscard]] auto holders() const -> std::vector<std::size_t>
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index] && nodes_[index]->holds(right)) {
                result.push_back(index);
            }
        }
        return result;
    }

    /*! @brief Returns the machine that a node knows as the right's successor; any machine when it knows none. */
    [[nodiscard]] auto successorOf(const std::size_t index) -> std::size_t
    {
        const auto successor = runs(index) ? node(index).successor(right) : NodeAddress{};
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (address(other) == successor) {
                return other;
            }
        }
        return world.anyMachine();
    }

    /*! @brief Returns the successor that the store's record names. */
    [[nodiscard]] auto recordedSuccessor() -> NodeAddress
    {
        const auto answer = world.memory().apply({.key = recordKey(right)}, world.storeTime());
        const auto record = answer.entries.empty() ? std::nullopt : parseRecord(answer.entries[0].value);
        return record ? record->successor : NodeAddress{};
    }

    auto step(const Duration length) -> void
    {
        const auto tick = [this](const std::size_t index) {
            if (nodes_[index]) {
                nodes_[index]->tick();
            }
        };
        const auto check = [this] {
            mostHolders = std::max(mostHolders, holders().size());
        };
        world.step(length, tick, check);
    }

    /*! @brief Runs on until somebody holds the right; returns how long that took, or `limit`. */
    auto runUntilHeld(const Duration limit) -> Duration
    {
        const auto start = world.elapsed();
        while (holders().empty() && world.elapsed() < start + limit) {
            step(stepLength);
        }
        return world.elapsed() - start;
    }

    auto run(const Duration length) -> void
    {
        const auto end = world.elapsed() + length;
        while (world.elapsed() < end) {
            step(stepLength);
        }
    }

    static constexpr Duration stepLength{std::chrono::milliseconds{20}};
    const LeaseName right{"quota/0"};
    test::World world;
    Counters counters;
    std::size_t mostHolders{};
    AcquisitionKind lastKind{};

    [[nodiscard]] static auto address(const std::size_t index) -> NodeAddress
    {
        return NodeAddress{"node" + std::to_string(index)};
    }

private:
    [[nodiscard]] auto offer(const std::size_t index) -> std::optional<NodeAddress>
    {
        const auto other = (index + 1 + world.random()() % (world.size() - 1)) % world.size();
        return runs(other) ? std::optional{address(other)} : std::nullopt;
    }

    auto send(const std::size_t from, const NodeAddress &to, const Message &message) -> void
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (address(index) == to) {
                world.send(from, index, [this, index, from, message] {
                    if (nodes_[index]) {
                        nodes_[index]->receive(address(from), message);
                    }
                });
            }
        }
    }

    Settings settings_;
    std::uint64_t incarnations_{};
    std::vector<std::unique_ptr<LeaseController>> nodes_;
};

} // namespace jasminelatch::lease

#endif
