#ifndef JASMINELATCH_CONFIGURATION_STATUS_HPP
#define JASMINELATCH_CONFIGURATION_STATUS_HPP

#include "change_set.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace jasminelatch::configuration {

/*! @brief What a node reports of its configuration at its operators' port under `/status`. */
struct NodeStatus {
    NodeAddress address; /*!< The node. */
    Revision revision{}; /*!< Revision in force. */
    bool fresh{}; /*!< Whether it is known to be the newest. */
    std::vector<record::Id> unreadable; /*!< Records whose newest form it can't read. */
};

/*! @brief Writes the fields `address`, `configuration_revision`, `configuration_fresh`, `configuration_unreadable`. */
auto to_json(nlohmann::json &out, const NodeStatus &status) -> void;

/*! @brief Reads those fields; other fields are ignored, and a missing list of unreadable records is empty. */
auto from_json(const nlohmann::json &in, NodeStatus &status) -> void;

/**
 * @brief Returns the address of a node's operators' port: the port after that of the node.
 * @param node Address of the node, as host:port.
 * @return Address as host:port, or an empty text when `node` has no port.
 */
[[nodiscard]] auto operatorAddress(const NodeAddress &node) -> std::string;

} // namespace jasminelatch::configuration

#endif
