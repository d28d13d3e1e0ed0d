#include "fleet_secret.hpp"

#include <sodium.h>

#include <span>
#include <vector>

namespace jasminelatch::secret {

namespace internal {

auto toHex(const std::span<const unsigned char> bytes) -> std::string
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

auto toBytes(const std::string_view text) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace internal

FleetSecret::FleetSecret(const std::string_view secret)
{
    static_assert(keyBytes == crypto_auth_KEYBYTES);
    crypto_generichash(key_.data(), key_.size(), internal::toBytes(secret), secret.size(), nullptr, 0);
}

auto FleetSecret::authenticate(const std::string_view text) const -> std::string
{
    std::array<unsigned char, crypto_auth_BYTES> code{};
    crypto_auth(code.data(), internal::toBytes(text), text.size(), key_.data());
    return internal::toHex(code);
}

auto FleetSecret::verify(const std::string_view text, const std::string_view code) const -> bool
{
    const auto expected = authenticate(text);
    return expected.size() == code.size() && sodium_memcmp(expected.data(), code.data(), code.size()) == 0;
}

auto randomHex(const std::size_t bytes) -> std::string
{
    std::vector<unsigned char> random(bytes);
    randombytes_buf(random.data(), random.size());
    return internal::toHex(random);
}

} // namespace jasminelatch::secret
