#ifndef JASMINELATCH_MEMBERSHIP_MESSAGE_HPP
#define JASMINELATCH_MEMBERSHIP_MESSAGE_HPP

#include "endpoint.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::membership {

/*! @brief Stable hash of some content; equal content has an equal version at every node. Zero stands for none. */
using ContentVersion = std::uint64_t;

/*! @brief All endpoints of one service. */
struct ServiceView {
    ServiceName service; /*!< The service. */
    ContentVersion version{}; /*!< Version of `endpoints`. */
    std::vector<Endpoint> endpoints; /*!< In order of node address. */
};

/*! @brief Holder of one right. */
struct RightHolder {
    LeaseName right; /*!< The right. */
    NodeAddress holder; /*!< Node that says it holds it. */

    auto operator==(const RightHolder &) const -> bool = default;
};

/*! @brief Holders of all rights. */
struct Directory {
    ContentVersion version{}; /*!< Version of `rights`. */
    std::vector<RightHolder> rights; /*!< In order of right. */
};

/*! @brief Right that a node should contend for, or keep. */
struct Duty {
    LeaseName right; /*!< The right. */
    NodeAddress successor; /*!< Suggested successor; empty when there is no other node. */

    auto operator==(const Duty &) const -> bool = default;
};

/*! @brief What a member is told about its cell and its part in the fleet. */
struct Assignment {
    ContentVersion version{}; /*!< Version of the rest. */
    std::vector<NodeAddress> peers; /*!< Other members of the cell, in order. */
    std::uint64_t fleetSize{}; /*!< Known number of nodes. */
    std::vector<Duty> duties; /*!< Rights that the member should contend for, in order. */
};

/*! @brief Parts of a member's view that changed. */
struct Changes {
    std::vector<ServiceView> services; /*!< Changed services among those subscribed to. */
    std::optional<Directory> directory; /*!< Present when it changed. */
    std::optional<Assignment> assignment; /*!< Present when it changed. */

    [[nodiscard]] auto empty() const -> bool { return services.empty() && !directory && !assignment; }
};

/*! @brief Version of one service's endpoints that a member has. */
struct ServiceVersion {
    ServiceName service; /*!< The service. */
    ContentVersion version{}; /*!< Version the member has. */

    auto operator==(const ServiceVersion &) const -> bool = default;
};

/*! @brief All that a member tells about itself. */
struct Report {
    LeaseName cell; /*!< Cell that it is a member of. */
    std::uint64_t joins{}; /*!< Cells that this process has joined so far. */
    Endpoint endpoint; /*!< Its endpoint. */
    std::vector<LeaseName> rights; /*!< Rights that it holds, in order. */
    std::vector<ServiceVersion> services; /*!< Services it calls and what it knows of them, in order. */
    ContentVersion directory{}; /*!< Version of its directory. */
    ContentVersion assignment{}; /*!< Version of its assignment. */
};

/*! @brief Sent by a member to the holder of its cell. */
struct Heartbeat {
    static constexpr std::string_view type = "membership.heartbeat";
    std::uint64_t incarnation{}; /*!< Incarnation of the member. */
    std::uint64_t sequence{}; /*!< Grows with every heartbeat of the incarnation. */
    ContentVersion self{}; /*!< Version of what the member tells about itself. */
    ContentVersion known{}; /*!< Version of the member's whole view. */
    std::string attachment; /*!< Given by `Hooks::attachment`. */
    std::optional<Report> report; /*!< Present when the holder asked for it. */
};

/*! @brief Answer of the holder to a heartbeat. */
struct HeartbeatAnswer {
    static constexpr std::string_view type = "membership.heartbeat_answer";
    std::uint64_t incarnation{}; /*!< Incarnation of the holder. */
    std::uint64_t sequence{}; /*!< Grows with every message of the holder. */
    bool wantsReport{}; /*!< The next heartbeat must carry a report. */
    std::string attachment; /*!< Given by `Hooks::attachment`. */
    Changes changes; /*!< What changed for the member. */
};

/*! @brief Sent by the holder to a member when something changed for it. */
struct Push {
    static constexpr std::string_view type = "membership.push";
    std::uint64_t incarnation{}; /*!< Incarnation of the holder. */
    std::uint64_t sequence{}; /*!< Grows with every message of the holder. */
    std::string attachment; /*!< Given by `Hooks::attachment`. */
    Changes changes; /*!< What changed for the member. */
};

/*! @brief Sent by a node that stops, to the holder and the members of its cell. */
struct Leaving {
    static constexpr std::string_view type = "membership.leaving";
    std::uint64_t incarnation{}; /*!< Incarnation of the node. */
};

/*! @brief Answer of the holder to `Leaving`. */
struct LeavingAnswer {
    static constexpr std::string_view type = "membership.leaving_answer";
    std::uint64_t incarnation{}; /*!< Incarnation that left. */
};

/*! @brief Why a heartbeat was refused. */
enum class RedirectReason : std::uint8_t {
    NotHolder, /*!< The node does not hold the cell. */
    Full /*!< The cell has no room. */
};

/*! @brief Refusal of a heartbeat. */
struct Redirect {
    static constexpr std::string_view type = "membership.redirect";
    std::uint64_t incarnation{}; /*!< Incarnation of the member that is refused. */
    RedirectReason reason{}; /*!< Why. */
};

/*! @brief Sent by a new holder to the members that it finds in the record of its cell. */
struct Announcement {
    static constexpr std::string_view type = "membership.announcement";
    LeaseName cell; /*!< Cell that the sender now holds. */
};

/*! @brief Asks a node whether it is still a member of a cell that looks dead. */
struct Probe {
    static constexpr std::string_view type = "membership.probe";
    LeaseName cell; /*!< The cell. */
};

/*! @brief Answer to `Probe`, sent only by nodes that are still members of the cell. */
struct ProbeAnswer {
    static constexpr std::string_view type = "membership.probe_answer";
    LeaseName cell; /*!< The cell. */
};

/*! @brief Any message of the module. */
using Message =
    std::variant<Heartbeat, HeartbeatAnswer, Push, Leaving, LeavingAnswer, Redirect, Announcement, Probe, ProbeAnswer>;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceView, service, version, endpoints)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RightHolder, right, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Directory, version, rights)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Duty, right, successor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Assignment, version, peers, fleetSize, duties)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceVersion, service, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Report, cell, joins, endpoint, rights, services, directory, assignment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Leaving, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeavingAnswer, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Redirect, incarnation, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Announcement, cell)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Probe, cell)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProbeAnswer, cell)

auto to_json(nlohmann::json &json, const Changes &changes) -> void;
auto from_json(const nlohmann::json &json, Changes &changes) -> void;
auto to_json(nlohmann::json &json, const Heartbeat &message) -> void;
auto from_json(const nlohmann::json &json, Heartbeat &message) -> void;
auto to_json(nlohmann::json &json, const HeartbeatAnswer &message) -> void;
auto from_json(const nlohmann::json &json, HeartbeatAnswer &message) -> void;
auto to_json(nlohmann::json &json, const Push &message) -> void;
auto from_json(const nlohmann::json &json, Push &message) -> void;

} // namespace jasminelatch::membership

#endif
