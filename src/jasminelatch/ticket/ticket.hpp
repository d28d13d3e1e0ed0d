#ifndef JASMINELATCH_TICKET_TICKET_HPP
#define JASMINELATCH_TICKET_TICKET_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/record/records.hpp>
#include <jasminelatch/secret/fleet_secret.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::ticket {

/*! @brief What a backend server shows for its own calls on behalf of a request; opaque to it. */
struct Ticket {
    NodeAddress issuer; /*!< Node that issued it; no other node takes it. */
    RequestId parent; /*!< Request that the backend server is running. */
    RequestId root; /*!< Request of the client. */
    NodeAddress ledger; /*!< Node that keeps the retries of the root. */
    AccountName account; /*!< Client account; empty on open routes. */
    record::Importance importance{}; /*!< Rank of the root's kind. */
    std::uint32_t depth{}; /*!< Calls between the client and the backend server. */
    TimePoint deadline; /*!< Deadline on the monotonic clock of the issuer's VM. */

    auto operator==(const Ticket &) const -> bool = default;
};

/**
 * @brief Writes a ticket as text.
 * @param ticket The ticket.
 * @param secret Secret that authenticates it.
 * @return Text that fits into a header field.
 */
[[nodiscard]] auto seal(const Ticket &ticket, const secret::FleetSecret &secret) -> std::string;

/**
 * @brief Reads a ticket.
 * @param text Text of the ticket.
 * @param secret Secret that authenticated it.
 * @return The ticket, or nothing when the text is malformed or not authentic.
 */
[[nodiscard]] auto open(std::string_view text, const secret::FleetSecret &secret) -> std::optional<Ticket>;

} // namespace jasminelatch::ticket

#endif
