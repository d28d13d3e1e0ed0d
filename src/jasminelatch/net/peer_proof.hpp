#ifndef JASMINELATCH_NET_PEER_PROOF_HPP
#define JASMINELATCH_NET_PEER_PROOF_HPP

#include <string>

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
 * @brief Returns the text whose authentication code proves that a side knows the fleet secret.
 * @param side Side that proves it.
 * @param greeting Facts of the connection.
 * @return The text.
 */
[[nodiscard]] inline auto proofText(const PeerSide side, const PeerGreeting &greeting) -> std::string
{
    return std::string{side == PeerSide::Opener ? "opener" : "acceptor"} + "\n" + greeting.opener + "\n"
         + greeting.acceptor + "\n" + greeting.openerNonce + "\n" + greeting.acceptorNonce;
}

} // namespace jasminelatch::net

#endif
