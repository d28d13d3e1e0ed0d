#ifndef JASMINELATCH_LOAD_SCENARIO_HPP
#define JASMINELATCH_LOAD_SCENARIO_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::load {

/*! @brief What a caller does after a failed attempt. */
enum class RetryHabit : std::uint8_t {
    None, /*!< Gives up. */
    Polite, /*!< Waits as long as `Retry-After` says. */
    Hard /*!< Repeats at once at other nodes. */
};

/*! @brief How callers choose the node that they enter at. */
enum class EntryHabit : std::uint8_t {
    Spread, /*!< Any node, all alike. */
    Skewed /*!< Most requests of an account at one node. */
};

/*! @brief Share of one request kind in an account's demand. */
struct KindShare {
    KindName kind; /*!< The kind. */
    double share{1.0}; /*!< Share, relative to the account's other kinds. */
};

/*! @brief Demand of one client account. */
struct AccountLoad {
    AccountName account; /*!< The account. */
    double rate{}; /*!< Client requests per second. */
    std::vector<KindShare> mix; /*!< Its kinds. */
};

/*! @brief Fault of a service's backend servers, or of the store when the service is empty. */
struct Fault {
    ServiceName service; /*!< The service; empty for the store. */
    nlohmann::json body; /*!< Body of the control request that sets it; an empty object clears it. */
};

/*! @brief Part of the run during which something is different: a trigger. */
struct Phase {
    std::string name; /*!< Name for the report. */
    Duration start{}; /*!< Start after the start of the run. */
    Duration end{}; /*!< End after the start of the run. */
    double demand{1.0}; /*!< Factor on every account's rate. */
    AccountName account; /*!< Account with a factor of its own; empty for none. */
    double accountFactor{1.0}; /*!< Factor on that account's rate. */
    std::optional<RetryHabit> retry; /*!< Habit of all callers during the phase. */
    std::vector<Fault> faults; /*!< Faults during the phase. */
};

/*! @brief Open-loop load with its triggers. */
struct Scenario {
    std::string name; /*!< Name for the report. */
    std::string records; /*!< Directory with the records, relative to the scenario's file. */
    Duration duration{}; /*!< Length of the run. */
    Duration warmUp{}; /*!< Part at the start that no measure looks at. */
    RetryHabit retry{RetryHabit::Polite}; /*!< Habit of all callers. */
    EntryHabit entry{EntryHabit::Spread}; /*!< Choice of the entry node. */
    std::vector<AccountLoad> load; /*!< Demand by account. */
    std::vector<Phase> phases; /*!< Triggers, in order of their start. */
};

/**
 * @brief Reads a scenario from JSON with comments.
 * @param text The text.
 * @param file File name for findings.
 * @param findings Receives everything that is wrong.
 * @return The scenario, or nothing when there were findings.
 */
[[nodiscard]] auto parseScenario(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<Scenario>;

/**
 * @brief Reads a scenario from a file; its field `extends` names a file beside it whose fields hold unless replaced.
 * @param file The file.
 * @param findings Receives everything that is wrong.
 * @return The scenario, or nothing when there were findings.
 */
[[nodiscard]] auto readScenario(const std::filesystem::path &file, Findings &findings) -> std::optional<Scenario>;

/**
 * @brief Returns the rate of an account at a time.
 * @param scenario The scenario.
 * @param load The account's demand.
 * @param at Time after the start of the run.
 * @return Client requests per second.
 */
[[nodiscard]] auto rateAt(const Scenario &scenario, const AccountLoad &load, Duration at) -> double;

/**
 * @brief Returns the habit of callers at a time.
 * @param scenario The scenario.
 * @param at Time after the start of the run.
 * @return The habit.
 */
[[nodiscard]] auto habitAt(const Scenario &scenario, Duration at) -> RetryHabit;

} // namespace jasminelatch::load

#endif
