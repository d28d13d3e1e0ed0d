#ifndef JASMINELATCH_MESH_NODE_REPORT_HPP
#define JASMINELATCH_MESH_NODE_REPORT_HPP

#include "call_learner.hpp"
#include "hop.hpp"
#include "member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Counts that grow, by name. */
using Counts = std::map<std::string, std::uint64_t>;

/*! @brief Whose counts a report holds. */
enum class ReportKind : std::uint8_t {
    Relay, /*!< Those of the sender and of all nodes that report to it; goes to other relays. */
    Own, /*!< Those of the sender alone; goes to its relay. */
    Digest /*!< Those of all nodes but the receiver; the relay's answer to `Own`. */
};

/*! @brief State of the instance beside some node, passed on by relays. */
struct InstanceStatus {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Start of its node. */
    std::uint64_t session{}; /*!< Session in which the node told it to its relay; a later one goes first. */
    std::string instanceId; /*!< Id of the instance. */
    bool accepting{}; /*!< Whether new requests may be sent there. */
    bool isReporting{true}; /*!< Whether the node reports. */
    InstanceLoad load; /*!< Load of the instance. */
};

/*! @brief What a node tells others at short intervals, of itself and of the nodes that report to it. */
struct NodeReport {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Start of the node. */
    std::string instanceId; /*!< Id of the local instance. */
    bool accepting{}; /*!< Whether new requests may be sent there. */
    InstanceLoad load; /*!< Load of the local instance. */
    Counts admitted; /*!< Requests admitted, by account; unchanged counts may be left out. */
    Counts offered; /*!< Requests that clients offered, by kind; unchanged counts may be left out. */
    std::vector<RouteProfile> profiles; /*!< What runs cost; empty in most reports. */
    std::optional<Member> member; /*!< Record of the node; in the first report on a connection and after a change. */
    ReportKind kind{ReportKind::Relay}; /*!< Whose counts these are. */
    std::uint64_t session{}; /*!< Time of day in ms at which the counts began with zero; grows in one incarnation. */
    bool isFull{true}; /*!< Whether counts that are left out are zero. */
    std::uint32_t nodes{1}; /*!< Nodes whose counts are added up and that were heard lately. */
    std::uint64_t configurationRevision{}; /*!< Revision of the configuration in force at the sender. */
    std::vector<InstanceStatus> instances; /*!< Instances beside the nodes that report to the sender. */
    std::vector<Member> members; /*!< Records that the receiver may not know. */
};

} // namespace jasminelatch::mesh

#endif
