#ifndef JASMINELATCH_MODEL_SIMULATION_HPP
#define JASMINELATCH_MODEL_SIMULATION_HPP

#include "outcome.hpp"
#include "scenario.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/mesh/call_learner.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/instance_gate.hpp>
#include <jasminelatch/mesh/placement.hpp>
#include <jasminelatch/mesh/retry_budget.hpp>
#include <jasminelatch/mesh/retry_policy.hpp>
#include <jasminelatch/mesh/tree_admission.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminelatch::model {

/*! @brief Which decisions the simulated nodes take. */
enum class Policy : std::uint8_t {
    Nodes, /*!< All of them, as the node does. */
    NoAdmission, /*!< Requests wait by rank at the instances; nothing is refused at the entry. */
    FirstCome /*!< The same in order of arrival. */
};

/*! @brief Settings of one run. */
struct SimulationSettings {
    Policy policy{Policy::Nodes}; /*!< Decisions of the nodes. */
    std::uint64_t seed{1}; /*!< Seed of everything that is drawn. */
    mesh::TreeAdmission::Settings admission; /*!< Settings of every node's admission. */
    mesh::Placement::Settings placement; /*!< Settings of every node's placement. */
    mesh::InstanceGate::Settings gate; /*!< Settings of every instance's gate. */
    mesh::RetryBudget::Settings retries; /*!< Settings of every node's retry budget. */
};

/**
 * @brief Discrete event simulation of nodes that decide with the cores of the real node, on simulated time.
 *
 * Clients, instances and the network are modelled; one node stands beside each instance, receives a part of the clients
 * and reports to all others. Connections, client accounts and the store are left out.
 */
class Simulation
{
public:
    /**
     * @brief Prepares a run.
     * @param scenario Load and troubles.
     * @param settings Policy, seed and settings of the cores.
     */
    Simulation(Scenario scenario, const SimulationSettings &settings);

    Simulation(const Simulation &) = delete;
    auto operator=(const Simulation &) -> Simulation & = delete;
    ~Simulation();

    /*! @brief Plays the scenario once. */
    [[nodiscard]] auto run() -> Outcome;

private:
    struct Node;
    struct Client;
    struct Request;

    struct Event {
        TimePoint at;
        std::uint64_t order{};
        std::function<void()> action;

        [[nodiscard]] auto operator>(const Event &other) const -> bool
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    auto after(Duration delay, std::function<void()> action) -> void;
    auto createNodes() -> void;
    auto join(std::size_t node) -> void;
    auto setAway(std::size_t node, bool isAway) -> void;
    auto report(std::size_t node) -> void;
    auto sendReport(std::size_t node) -> void;
    auto sample() -> void;
    auto scheduleArrival(std::size_t kind) -> void;
    auto attempt(std::shared_ptr<Client> client) -> void;
    auto answerClient(const std::shared_ptr<Client> &client, const mesh::HopReply &reply) -> void;
    auto startRequest(Request request) -> void;
    auto dispatch(std::uint64_t id) -> void;
    auto offer(std::uint64_t id) -> void;
    auto startRun(std::uint64_t id) -> void;
    auto resume(std::uint64_t id) -> void;
    auto finishRun(std::uint64_t id, mesh::HopOutcome outcome, mesh::HopReason reason) -> void;
    auto advance(std::size_t node) -> void;
    auto reply(std::uint64_t id, mesh::HopReply reply) -> void;
    auto handleReply(std::uint64_t id, const mesh::HopReply &reply) -> void;
    auto finishRequest(std::uint64_t id, const mesh::HopReply &reply) -> void;
    auto expire(std::uint64_t id) -> void;
    auto cancel(std::uint64_t id) -> void;
    auto leaveNode(std::uint64_t id, Request &request) -> void;
    [[nodiscard]] auto troubleFactor(TroubleModel::Kind kind, const Node *node) const -> double;
    [[nodiscard]] auto refusal(mesh::HopReason reason, Duration retryAfter, std::size_t node) const -> mesh::HopReply;
    [[nodiscard]] auto hasRoom(std::size_t kind) const -> bool;
    [[nodiscard]] auto rankOf(std::size_t kind) const -> std::uint32_t;
    [[nodiscard]] auto secondOf(TimePoint time) -> SecondOutcome &;
    [[nodiscard]] auto kindIndex(const std::string &name) const -> std::size_t;
    [[nodiscard]] auto uniform() -> double;

    Scenario scenario_;
    SimulationSettings settings_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::uint64_t lastEvent_{};
    std::uint64_t lastRequest_{};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::size_t> joined_;
    std::unordered_map<std::uint64_t, Request> requests_;
    std::vector<Duration> refusalTimes_;
    Outcome outcome_;
};

} // namespace jasminelatch::model

#endif
