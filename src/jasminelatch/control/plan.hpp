#ifndef JASMINELATCH_CONTROL_PLAN_HPP
#define JASMINELATCH_CONTROL_PLAN_HPP

#include "failure.hpp"

#include <jasminelatch/configuration/view.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace jasminelatch::control {

/*! @brief What a plan does with a record. */
enum class Action : std::uint8_t {
    Add, /*!< Writes a record that is not in force. */
    Replace, /*!< Writes another form of a record in force. */
    Withdraw /*!< Withdraws a record in force. */
};

/*! @brief One step of a plan. */
struct Step {
    Action action{Action::Add}; /*!< What is done. */
    record::Id id; /*!< To which record. */
    record::Document document; /*!< New form; empty for `Withdraw`. */
};

/*! @brief Difference between the records in force and the wanted ones. */
struct Plan {
    configuration::Revision basis{}; /*!< Revision that it was made from. */
    std::vector<Step> steps; /*!< Steps in order of record. */
};

/*! @brief Whether records in force that are not among the wanted ones are withdrawn; keys never are. */
enum class Prune : std::uint8_t {
    No, /*!< They stay. */
    Yes /*!< They are withdrawn. */
};

/**
 * @brief Plans to bring records into force.
 * @param view Records in force.
 * @param wanted Wanted records, each right in itself.
 * @param prune Whether others are withdrawn.
 * @return The plan; `ExitCode::Findings` when the records would not fit together.
 */
[[nodiscard]] auto planRecords(const configuration::View &view, std::span<const record::Record> wanted, Prune prune)
    -> Result<Plan>;

/**
 * @brief Plans to withdraw one record.
 * @param view Records in force.
 * @param id The record.
 * @return The plan; `ExitCode::Findings` when there is none or others refer to it.
 */
[[nodiscard]] auto planWithdrawal(const configuration::View &view, const record::Id &id) -> Result<Plan>;

/**
 * @brief Cuts a plan into change sets that fit the store; nearly always one.
 * @param plan The plan.
 * @return Change sets with consecutive revisions, without write id, author and note.
 */
[[nodiscard]] auto toChangeSets(const Plan &plan) -> std::vector<configuration::ChangeSet>;

/*! @brief Returns the name of an action: `add`, `replace` or `withdraw`. */
[[nodiscard]] auto toString(Action action) -> std::string_view;

} // namespace jasminelatch::control

#endif
