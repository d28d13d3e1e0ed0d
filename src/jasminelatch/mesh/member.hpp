#ifndef JASMINELATCH_MESH_MEMBER_HPP
#define JASMINELATCH_MESH_MEMBER_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/event/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::mesh {

/*! @brief Membership record of a node, as kept in the store and sent in its first report to each peer. */
struct Member {
    std::string name; /*!< Name of the VM. */
    std::uint64_t incarnation{}; /*!< Start of the node process in Unix milliseconds, or a later number: increases over
                                  restarts also when the clock was stepped back. */
    event::Endpoint address; /*!< Address on which other nodes connect. */
    std::string domain; /*!< Failure domain. */
    std::string service; /*!< Service of the local instance. */
    std::string instanceId; /*!< Id of the local instance; empty until it registers. */
    std::uint32_t slots{}; /*!< Number of requests that the instance runs concurrently. */
    bool accepting{}; /*!< Whether the instance accepts new requests. */
    Duration coldStartRemaining{}; /*!< Remaining cold start of the instance when the record was written. */
    std::uint64_t version{}; /*!< Increases with every change of the record within one incarnation. */
    std::uint64_t instanceStartMs{}; /*!< Start of the instance's process in Unix milliseconds; zero if unknown. */

    auto operator==(const Member &) const -> bool = default;
};

/**
 * @brief Orders two records of one node, which may arrive from the store and from peers.
 * @param left First record.
 * @param right Second record.
 * @return Whether `left` has a lower incarnation, or the same incarnation and a lower version.
 */
[[nodiscard]] auto isOlder(const Member &left, const Member &right) -> bool;

/**
 * @brief Tells whether a record that would take precedence is of a process that has ended, by the address.
 *
 * Only one process listens at an address. A later incarnation there is of an earlier process: it started while the wall
 * clock was ahead, or on a lost VM with another clock whose address was assigned again.
 * @param own Record of the running process.
 * @param other Record of the same or another VM.
 * @return Whether the running process needs a later incarnation to be believed.
 */
[[nodiscard]] auto isEndedButLater(const Member &own, const Member &other) -> bool;

/**
 * @brief Serializes a membership record.
 * @param member Membership record.
 * @return JSON text.
 */
[[nodiscard]] auto encodeMember(const Member &member) -> std::string;

/**
 * @brief Parses a membership record; unknown fields are ignored.
 * @param text JSON text.
 * @return The record, or nothing if the text is malformed or lacks a required field.
 */
[[nodiscard]] auto decodeMember(std::string_view text) -> std::optional<Member>;

} // namespace jasminelatch::mesh

#endif
