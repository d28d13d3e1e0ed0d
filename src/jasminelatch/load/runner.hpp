#ifndef JASMINELATCH_LOAD_RUNNER_HPP
#define JASMINELATCH_LOAD_RUNNER_HPP

#include "arrivals.hpp"
#include "sample.hpp"
#include "scenario.hpp"
#include "token_bucket.hpp"

#include <jasminelatch/net/http_client.hpp>
#include <jasminelatch/node/event_queue.hpp>
#include <jasminelatch/record/records.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jasminelatch::load {

/*! @brief Backend server that faults can be set at. */
struct BackendTarget {
    ServiceName service; /*!< Its service. */
    std::string url; /*!< Its URL. */
};

/*! @brief What the load is aimed at. */
struct Targets {
    std::vector<std::string> nodes; /*!< URLs of the nodes' ports for callers. */
    std::map<AccountName, std::string> keys; /*!< Key of each account. */
    std::vector<BackendTarget> backends; /*!< Backend servers, for faults. */
    std::string store; /*!< URL of the store, for faults; may be empty. */
    std::vector<record::Account> accounts; /*!< Accounts as the records have them. */
    std::vector<record::Kind> kinds; /*!< Kinds as the records have them. */
};

/**
 * @brief Checks that a scenario names only what there is.
 * @param scenario The scenario.
 * @param targets What the load is aimed at.
 * @param file File of the scenario, for findings.
 * @return Everything that is missing.
 */
[[nodiscard]] auto checkTargets(const Scenario &scenario, const Targets &targets, const std::string &file) -> Findings;

/**
 * @brief Plays a scenario against running nodes; arrivals never wait for answers.
 */
class Runner
{
public:
    /**
     * @brief Prepares a run.
     * @param scenario The scenario; outlives this object.
     * @param targets What the load is aimed at.
     * @param seed Seed of everything that is drawn.
     */
    Runner(const Scenario &scenario, Targets targets, std::uint64_t seed);

    Runner(const Runner &) = delete;
    auto operator=(const Runner &) -> Runner & = delete;
    ~Runner();

    /**
     * @brief Plays the scenario and waits for the last answers.
     * @return Every client request.
     */
    [[nodiscard]] auto run() -> std::vector<Sample>;

private:
    struct Request {
        Sample sample;
        const record::Kind *kind{};
        std::string path;
        std::string body;
        std::string idempotencyKey;
        std::size_t entry{};
        int attempts{};
        bool attemptWithinRate{};
    };

    struct Step {
        Duration at{};
        std::function<void()> action;
    };

    auto planFaults() -> void;
    auto setFault(const Fault &fault, bool active) -> void;
    auto planArrival() -> void;
    auto begin(const Arrival &arrival) -> void;
    auto attempt(std::size_t number) -> void;
    auto onEnd(std::size_t number, const net::HttpResult &result) -> void;
    [[nodiscard]] auto repeatDelay(const Request &request, const net::HttpResult &result, Duration at) const
        -> std::optional<Duration>;
    auto runDueSteps() -> void;
    auto schedule(Duration at, std::function<void()> action) -> void;
    [[nodiscard]] auto chooseEntry(const AccountName &account) -> std::size_t;
    [[nodiscard]] auto takeToken(const AccountName &account, Duration at) -> bool;
    [[nodiscard]] auto elapsed() const -> Duration;
    [[nodiscard]] auto nextStepAt() const -> Duration;

    const Scenario *scenario_;
    Targets targets_;
    std::mt19937_64 random_;
    Arrivals arrivals_;
    Clock clock_;
    TimePoint startedAt_;
    std::map<AccountName, TokenBucket> buckets_;
    std::map<KindName, const record::Kind *> kinds_;
    std::vector<Step> steps_;
    std::vector<Request> requests_;
    std::size_t open_{};
    node::EventQueue events_;
    std::unique_ptr<net::HttpClient> client_;
};

} // namespace jasminelatch::load

#endif
