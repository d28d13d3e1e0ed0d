#ifndef JASMINELATCH_MESH_MEMBER_HPP
#define JASMINELATCH_MESH_MEMBER_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/event/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::mesh {

/*! @brief Node as its record describes it, in the store and in its first report to each peer. */
struct Member {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Differs with every start of the node; grows with time. */
    event::Endpoint address; /*!< Address for other nodes. */
    std::string domain; /*!< Failure domain. */
    std::string service; /*!< Service of the local instance. */
    std::string instanceId; /*!< Id of the local instance; empty while none is known. */
    std::uint32_t slots{}; /*!< Requests that the instance runs at once. */
    bool accepting{}; /*!< Whether new requests may be sent there. */
    Duration coldStartRemaining{}; /*!< Time for which the instance stays slow, when the record was written. */
    std::uint64_t version{}; /*!< Grows with every change of the record since the node's start. */

    auto operator==(const Member &) const -> bool = default;
};

/**
 * @brief Tells which of two records of one node is the older one; they come by more than one way.
 * @param left One record.
 * @param right The other one.
 * @return Whether `left` is older.
 */
[[nodiscard]] auto isOlder(const Member &left, const Member &right) -> bool;

/**
 * @brief Writes a member's record.
 * @param member The member.
 * @return JSON text.
 */
[[nodiscard]] auto encodeMember(const Member &member) -> std::string;

/**
 * @brief Reads a member's record.
 * @param text JSON text.
 * @return The member, or nothing when the text is no record.
 */
[[nodiscard]] auto decodeMember(std::string_view text) -> std::optional<Member>;

} // namespace jasminelatch::mesh

#endif
