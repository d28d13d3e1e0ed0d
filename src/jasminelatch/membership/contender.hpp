#ifndef JASMINELATCH_MEMBERSHIP_CONTENDER_HPP
#define JASMINELATCH_MEMBERSHIP_CONTENDER_HPP

#include <jasminelatch/core/identifier.hpp>

#include <optional>
#include <span>

namespace jasminelatch::membership {

/*! @brief Node that may hold rights. */
struct Candidate {
    NodeAddress node; /*!< Its address. */
    FailureDomain domain; /*!< Failure domain of its VM. */
};

/*! @brief Nodes that should hold and back up one right. */
struct RightContenders {
    std::optional<NodeAddress> holder; /*!< Preferred holder; nothing without candidates. */
    std::optional<NodeAddress> successor; /*!< Preferred successor, in another failure domain where there is one. */

    auto operator==(const RightContenders &) const -> bool = default;
};

/**
 * @brief Chooses holder and successor of a right by rendezvous hashing.
 *
 * The choice depends on the names alone, so every node with the same candidates makes the same one. A candidate that
 * comes or goes moves only the rights that it wins or held.
 * @param right The right.
 * @param candidates All nodes that may hold it.
 * @return Preferred holder and successor.
 */
[[nodiscard]] auto rightContenders(const LeaseName &right, std::span<const Candidate> candidates) -> RightContenders;

/**
 * @brief Chooses the successor of a right whose holder is settled.
 * @param right The right.
 * @param holder Its holder.
 * @param candidates All nodes that may hold it; the holder may be among them.
 * @return The best candidate in another failure domain than the holder's, else the best other one.
 */
[[nodiscard]] auto rightSuccessor(const LeaseName &right,
                                  const Candidate &holder,
                                  std::span<const Candidate> candidates) -> std::optional<NodeAddress>;

} // namespace jasminelatch::membership

#endif
