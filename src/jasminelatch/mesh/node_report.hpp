#ifndef JASMINELATCH_MESH_NODE_REPORT_HPP
#define JASMINELATCH_MESH_NODE_REPORT_HPP

#include "call_learner.hpp"
#include "crash_tracker.hpp"
#include "evacuation.hpp"
#include "hop.hpp"
#include "member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Cumulative counts by name. */
using Counts = std::map<std::string, std::uint64_t>;

/*! @brief Set of nodes whose counts a report contains. */
enum class ReportKind : std::uint8_t {
    Relay, /*!< Sender and all nodes that report to it; sent to other relays. */
    Own, /*!< Sender only; sent to its relay. */
    Digest /*!< All nodes except the receiver; the relay's response to `Own`. */
};

/*! @brief State of one node's local instance, forwarded by relays. */
struct InstanceStatus {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Incarnation of its node. */
    std::uint64_t session{}; /*!< Session of the node with its relay; a later session takes precedence. */
    std::string instanceId; /*!< Instance id. */
    bool accepting{}; /*!< Whether the instance accepts new requests. */
    bool isReporting{true}; /*!< Whether its relay still receives reports of the node. */
    InstanceLoad load; /*!< Load as measured by its node. */
};

/*! @brief Periodic report between nodes, on the sender and on the nodes that report to it. */
struct NodeReport {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Incarnation of the node. */
    std::string instanceId; /*!< Id of the local instance. */
    bool accepting{}; /*!< Whether the instance accepts new requests. */
    InstanceLoad load; /*!< Load of the local instance. */
    Counts admitted; /*!< Admitted requests by account; unchanged counts may be omitted. */
    Counts offered; /*!< Requests offered by clients, by kind; unchanged counts may be omitted. */
    std::vector<RouteProfile> profiles; /*!< Cost of runs by route; empty in most reports. */
    std::optional<Member> member; /*!< Sender's record; present in a connection's first report and after a change. */
    ReportKind kind{ReportKind::Relay}; /*!< Set of nodes that the counts cover. */
    std::uint64_t session{}; /*!< Unix time in ms at which the counts were zero; increases in one incarnation. */
    bool isFull{true}; /*!< Whether omitted counts are zero rather than unchanged. */
    std::uint32_t nodes{1}; /*!< Number of nodes included in the counts that reported recently. */
    std::uint64_t configurationRevision{}; /*!< Store revision of the sender's configuration; for earlier builds. */
    std::vector<InstanceStatus>
        instances; /*!< Instances of nodes that report to the sender; of the whole fleet in digests. */
    std::vector<Member> members; /*!< Membership records that the receiver may lack. */
    std::optional<std::uint64_t>
        configurationVersion; /*!< Version that the sender applies; empty from earlier builds. */
    std::vector<CrashRecord> crashes; /*!< Requests that were running in crashed instances, as far as changed. */
    std::optional<Evacuation> evacuation; /*!< Evacuated failure domains; a relay answers with them only if the sender's
                                             are older. */
};

} // namespace jasminelatch::mesh

#endif
