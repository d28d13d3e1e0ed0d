#include "peer_proof.hpp"

#include <sodium.h>

#include <array>
#include <span>

namespace jasminelatch::net {

namespace internal {

constexpr std::size_t nonceBytes = 16;

auto toHex(const std::span<const unsigned char> bytes) -> std::string
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

auto deriveKey(const std::string_view secret) -> std::array<unsigned char, crypto_auth_KEYBYTES>
{
    std::array<unsigned char, crypto_auth_KEYBYTES> key{};
    const auto *bytes = reinterpret_cast<const unsigned char *>(secret.data());
    crypto_generichash(key.data(), key.size(), bytes, secret.size(), nullptr, 0);
    return key;
}

} // namespace internal

auto makeNonce() -> std::string
{
    std::array<unsigned char, internal::nonceBytes> nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return internal::toHex(nonce);
}

auto makeProof(const std::string_view secret, const PeerSide side, const PeerGreeting &greeting) -> std::string
{
    const auto key = internal::deriveKey(secret);
    const std::string text = std::string{side == PeerSide::Opener ? "opener" : "acceptor"} + "\n" + greeting.opener
                           + "\n" + greeting.acceptor + "\n" + greeting.openerNonce + "\n" + greeting.acceptorNonce;
    std::array<unsigned char, crypto_auth_BYTES> code{};
    crypto_auth(code.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), key.data());
    return internal::toHex(code);
}

auto sameProof(const std::string_view left, const std::string_view right) noexcept -> bool
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace jasminelatch::net
