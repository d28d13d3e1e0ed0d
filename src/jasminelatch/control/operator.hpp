#ifndef JASMINELATCH_CONTROL_OPERATOR_HPP
#define JASMINELATCH_CONTROL_OPERATOR_HPP

#include "plan.hpp"
#include "repository.hpp"

#include <jasminelatch/configuration/status.hpp>
#include <jasminelatch/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::control {

/*! @brief What a command reports, for people and for programs. */
struct Report {
    std::string text; /*!< Lines for people. */
    nlohmann::json json; /*!< The same for programs. */
    std::optional<configuration::Revision> revision; /*!< Revision to wait for, if the command wrote one. */
};

/**
 * @brief The commands of the operators' program, without I/O of their own.
 */
class Operator
{
public:
    /*! @brief Who writes, and how long to wait. */
    struct Settings {
        std::string author; /*!< Who writes; goes into the change sets. */
        std::string note; /*!< Why; goes into the change sets. */
        Duration timeout{std::chrono::seconds{10}}; /*!< Longest wait until a revision is in force everywhere. */
        Duration pollInterval{std::chrono::milliseconds{200}}; /*!< Time between two looks at the nodes. */
        std::vector<NodeAddress> nodes; /*!< Nodes to ask; empty to take those that the store lists. */
    };

    /*! @brief What the commands need. */
    struct Hooks {
        BlockingCall store; /*!< Calls the store. */
        /*! @brief Asks a node for its status. */
        std::function<std::optional<configuration::NodeStatus>(const NodeAddress &)> status;
        std::function<void(Duration)> sleep; /*!< Waits. */
        std::function<std::string()> writeId; /*!< Returns a new unique id. */
    };

    Operator(Settings settings, const Clock &clock, Hooks hooks);

    /*! @brief Reports what bringing the records into force would change. */
    [[nodiscard]] auto plan(std::span<const record::Record> wanted, Prune prune) const -> Result<Report>;
    /*! @brief Brings the records into force; a second try without a difference writes nothing. */
    [[nodiscard]] auto apply(std::span<const record::Record> wanted, Prune prune) const -> Result<Report>;
    /*! @brief Withdraws one record. */
    [[nodiscard]] auto withdraw(const record::Id &id) const -> Result<Report>;
    /*! @brief Lists the records in force; of one type unless it is empty. */
    [[nodiscard]] auto list(const std::string &type) const -> Result<Report>;
    /*! @brief Issues a key for an account; the report is the only place that ever holds it. */
    [[nodiscard]] auto issueKey(const AccountName &account) const -> Result<Report>;
    /*! @brief Reports the revision in force at every node. */
    [[nodiscard]] auto status() const -> Result<Report>;
    /*! @brief Waits until a revision is in force everywhere; `ExitCode::NotInForce` names the nodes that lag. */
    [[nodiscard]] auto wait(configuration::Revision revision) const -> Result<Report>;
    /*! @brief Marks the lease of a right as released; its holder and successor must be dead. */
    [[nodiscard]] auto reclaim(const LeaseName &right) const -> Result<Report>;

private:
    struct NodeReport {
        NodeAddress node;
        std::optional<configuration::NodeStatus> status;
    };

    [[nodiscard]] auto write(const Plan &plan) const -> Result<Report>;
    [[nodiscard]] auto nodes() const -> Result<std::vector<NodeAddress>>;
    [[nodiscard]] auto askNodes() const -> Result<std::vector<NodeReport>>;

    Settings settings_;
    const Clock *clock_;
    Hooks hooks_;
    Repository repository_;
};

/**
 * @brief Formats a failure.
 * @param failure The failure.
 * @param asJson Whether for programs.
 * @return Text with a line end.
 */
[[nodiscard]] auto toText(const Failure &failure, bool asJson) -> std::string;

} // namespace jasminelatch::control

#endif
