#ifndef JASMINELATCH_NET_PEER_PROOF_HPP
#define JASMINELATCH_NET_PEER_PROOF_HPP

#include <string>
#include <string_view>

namespace jasminelatch::net {

/*! @brief Side of a connection that a proof speaks for. */
enum class PeerSide : unsigned char { Opener, Acceptor };

/*! @brief Facts that both ends of a connection agree on. */
struct PeerGreeting {
    std::string opener; /*!< Address of the node that opened the connection. */
    std::string acceptor; /*!< Address of the node that accepted it. */
    std::string openerNonce; /*!< Random text of the opener. */
    std::string acceptorNonce; /*!< Random text of the acceptor. */
};

/**
 * @brief Draws a nonce.
 * @return Random text, 32 hexadecimal digits.
 */
[[nodiscard]] auto makeNonce() -> std::string;

/**
 * @brief Computes the proof that a side knows the fleet secret.
 * @param secret Fleet secret.
 * @param side Side that proves it.
 * @param greeting Facts of the connection.
 * @return Hexadecimal digits.
 */
[[nodiscard]] auto makeProof(std::string_view secret, PeerSide side, const PeerGreeting &greeting) -> std::string;

/**
 * @brief Compares two proofs in constant time.
 * @param left First proof.
 * @param right Second proof.
 * @return True when they are the same.
 */
[[nodiscard]] auto sameProof(std::string_view left, std::string_view right) noexcept -> bool;

} // namespace jasminelatch::net

#endif
