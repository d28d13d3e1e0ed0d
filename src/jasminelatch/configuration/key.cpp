#include "key.hpp"

#include <sodium.h>

#include <stdexcept>

namespace jasminelatch::configuration {

namespace internal {

constexpr std::string_view keyPrefix = "jl_";
constexpr std::string_view idAlphabet = "abcdefghijklmnopqrstuvwxyz234567";
constexpr std::size_t shortestId = 8;
constexpr std::size_t hashBytes = 32;

auto initialise() -> void
{
    static const int result = sodium_init();
    if (result < 0) {
        throw std::runtime_error{"libsodium can't be initialised"};
    }
}

auto toBase64(const std::span<const unsigned char> bytes) -> std::string
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    text.pop_back();
    return text;
}

} // namespace internal

auto splitKey(const std::string_view text) -> std::optional<PresentedKey>
{
    if (!text.starts_with(internal::keyPrefix)) {
        return std::nullopt;
    }
    const auto rest = text.substr(internal::keyPrefix.size());
    const auto end = rest.find('_');
    if (end == std::string_view::npos || end < internal::shortestId || end > keyIdLength) {
        return std::nullopt;
    }
    return PresentedKey{rest.substr(0, end), rest.substr(end + 1)};
}

auto hashSecret(const std::string_view secret) -> std::string
{
    internal::initialise();
    std::array<unsigned char, internal::hashBytes> hash{};
    const auto *bytes = reinterpret_cast<const unsigned char *>(secret.data());
    crypto_generichash(hash.data(), hash.size(), bytes, secret.size(), nullptr, 0);
    std::string text(2 * hash.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}

auto equalHashes(const std::string_view left, const std::string_view right) -> bool
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto makeKey(const std::span<const unsigned char, keyIdLength> idBytes,
             const std::span<const unsigned char, keySecretBytes> secretBytes) -> IssuedKey
{
    IssuedKey key;
    for (const auto byte : idBytes) {
        key.id += internal::idAlphabet.at(byte % internal::idAlphabet.size());
    }
    const auto secret = internal::toBase64(secretBytes);
    key.text = std::string{internal::keyPrefix} + key.id + "_" + secret;
    key.hash = hashSecret(secret);
    return key;
}

auto issueKey() -> IssuedKey
{
    internal::initialise();
    std::array<unsigned char, keyIdLength> idBytes{};
    std::array<unsigned char, keySecretBytes> secretBytes{};
    randombytes_buf(idBytes.data(), idBytes.size());
    randombytes_buf(secretBytes.data(), secretBytes.size());
    return makeKey(idBytes, secretBytes);
}

} // namespace jasminelatch::configuration
